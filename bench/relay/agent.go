// Package relay measures the processor time needed to relay generated tokens over
// package link, for several ways of reading them from agents.
package relay

import (
	"context"
	"sync"
	"time"

	"dandelionrill.example/fleet/wire"
)

// tokenBytes is the size of one server-sent event with one token.
const tokenBytes = 180

// minTickInterval is the shortest interval between wake-ups of a generator.
const minTickInterval = 500 * time.Microsecond

// Agent simulates an agent whose streams each produce one token per interval.
type Agent struct {
	mu      sync.Mutex
	streams []stream
	changed chan struct{}
	header  map[string][]string
	linger  time.Duration
}

type stream struct {
	bytes    int64
	dueTimes []time.Time // time at which each token was due
	changed  chan struct{}
}

func newAgent(streams int, header map[string][]string, linger time.Duration) *Agent {
	a := &Agent{streams: make([]stream, streams), changed: make(chan struct{}), header: header, linger: linger}
	for i := range a.streams {
		a.streams[i].changed = make(chan struct{})
	}
	return a
}

// generate adds tokens to the streams in turn until ctx ends, spaced evenly over the
// interval. A late tick adds all tokens that are due.
func (a *Agent) generate(ctx context.Context, interval time.Duration) {
	step := interval / time.Duration(len(a.streams))
	ticker := time.NewTicker(max(step, minTickInterval))
	defer ticker.Stop()
	due, i := time.Now(), 0
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for ; due.Before(now); due = due.Add(step) {
				a.addToken(i, due)
				i = (i + 1) % len(a.streams)
			}
		}
	}
}

// addToken appends a token to stream i and wakes its readers.
func (a *Agent) addToken(i int, due time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := &a.streams[i]
	s.bytes += tokenBytes
	s.dueTimes = append(s.dueTimes, due)
	notify(&s.changed)
	notify(&a.changed)
}

// notify closes the channel to wake its waiters, and replaces it.
func notify(changed *chan struct{}) {
	close(*changed)
	*changed = make(chan struct{})
}

// wait returns once ready reports true, or after timeout. ready is called with
// a.mu held, and again whenever the channel in signal is closed.
func (a *Agent) wait(timeout time.Duration, signal *chan struct{}, ready func() bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		a.mu.Lock()
		ok, changed := ready(), *signal
		a.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		}
	}
}

var padding [wire.MaxReplyBytes]byte

// ReadArgs are the arguments of Read, for one stream.
type ReadArgs struct {
	wire.ReadArgs
	Stream int
}

// Read waits up to args.Wait for new bytes of one stream and returns them.
func (a *Agent) Read(args *ReadArgs, reply *wire.ReadReply) error {
	s := &a.streams[args.Stream]
	a.wait(args.Wait, &s.changed, func() bool { return s.bytes > args.Offset })
	a.mu.Lock()
	defer a.mu.Unlock()
	reply.Verdict, reply.Request, reply.Offset = wire.VerdictKnown, args.Request, args.Offset
	reply.Started, reply.Status, reply.Header = true, 200, a.header
	reply.Data = padding[:min(s.bytes-args.Offset, wire.MaxReplyBytes)]
	return nil
}

// ReadManyArgs are the arguments of ReadMany, for all streams between a router and an
// agent.
type ReadManyArgs struct {
	wire.Meta
	Requests []string
	Offsets  []int64
	Wait     time.Duration
}

// Part holds new bytes of one stream.
type Part struct {
	Stream int
	Offset int64
	Data   []byte
}

// ReadManyReply holds the new bytes of each stream that has any.
type ReadManyReply struct {
	wire.Meta
	Parts []Part
}

// ReadMany waits up to args.Wait until any stream has new bytes, then for the linger
// time so that more can arrive, and returns all new bytes.
func (a *Agent) ReadMany(args *ReadManyArgs, reply *ReadManyReply) error {
	a.wait(args.Wait, &a.changed, func() bool {
		for i := range a.streams {
			if a.streams[i].bytes > args.Offsets[i] {
				return true
			}
		}
		return false
	})
	time.Sleep(a.linger)
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.streams {
		if n := a.streams[i].bytes - args.Offsets[i]; n > 0 {
			reply.Parts = append(reply.Parts, Part{Stream: i, Offset: args.Offsets[i], Data: padding[:n]})
		}
	}
	return nil
}

// appendDelays appends to delays the time between the due time of each token in
// [from, to) of a stream and now.
func (a *Agent) appendDelays(stream int, from, to int64, now time.Time, delays []time.Duration) []time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, due := range a.streams[stream].dueTimes[from/tokenBytes : to/tokenBytes] {
		delays = append(delays, now.Sub(due))
	}
	return delays
}
