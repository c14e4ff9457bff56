package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"dandelionrill.example/fleet/decide/retry"
	"github.com/cockroachdb/errors"
)

const (
	// standbyInterval is how long a request waits until it looks again for an upstream
	// for a standby attempt, when none could be made.
	standbyInterval = 100 * time.Millisecond
	// standbyLimit is how long a standby attempt may take until it has something to
	// deliver, if another one can be made: both upstreams may be working on the request
	// meanwhile. It leaves time to read a long prompt.
	standbyLimit = 1500 * time.Millisecond
)

// Causes with which the context of a send is canceled.
var (
	errSuperseded = errors.New("a standby attempt took over")
	errNotNeeded  = errors.New("the standby attempt is not needed")
)

// standbyWatch makes a standby attempt at another upstream while the upstream of a send
// is silent, or sends bytes that cannot be delivered. The send goes on meanwhile: whichever of them has something to deliver first
// continues the answer, and the other one is canceled. Its methods, except for the timer's
// and the standby's own, are called by the goroutine that handles the request.
type standbyWatch struct {
	gateway   *Gateway
	ctx       context.Context // of the request
	req       *request
	attempts  *attempts
	send      *send         // the send being watched
	tolerance time.Duration // silence from which a standby attempt is made

	mu        sync.Mutex
	phase     standbyPhase
	timer     *time.Timer
	confirmed bool          // the last check found the silence too long as well
	failed    bool          // the send has failed, and waits for the standby attempt
	standby   *send         // in progress, or the one that took over
	done      chan struct{} // closed when standby has ended or taken over
}

// standbyPhase is the state of a standbyWatch.
type standbyPhase uint8

const (
	// phaseWaiting: the request waits for bytes, or its send has failed; it changes
	// neither its own state nor its attempts.
	phaseWaiting standbyPhase = iota
	// phaseProceeding: the request delivers what has arrived.
	phaseProceeding
	// phaseStandby: as phaseWaiting, and a standby attempt is in progress.
	phaseStandby
	// phaseSuperseded: the standby attempt has taken over.
	phaseSuperseded
	// phaseStopped: the send has ended.
	phaseStopped
)

// silenceTolerance returns how long an upstream may be silent before a standby attempt is
// made for a request.
func silenceTolerance(timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return maxSilence
	}
	return max(silenceLimit, min(maxSilence, timeout/2))
}

// watchSilence watches a send of a request. A request that is not repeatable gets no
// standby attempts. The watch must be stopped.
func (g *Gateway) watchSilence(ctx context.Context, req *request, s *send, a *attempts) *standbyWatch {
	w := &standbyWatch{gateway: g, ctx: ctx, req: req, attempts: a, send: s, tolerance: silenceTolerance(req.route.Timeout)}
	if req.route.Repeatable() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.timer = time.AfterFunc(w.tolerance, w.check)
	}
	return w
}

// check starts a standby attempt if there has been nothing to deliver for too long, that is
// still so after silenceConfirmation, and an attempt can be made. It ends one that has
// exceeded its limit, and schedules the next check.
func (w *standbyWatch) check() {
	defer w.gateway.recoverPanic("standby", w.req.AttemptID)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch w.phase {
	case phaseStopped, phaseSuperseded:
		return
	case phaseStandby:
		w.limitStandby()
		w.timer.Reset(standbyInterval)
		return
	}
	left := w.tolerance - max(w.gateway.board.Status(w.send.key()).Silence, w.send.undelivered())
	switch {
	case left > 0 || w.phase != phaseWaiting || w.failed:
		w.confirmed = false
		w.timer.Reset(max(left, standbyInterval))
	case !w.confirmed:
		w.confirmed = true
		w.timer.Reset(silenceConfirmation)
	case !w.start():
		w.timer.Reset(standbyInterval)
	}
}

// limitStandby ends one of the two attempts if the standby attempt takes too long: after
// standbyLimit that attempt, if yet another one can be made in its place, and otherwise
// after twice that time the first one. w.mu must be held.
func (w *standbyWatch) limitStandby() {
	took := time.Since(w.standby.start)
	if took < standbyLimit {
		return
	}
	if w.attempts.sent+2 < w.req.route.MaxAttempts && !w.suspected() {
		if t, ok := w.gateway.choose(w.req, w.attempts); ok && !w.gateway.needsPermit(t.upstream) {
			w.standby.cancel(errNotNeeded)
			return
		}
	}
	if !w.failed && took >= 2*standbyLimit {
		w.send.cancel(errSuperseded)
	}
}

// start starts a standby attempt, if another upstream can be chosen and the limits of
// attempts and retries allow it. w.mu must be held.
func (w *standbyWatch) start() bool {
	if !w.allowed() {
		return false
	}
	t, ok := w.gateway.reserveNow(w.req, w.attempts)
	if !ok {
		return false
	}
	if !w.gateway.withdrawRetry(w.req.service) {
		w.gateway.limits.putStash(t.upstream.Key())
		return false
	}
	w.standby, w.done = w.gateway.beginSend(w.ctx, t, w.attempts), make(chan struct{})
	w.standby.record.standby = true
	w.phase = phaseStandby
	w.timer.Reset(standbyInterval)
	w.gateway.metrics.standbys.Add(1)
	go w.run(w.standby)
	return true
}

// allowed reports whether another attempt may be made while the watched one is in
// progress. w.mu must be held.
func (w *standbyWatch) allowed() bool {
	a, req := w.attempts, w.req
	return a.sent+1 < req.route.MaxAttempts && a.failedDials < maxFailedDials &&
		time.Until(req.deadline) > minAttemptTime && (req.route.IsStream() || !req.headWritten) &&
		req.canContinue() && !w.suspected()
}

// suspected reports whether the request may end upstreams, so that it is not repeated.
// w.mu must be held.
func (w *standbyWatch) suspected() bool {
	return w.gateway.crashes.Suspected(w.req.ids, w.attempts.hasTried)
}

// run makes the standby attempt, and takes over once it has something to deliver.
func (w *standbyWatch) run(s *send) {
	failure, result := w.gateway.openStandby(w.ctx, w.req, s)
	w.mu.Lock()
	defer w.mu.Unlock()
	defer close(w.done)
	if failure == 0 && w.phase == phaseStandby {
		w.phase = phaseSuperseded
		w.gateway.metrics.standbysUsed.Add(1)
		w.send.cancel(errSuperseded)
		return
	}
	if failure == 0 {
		s.response.Close(false)
		failure, result = retry.FailureMayHaveRun, resultNotNeeded
	}
	w.gateway.endSend(w.req, s, w.attempts, failure, result)
	if w.phase == phaseStandby {
		w.phase = phaseWaiting
		w.timer.Reset(standbyInterval)
	}
}

// openStandby sends the request and reads the answer up to where it can be delivered: the
// first event of a stream, or the end of another answer, but at most bufferedAnswerBytes.
// failure is 0 if it got so far. A failure answer is not delivered, since the first
// upstream may still succeed.
func (g *Gateway) openStandby(ctx context.Context, req *request, s *send) (failure retry.Failure, result string) {
	defer g.recoverExchange(req, s, nil, &failure, &result)
	if e, failure, result := g.open(ctx, req, s); failure != 0 {
		return failure, result
	} else if e.kind != 0 { // the request itself has ended
		return retry.FailureMayHaveRun, result
	}
	if _, failure, result := g.screen(req, s); failure != 0 {
		return failure, result
	}
	success := s.response.Status < http.StatusMultipleChoices
	if s.response.Status >= http.StatusInternalServerError || req.headWritten && !success {
		s.drain()
		return retry.FailureMayHaveRun, resultUpstreamFailure
	}
	if err := g.readAhead(s); err != nil {
		s.response.Close(false)
		_, _, result := g.classifyBrokenAnswer(ctx, req, s, err)
		return retry.FailureMayHaveRun, result
	}
	return 0, ""
}

// readAhead reads the first events of a stream, or the beginning of another answer, which are read again by the next reads of s.events or s.body.
func (g *Gateway) readAhead(s *send) error {
	body := activityReader{g, s}
	if s.events != nil {
		return s.events.await(body)
	}
	var ahead bytes.Buffer
	_, err := s.readBuffered(body, &ahead)
	s.aheadBytes = ahead.Cap()
	s.body = io.MultiReader(&ahead, s.response)
	return err
}

// activityReader reads the answer of a send and records activity of the upstream.
type activityReader struct {
	gateway *Gateway
	send    *send
}

// Read implements io.Reader.
func (r activityReader) Read(p []byte) (int, error) {
	n, err := r.send.body.Read(p)
	if n > 0 {
		r.gateway.recordActivity(r.send.key())
	}
	return n, err
}

// hasStandby reports whether a standby attempt is in progress or has taken over.
func (w *standbyWatch) hasStandby() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.phase == phaseStandby || w.phase == phaseSuperseded
}

// wait tells the watch that the request waits for bytes from now on.
func (w *standbyWatch) wait() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.phase == phaseProceeding {
		w.phase = phaseWaiting
	}
}

// proceed tells the watch that bytes have arrived, and cancels a standby attempt. It
// returns false if the standby attempt has already taken over.
func (w *standbyWatch) proceed() bool {
	w.mu.Lock()
	if w.phase == phaseSuperseded {
		w.mu.Unlock()
		return false
	}
	previous := w.phase
	w.phase = phaseProceeding
	w.mu.Unlock()
	if previous == phaseStandby {
		w.cancelStandby()
		w.mu.Lock()
		defer w.mu.Unlock()
		w.timer.Reset(w.tolerance)
	}
	return true
}

// cancelStandby cancels the standby attempt in progress and waits for its end.
func (w *standbyWatch) cancelStandby() {
	w.standby.cancel(errNotNeeded)
	<-w.done
}

// stop stops the watch after the send has ended. If the send failed, it waits for a
// standby attempt in progress, otherwise it cancels it. It returns the standby attempt that
// has taken over, if there is one.
func (w *standbyWatch) stop(failed bool) *send {
	w.mu.Lock()
	w.failed = failed
	inProgress := w.phase == phaseStandby
	if !failed && w.phase != phaseSuperseded {
		w.phase = phaseStopped
	}
	w.mu.Unlock()
	switch {
	case inProgress && failed:
		<-w.done
	case inProgress:
		w.cancelStandby()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.phase == phaseSuperseded {
		return w.standby
	}
	w.phase = phaseStopped
	return nil
}
