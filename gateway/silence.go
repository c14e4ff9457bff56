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
	// silentAfter is the silence after which an upstream takes no new requests:
	// twice the 200 ms after which a lost packet is sent again, and well above
	// the pause that the reading of one chunk of a prompt makes.
	silentAfter = 400 * time.Millisecond
	// silentAlone is the same where one answer only is owed, which can be that to
	// a long prompt: 42,000 tokens, the longest of the users' deployments, are read
	// in 650 ms.
	silentAlone = 800 * time.Millisecond
	// silentLongest is the silence after which a request that may be repeated is
	// given up at an upstream and sent to another one. Callers leave a stream
	// after two seconds of silence at the earliest.
	silentLongest = time.Second
	// silentConfirm is how long an upstream that seems silent is given before a
	// request is taken from it: after a pause of this process itself, what has
	// come meanwhile is still to be read.
	silentConfirm = 50 * time.Millisecond
)

// errSilent is why a request is taken from an upstream that sends nothing.
var errSilent = errors.New("upstream sends nothing")

// tooSilent tells whether an upstream's silence is taken for a fault.
func tooSilent(known Known) bool {
	if known.Own <= 1 {
		return known.Silence > silentAlone
	}
	return known.Silence > silentAfter
}

// heldAgainst returns what is held against an upstream: its failures, and its
// silence at now.
func (g *Gateway) heldAgainst(key catalog.Key, known Known, now time.Duration) eject.Record {
	if !tooSilent(known) {
		return known.Failures
	}
	if g.board.FellSilent(key) {
		g.metrics.silences.Add(1)
		g.opts.Log.WithFields(log.Fields{
			"upstream": key.ID, "silent_ms": known.Silence.Milliseconds(), "requests": known.Own, "catalog": g.catalog.Load().Revision,
		}).Info("upstream is silent; no new requests until it sends something")
	}
	return known.Failures.HeldUntil(now + 1)
}

// heard records that an upstream sent something.
func (g *Gateway) heard(key catalog.Key) {
	if g.board.Heard(key) {
		g.opts.Log.WithFields(log.Fields{"upstream": key.ID, "catalog": g.catalog.Load().Revision}).Info("upstream sends again")
	}
}

// patienceWithSilence returns for how long an upstream may be silent before a
// request is taken from it; 0 means that it stays, for it may not be repeated or
// this is its last attempt.
func patienceWithSilence(route *routing.Route, a *attempts) time.Duration {
	if !route.Repeatable() || a.made+1 >= route.MaxAttempts {
		return 0
	}
	if route.Timeout <= 0 {
		return silentLongest
	}
	return max(silentAfter, min(silentLongest, route.Timeout/2))
}

// silenceWatch ends a context once an upstream has been silent for too long.
type silenceWatch struct {
	board   *Board
	key     catalog.Key
	longest time.Duration
	cancel  context.CancelCauseFunc
	// others tells whether there is an upstream that was not tried yet.
	others func() bool

	mu        sync.Mutex
	timer     *time.Timer
	confirmed bool // the silence was too long when it was looked at last
}

// watchSilence returns a context that ends once the upstream has been silent for
// too long for the request, and a function that ends the watch.
func (g *Gateway) watchSilence(ctx context.Context, key catalog.Key, req *request, a *attempts) (context.Context, func()) {
	longest := patienceWithSilence(req.route, a)
	if longest == 0 {
		return ctx, func() {}
	}
	watched, cancel := context.WithCancelCause(ctx)
	tried := len(a.tried) // this upstream included
	others := func() bool { return len(g.catalog.Load().Service(req.service)) > tried }
	w := &silenceWatch{board: g.board, key: key, longest: longest, cancel: cancel, others: others}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(longest, w.look)
	return watched, w.end
}

// look ends the context if the silence is too long, and stays so for a moment.
func (w *silenceWatch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	left := w.longest - w.board.Known(w.key).Silence
	switch {
	case left > 0:
		w.confirmed = false
		w.timer.Reset(left)
	case !w.confirmed || !w.others():
		w.confirmed = true
		w.timer.Reset(silentConfirm)
	default:
		w.cancel(errSilent)
	}
}

// end ends the watch.
func (w *silenceWatch) end() {
	w.cancel(nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
}

// listener notes every byte that an upstream sends.
type listener struct {
	gateway *Gateway
	key     catalog.Key
	source  io.Reader
}

// Read implements io.Reader.
func (l listener) Read(p []byte) (int, error) {
	n, err := l.source.Read(p)
	if n > 0 {
		l.gateway.heard(l.key)
	}
	return n, err
}

// blame holds a failed send or a broken answer against the upstream, unless the
// cause is elsewhere: with the caller, the deadline, or this router. Silence
// counts whatever ended the wait.
func (g *Gateway) blame(ctx context.Context, key catalog.Key, err error) error {
	var failure *forward.Error
	reached := !errors.As(err, &failure) || failure.Outcome != forward.NotSent
	switch {
	case tooSilent(g.board.Known(key)):
		reached = false
		err = errors.Wrap(err, errSilent.Error())
	case ctx.Err() != nil || errors.Is(err, forward.ErrConnectionLimit):
		return err
	}
	g.holdBack(key, reached, err)
	return err
}
