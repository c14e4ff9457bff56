package logging

import (
	"bufio"
	"io"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"
)

// Limits of a bounded log.
const (
	// maxQueuedLines is how many lines can wait to be written.
	maxQueuedLines = 1024
	// linesPerSecond limits the lines below level warn, which requests cause.
	linesPerSecond = 300
	// burstLines is how many of these lines may be written at once after a quiet
	// period.
	burstLines = 600
	// warningsPerSecond limits the lines at level warn and above.
	warningsPerSecond = 50
	// dropReportInterval is how often the number of dropped lines is logged.
	dropReportInterval = time.Second
)

// boundedHandler queues entries for a goroutine that writes them. It never blocks:
// an entry that exceeds the rate limit or does not fit into the queue is dropped
// and counted.
type boundedHandler struct {
	queue    chan *log.Entry
	lines    *rate.Limiter
	warnings *rate.Limiter
	dropped  atomic.Int64
}

// HandleLog implements log.Handler.
func (b *boundedHandler) HandleLog(e *log.Entry) error {
	limiter := b.lines
	if e.Level >= log.WarnLevel {
		limiter = b.warnings
	}
	if !limiter.Allow() {
		b.dropped.Add(1)
		return nil
	}
	select {
	case b.queue <- e:
	default:
		b.dropped.Add(1)
	}
	return nil
}

// run writes queued entries until stop is closed and the queue is empty, and then
// closes done.
func (b *boundedHandler) run(w io.Writer, stop <-chan struct{}, done chan<- struct{}) {
	defer close(done)
	buffer := bufio.NewWriter(w)
	next := newHandler(buffer)
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case e := <-b.queue:
			_ = next.HandleLog(e) // there is nowhere to report it
			b.writeQueued(next)
			_ = buffer.Flush()
		case <-ticker.C:
			if n := b.dropped.Swap(0); n > 0 {
				logger := &log.Logger{Handler: next, Level: log.InfoLevel}
				logger.WithField("lines", n).Warn("log lines dropped")
				_ = buffer.Flush()
			}
		case <-stop:
			b.writeQueued(next)
			_ = buffer.Flush()
			return
		}
	}
}

func (b *boundedHandler) writeQueued(next log.Handler) {
	for {
		select {
		case e := <-b.queue:
			_ = next.HandleLog(e) // there is nowhere to report it
		default:
			return
		}
	}
}

// NewBounded returns a logger that never blocks its callers and limits the lines
// written per second; the number of dropped lines is logged in a line of its own.
// stop writes the queued lines and ends the logger's goroutine. opts.Output must be
// set.
func NewBounded(opts Options) (logger log.Interface, stop func(), err error) {
	if opts.Level == "" {
		opts.Level = "info"
	}
	level, err := parseLevel(opts.Level)
	if err != nil {
		return nil, nil, err
	}
	b := &boundedHandler{
		queue:    make(chan *log.Entry, maxQueuedLines),
		lines:    rate.NewLimiter(linesPerSecond, burstLines),
		warnings: rate.NewLimiter(warningsPerSecond, 2*warningsPerSecond),
	}
	stopping, done := make(chan struct{}), make(chan struct{})
	go b.run(opts.Output, stopping, done)
	stop = func() {
		close(stopping)
		<-done
	}
	out := &log.Logger{Level: level, Handler: b}
	if opts.Process == "" {
		return out, stop, nil
	}
	return out.WithField("process", opts.Process), stop, nil
}
