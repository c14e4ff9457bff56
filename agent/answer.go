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

// answer is the part of an upstream's answer to one request that has arrived so
// far. Any number of readers may read it by offset while one writer appends.
type answer struct {
	request  string
	customer string
	ticketed bool

	mu        sync.Mutex
	started   bool
	status    int
	header    http.Header
	data      []byte
	sum       hash.Hash
	digest    [sha256.Size]byte
	end       end
	reason    wire.Reason
	readAt    time.Time
	endedAt   time.Time
	changed   chan struct{}
	cancel    context.CancelFunc
	dropped   bool
	confirmed bool // a reader has confirmed that it received the complete answer
}

// end is how an answer ended.
type end uint8

const (
	endOpen      end = iota
	endComplete      // every byte has arrived
	endTruncated     // the upstream stopped before the end, or its answer was lost
	endRefused       // the request did not run on the upstream and never will
)

// newAnswer returns an unfinished answer. cancel stops the upstream call that
// produces it.
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

// finish ends the answer. Calls after the first have no effect.
func (a *answer) finish(e end, reason wire.Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != endOpen {
		return
	}
	a.end = e
	a.reason = reason
	a.endedAt = time.Now()
	if e == endComplete {
		a.sum.Sum(a.digest[:0])
	}
	a.notify()
}

// read fills reply with the answer from offset on. It waits up to wait until
// there is a byte to return or the answer has ended.
func (a *answer) read(offset int64, wait time.Duration, reply *wire.ReadReply) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed, filled := a.readNow(offset, false, reply)
		if filled {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			a.readNow(offset, true, reply)
			return
		}
	}
}

// readNow fills reply if there is a byte to return, the answer has ended or always is true,
// and otherwise returns the channel that is closed at the next change.
func (a *answer) readNow(offset int64, always bool, reply *wire.ReadReply) (changed <-chan struct{}, filled bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readAt = time.Now()
	if always || a.end != endOpen || int64(len(a.data)) > offset {
		a.fill(offset, reply)
		return nil, true
	}
	return a.changed, false
}

// fill copies the answer's state and its data from offset on into reply. The
// caller holds mu.
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
	reply.Done = a.end == endComplete
	reply.Cut = a.end == endTruncated
	reply.Total = total
	reply.Digest = a.digest
}

// confirm records that a reader has received the complete answer.
func (a *answer) confirm() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.confirmed = true
}

// awaitingReader reports whether a reader is still expected for the answer. This
// holds for every answer to an idempotent request until it is dropped, and for an
// answer to a ticketed request if it has ended, is unconfirmed, and was last read
// less than limit ago.
func (a *answer) awaitingReader(now time.Time, limit time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ticketed {
		return true // it is dropped once confirmed, or after it was not read for too long
	}
	return a.end != endOpen && !a.confirmed && now.Sub(a.readAt) < limit
}

// idle returns the time since the answer was last read, and whether it has ended.
func (a *answer) idle(now time.Time) (since time.Duration, ended bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Sub(a.readAt), a.end != endOpen
}
