package agent

import (
	"context"
	"crypto/sha256"
	"hash"
	"net/http"
	"sync"
	"time"

	"dandelionrill.example/fleet/wire"
)

// answer is what an upstream has answered so far to one request. Any number of
// readers may read it by offset while one writer appends.
type answer struct {
	request  string
	customer string
	ticketed bool

	mu       sync.Mutex
	started  bool
	status   int
	header   http.Header
	data     []byte
	sum      hash.Hash
	digest   [sha256.Size]byte
	end      end
	reason   wire.Reason
	readAt   time.Time
	endedAt  time.Time
	changed  chan struct{}
	cancel   context.CancelFunc
	released bool
	given    bool // a reader has confirmed the whole answer
}

// end tells how an answer ended.
type end uint8

const (
	endOpen    end = iota
	endWhole       // every byte is there
	endCut         // the upstream broke off, or its answer was lost
	endRefused     // never sent to the upstream, and never will be
)

// newAnswer returns an open answer. cancel stops the work behind it.
func newAnswer(request, customer string, ticketed bool, cancel context.CancelFunc) *answer {
	return &answer{
		request:  request,
		customer: customer,
		ticketed: ticketed,
		sum:      sha256.New(),
		readAt:   time.Now(),
		changed:  make(chan struct{}),
		cancel:   cancel,
	}
}

// notify wakes all readers. The caller holds mu.
func (a *answer) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// start records the upstream's status and header.
func (a *answer) start(status int, header http.Header) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started = true
	a.status = status
	a.header = header
	a.notify()
}

// finish ends the answer. Only the first call counts.
func (a *answer) finish(e end, reason wire.Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != endOpen {
		return
	}
	a.end = e
	a.reason = reason
	a.endedAt = time.Now()
	if e == endWhole {
		a.sum.Sum(a.digest[:0])
	}
	a.notify()
}

// read fills reply from offset on. It waits up to wait for a byte or the end.
func (a *answer) read(offset int64, wait time.Duration, reply *wire.ReadReply) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		a.mu.Lock()
		a.readAt = time.Now()
		if a.end != endOpen || int64(len(a.data)) > offset {
			a.fill(offset, reply)
			a.mu.Unlock()
			return
		}
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			a.mu.Lock()
			a.fill(offset, reply)
			a.mu.Unlock()
			return
		}
	}
}

// fill writes the state from offset on into reply. The caller holds mu.
func (a *answer) fill(offset int64, reply *wire.ReadReply) {
	reply.Verdict = wire.VerdictKnown
	reply.Request = a.request
	reply.Offset = offset
	reply.Started = a.started
	reply.Status = a.status
	reply.Header = a.header
	if a.end == endRefused {
		reply.Verdict = wire.VerdictRefused
		reply.Reason = a.reason
		return
	}
	total := int64(len(a.data))
	last := min(offset+wire.MaxReplyBytes, total)
	if offset < last {
		reply.Data = append([]byte(nil), a.data[offset:last]...)
	}
	if last < total || offset > total {
		return
	}
	reply.Done = a.end == endWhole
	reply.Cut = a.end == endCut
	reply.Total = total
	reply.Digest = a.digest
}

// confirm notes that a reader has the whole answer.
func (a *answer) confirm() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.given = true
}

// awaited tells whether a reader may still come for the answer: nobody has
// confirmed it, and it was read within limit.
func (a *answer) awaited(now time.Time, limit time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ticketed {
		return true // dropped once confirmed, or when unread for long
	}
	return a.end != endOpen && !a.given && now.Sub(a.readAt) < limit
}

// idle returns how long ago the answer was last read, and whether it has ended.
func (a *answer) idle(now time.Time) (since time.Duration, ended bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Sub(a.readAt), a.end != endOpen
}
