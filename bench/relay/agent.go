// Package relay measures the processor time that passing on generated tokens
// costs over package link, for several ways of reading them from agents.
package relay

import (
	"context"
	"sync"
	"time"

	"dandelionrill.example/fleet/wire"
)

// tokenBytes is the size of one server-sent event with one token.
const tokenBytes = 180

// minTick bounds how often a generator wakes up.
const minTick = 500 * time.Microsecond

// Agent stands for an agent whose streams each produce one token an interval.
type Agent struct {
	mu      sync.Mutex
	streams []stream
	changed chan struct{}
	header  map[string][]string
	linger  time.Duration
}

type stream struct {
	bytes   int64
	made    []time.Time // when each token was due
	changed chan struct{}
}

func newAgent(streams int, header map[string][]string, linger time.Duration) *Agent {
	a := &Agent{streams: make([]stream, streams), changed: make(chan struct{}), header: header, linger: linger}
	for i := range a.streams {
		a.streams[i].changed = make(chan struct{})
	}
	return a
}

// generate makes tokens until ctx ends, spread evenly over the interval. A late
// tick makes all tokens that are due.
func (a *Agent) generate(ctx context.Context, interval time.Duration) {
	step := interval / time.Duration(len(a.streams))
	ticker := time.NewTicker(max(step, minTick))
	defer ticker.Stop()
	due, i := time.Now(), 0
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for ; due.Before(now); due = due.Add(step) {
				a.add(i, due)
				i = (i + 1) % len(a.streams)
			}
		}
	}
}

func (a *Agent) add(i int, due time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := &a.streams[i]
	s.bytes += tokenBytes
	s.made = append(s.made, due)
	notify(&s.changed)
	notify(&a.changed)
}

func notify(changed *chan struct{}) {
	close(*changed)
	*changed = make(chan struct{})
}

// wait returns once ready reports true, or after the given time. ready is
// called under the lock, and again after each change that source tells of.
func (a *Agent) wait(limit time.Duration, source *chan struct{}, ready func() bool) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		a.mu.Lock()
		ok, changed := ready(), *source
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

// ReadArgs asks for one stream.
type ReadArgs struct {
	wire.ReadArgs
	Stream int
}

// Read answers with the new bytes of one stream.
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

// ReadManyArgs asks for all streams of one router at an agent.
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

// ReadManyReply holds the new bytes of all streams that have some.
type ReadManyReply struct {
	wire.Meta
	Parts []Part
}

// ReadMany answers once a stream has new bytes, and lingers for more.
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

// delays returns how long the tokens between two offsets of a stream waited.
func (a *Agent) delays(stream int, from, to int64, now time.Time, into []time.Duration) []time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, made := range a.streams[stream].made[from/tokenBytes : to/tokenBytes] {
		into = append(into, now.Sub(made))
	}
	return into
}
