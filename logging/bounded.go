package logging

import (
	"bufio"
	"io"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"
)

// Bounds of a bounded log.
const (
	// queueLines is the number of lines that wait to be written.
	queueLines = 1024
	// linesPerSecond bounds the lines below warning, as they come from requests.
	linesPerSecond = 300
	// burstLines may be written at once after a quiet time.
	burstLines = 600
	// warningsPerSecond bounds the other lines.
	warningsPerSecond = 50
	// dropInterval is how often dropped lines are told.
	dropInterval = time.Second
)

// bounded passes entries on to a handler of its own goroutine. It never blocks:
// a line over the rate, or for which there is no room, is dropped and counted.
type bounded struct {
	queue    chan *log.Entry
	lines    *rate.Limiter
	warnings *rate.Limiter
	dropped  atomic.Int64
}

// HandleLog implements log.Handler.
func (b *bounded) HandleLog(e *log.Entry) error {
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

// run writes the queue until stop is closed and the queue is empty.
func (b *bounded) run(w io.Writer, stop <-chan struct{}, done chan<- struct{}) {
	defer close(done)
	buffer := bufio.NewWriter(w)
	next := handler(buffer)
	ticker := time.NewTicker(dropInterval)
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

func (b *bounded) writeQueued(next log.Handler) {
	for {
		select {
		case e := <-b.queue:
			_ = next.HandleLog(e) // there is nowhere to report it
		default:
			return
		}
	}
}

// NewBounded returns a logger that never blocks its callers and bounds the
// lines written per second; dropped lines are counted in a line of their own.
// stop writes what is queued and ends it. Output must be set.
func NewBounded(opts Options) (logger log.Interface, stop func(), err error) {
	if opts.Level == "" {
		opts.Level = "info"
	}
	level, err := parseLevel(opts.Level)
	if err != nil {
		return nil, nil, err
	}
	b := &bounded{
		queue:    make(chan *log.Entry, queueLines),
		lines:    rate.NewLimiter(linesPerSecond, burstLines),
		warnings: rate.NewLimiter(warningsPerSecond, 2*warningsPerSecond),
	}
	ending, done := make(chan struct{}), make(chan struct{})
	go b.run(opts.Output, ending, done)
	stop = func() {
		close(ending)
		<-done
	}
	out := &log.Logger{Level: level, Handler: b}
	if opts.Process == "" {
		return out, stop, nil
	}
	return out.WithField("process", opts.Process), stop, nil
}
