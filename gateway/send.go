package gateway

import (
	"context"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/retry"
	"dandelionrill.example/fleet/forward"
)

// send is one send of a request to an upstream.
type send struct {
	target target
	record sendRecord
	start  time.Time
	// ctx ends with the request, or when the send is canceled.
	ctx             context.Context
	cancel          context.CancelCauseFunc
	response        *forward.Response // nil until its head has arrived
	body            io.Reader         // of response
	events          *eventReader      // of body; nil if that is not a stream
	firstDelivered  time.Time         // when its first events were delivered; zero before
	deliveredEvents int
	held            heldAnswer
	aheadBytes      int // size of the buffer of what was read ahead of a plain answer
	// undeliveredSince is the time from start to the arrival of the first bytes that cannot
	// be delivered yet, in nanoseconds; 0 if there are none.
	undeliveredSince atomic.Int64
}

func (s *send) key() catalog.Key { return s.target.upstream.Key() }

// canceled returns the cause with which the send was canceled; nil if it was not.
func (s *send) canceled() error {
	if cause := context.Cause(s.ctx); cause == errSuperseded || cause == errNotNeeded {
		return cause
	}
	return nil
}

// markUndelivered records that bytes have arrived that cannot be delivered yet.
func (s *send) markUndelivered() {
	s.undeliveredSince.CompareAndSwap(0, int64(time.Since(s.start)))
}

// markDelivered records that what had arrived was delivered. more is true if bytes behind
// it cannot be delivered yet.
func (s *send) markDelivered(more bool) {
	s.undeliveredSince.Store(0)
	if more {
		s.markUndelivered()
	}
}

// undelivered returns how long bytes have been waiting to be delivered. It may be called
// concurrently.
func (s *send) undelivered() time.Duration {
	since := s.undeliveredSince.Load()
	if since == 0 {
		return 0
	}
	return time.Since(s.start) - time.Duration(since)
}

// drainTimeout limits the time to read the rest of an answer that is dropped, so that its
// connection can be used again.
const drainTimeout = 100 * time.Millisecond

// drain reads the rest of an answer that is dropped, if that is small and arrives in time,
// and ends the exchange.
func (s *send) drain() {
	timer := time.AfterFunc(drainTimeout, func() { s.cancel(errNotNeeded) })
	drained := drainBody(s.response)
	timer.Stop()
	s.response.Close(drained)
}

// beginSend records that the request is sent to the target. The send must be ended.
func (g *Gateway) beginSend(ctx context.Context, t target, a *attempts) *send {
	s := &send{target: t, start: time.Now()}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	s.held.memory = &g.answers
	s.record = sendRecord{upstream: t.upstream.ID + "@" + t.upstream.FailureDomain, version: t.upstream.Version, load: t.load, cachedParts: t.cachedParts, failureExcess: t.failureExcess, predicted: t.cost}
	if t.fetchSource != nil {
		s.record.fetchSource = t.fetchSource.ID
	}
	if rate, limited := g.limits.Rate(s.key()); limited {
		s.record.limit = strconv.FormatFloat(rate, 'g', 4, 64)
	}
	a.tried[s.key()] = true
	if !t.counted {
		g.board.BeginRequest(s.key())
	}
	t.cost.begin()
	return s
}

// endSend records the result of a send.
func (g *Gateway) endSend(req *request, s *send, a *attempts, failure retry.Failure, result string) {
	g.board.EndRequest(s.key())
	s.target.cost.end()
	s.cancel(nil)
	s.held.resize(0)
	switch {
	case result == resultUnwritable:
		delete(a.tried, s.key()) // the bad entry, which may be another one, is not chosen again
	case failure == retry.FailureNotSent:
		a.failedDials++
	default:
		a.sent++
	}
	s.record.result, s.record.took = result, time.Since(s.start)
	req.sends = append(req.sends, s.record)
}

// Results of sends as logged and counted, in addition to the outcomes of package
// forward.
const (
	resultRefused         = "refused"
	resultAnswered        = "answered"
	resultInvalidAnswer   = "spoiled-answer"
	resultCut             = "cut"
	resultUpstreamFailure = "upstream-failure"
	resultUnwritable      = "unwritable" // the head could not be written, and nothing was sent
	resultCallerLeft      = "caller-left"
	resultSuperseded      = "superseded" // a standby attempt took over
	resultNotNeeded       = "not-needed" // a standby attempt that did not take over
)
