package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// lockedBuffer may be written and read concurrently.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func TestBoundedLogWritesJSONLines(t *testing.T) {
	var out lockedBuffer
	logger, stop, err := NewBounded(Options{Output: &out, Process: "edge-1"})
	must.NoError(t, err)
	logger.WithField("id", "x").Info("request")
	logger.Debug("not at this level")
	stop()
	must.Eq(t, 1, strings.Count(out.String(), "\n"))
	must.StrContains(t, out.String(), `"message":"request"`)
	must.StrContains(t, out.String(), `"process":"edge-1"`)
}

// Logging must not block while its output blocks, as a pipe does whose reader does
// not read.
func TestBoundedLogNeverBlocks(t *testing.T) {
	output := blockedWriter{release: make(chan struct{})}
	logger, stop, err := NewBounded(Options{Output: output})
	must.NoError(t, err)
	for range 10 * maxQueuedLines {
		logger.Info("request")
	}
	close(output.release)
	stop()
}

type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

func TestDroppedLinesAreCounted(t *testing.T) {
	var out lockedBuffer
	logger, stop, err := NewBounded(Options{Output: &out})
	must.NoError(t, err)
	for range 3 * burstLines {
		logger.Info("request")
	}
	for !strings.Contains(out.String(), "log lines dropped") {
		time.Sleep(time.Millisecond)
	}
	stop()
	must.LessEq(t, burstLines+2*linesPerSecond+1, strings.Count(out.String(), "\n"))
}
