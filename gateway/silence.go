package gateway

import (
	"context"
	"io"
	"sync"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/eject"
	"dandelionrill.example/fleet/forward"
	"dandelionrill.example/fleet/routing"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

const (
	// silenceLimit is the silence after which an upstream gets no new requests:
	// twice the 200 ms after which a lost packet is retransmitted, and well above
	// the pause while an engine reads one chunk of a prompt.
	silenceLimit = 400 * time.Millisecond
	// singleRequestSilenceLimit is the limit when only one request is in progress,
	// since that may have a long prompt: the longest of the users' deployments,
	// 42,000 tokens, takes 650 ms to read.
	singleRequestSilenceLimit = 800 * time.Millisecond
	// maxSilence is the silence after which a repeatable request is abandoned at
	// an upstream and sent to another one, or less if the route's timeout is
	// short. Callers abandon a stream after two seconds of silence at the
	// earliest.
	maxSilence = time.Second
	// silenceConfirmation is how long the silence must persist before a request is
	// taken from an upstream: after a pause of this process itself, data that
	// arrived meanwhile has yet to be read.
	silenceConfirmation = 50 * time.Millisecond
)

// errSilent is the cause when a request is canceled because its upstream sends
// nothing.
var errSilent = errors.New("upstream sends nothing")

// tooSilent reports whether an upstream's silence counts as a fault.
func tooSilent(status UpstreamStatus) bool {
	if status.OwnLoad <= 1 {
		return status.Silence > singleRequestSilenceLimit
	}
	return status.Silence > silenceLimit
}

// ejectionRecord returns the failure record of an upstream, extended by a backoff
// past now if its silence counts as a fault.
func (g *Gateway) ejectionRecord(key catalog.Key, status UpstreamStatus, now time.Duration) eject.Record {
	if !tooSilent(status) {
		return status.Failures
	}
	if g.board.MarkSilent(key) {
		g.metrics.silences.Add(1)
		g.opts.Log.WithFields(log.Fields{
			"upstream": key.ID, "silent_ms": status.Silence.Milliseconds(), "requests": status.OwnLoad, "catalog": g.catalog.Load().Revision,
		}).Info("upstream is silent; no new requests until it sends something")
	}
	return status.Failures.EjectedUntil(now + 1)
}

// recordActivity records that an upstream sent something, and logs the end of a
// silence that counted as a fault.
func (g *Gateway) recordActivity(key catalog.Key) {
	if g.board.RecordActivity(key) {
		g.opts.Log.WithFields(log.Fields{"upstream": key.ID, "catalog": g.catalog.Load().Revision}).Info("upstream sends again")
	}
}

// silenceTolerance returns how long an upstream may be silent before a request is
// taken from it; 0 means that the request stays there, because it is not
// repeatable or this is its last attempt.
func silenceTolerance(route *routing.Route, a *attempts) time.Duration {
	if !route.Repeatable() || a.sent+1 >= route.MaxAttempts {
		return 0
	}
	if route.Timeout <= 0 {
		return maxSilence
	}
	return max(silenceLimit, min(maxSilence, route.Timeout/2))
}

// silenceWatch cancels a context once an upstream has been silent for too long.
type silenceWatch struct {
	board     *Board
	key       catalog.Key
	tolerance time.Duration
	cancel    context.CancelCauseFunc
	// hasUntried reports whether there is an upstream that was not tried yet.
	hasUntried func() bool

	mu       sync.Mutex
	timer    *time.Timer
	exceeded bool // the last check found the silence too long
}

// watchSilence returns a context that is canceled once the upstream has been
// silent for too long for the request, and a function that stops the watch.
func (g *Gateway) watchSilence(ctx context.Context, key catalog.Key, req *request, a *attempts) (context.Context, func()) {
	tolerance := silenceTolerance(req.route, a)
	if tolerance == 0 {
		return ctx, func() {}
	}
	watched, cancel := context.WithCancelCause(ctx)
	tried := len(a.tried) // including this upstream
	hasUntried := func() bool { return len(g.catalog.Load().Service(req.service)) > tried }
	w := &silenceWatch{board: g.board, key: key, tolerance: tolerance, cancel: cancel, hasUntried: hasUntried}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(tolerance, w.check)
	return watched, w.stop
}

// check cancels the context if the silence is too long, is still so after
// silenceConfirmation, and there is an untried upstream. Otherwise it schedules
// the next check.
func (w *silenceWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	left := w.tolerance - w.board.Status(w.key).Silence
	switch {
	case left > 0:
		w.exceeded = false
		w.timer.Reset(left)
	case !w.exceeded || !w.hasUntried():
		w.exceeded = true
		w.timer.Reset(silenceConfirmation)
	default:
		w.cancel(errSilent)
	}
}

// stop stops the watch and releases its context.
func (w *silenceWatch) stop() {
	w.cancel(nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
}

// activityReader records activity of the upstream whenever it sends bytes.
type activityReader struct {
	gateway *Gateway
	key     catalog.Key
	source  io.Reader
}

// Read implements io.Reader.
func (r activityReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if n > 0 {
		r.gateway.recordActivity(r.key)
	}
	return n, err
}

// attributeFailure records a failed send or a broken answer as a failure of the
// upstream, unless it was caused by the caller, the deadline, or this router.
// Excessive silence counts as a failure of the upstream whatever ended the wait.
func (g *Gateway) attributeFailure(ctx context.Context, key catalog.Key, err error) error {
	var failure *forward.Error
	reached := !errors.As(err, &failure) || failure.Outcome != forward.NotSent
	switch {
	case tooSilent(g.board.Status(key)):
		reached = false
		err = errors.Wrap(err, errSilent.Error())
	case ctx.Err() != nil || errors.Is(err, forward.ErrConnectionLimit):
		return err
	}
	g.recordFailure(key, reached, err)
	return err
}
