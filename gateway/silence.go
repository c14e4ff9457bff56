package gateway

import (
	"context"
	"io"
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

// held returns what is held against an upstream: its failures, and its silence
// at now.
func (g *Gateway) held(key catalog.Key, known Known, now time.Duration) eject.Record {
	longest := silentAfter
	if known.Own == 1 {
		longest = silentAlone
	}
	if known.Silence <= longest {
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
// request of the route is taken from it; 0 means that it stays.
func patienceWithSilence(route *routing.Route) time.Duration {
	if !route.Repeatable() {
		return 0
	}
	if route.Timeout <= 0 {
		return silentLongest
	}
	return max(silentAfter, min(silentLongest, route.Timeout/2))
}

// watchSilence returns a context that ends once the upstream has been silent for
// too long for the request, and a function that ends the watch.
func (g *Gateway) watchSilence(ctx context.Context, key catalog.Key, route *routing.Route) (context.Context, func()) {
	longest := patienceWithSilence(route)
	if longest == 0 {
		return ctx, func() {}
	}
	watched, cancel := context.WithCancelCause(ctx)
	confirmed := false // by the timer, one call at a time
	var timer *time.Timer
	armed := make(chan struct{})
	timer = time.AfterFunc(longest, func() {
		<-armed
		left := longest - g.board.Silence(key)
		switch {
		case watched.Err() != nil:
		case left > 0:
			confirmed = false
			timer.Reset(left)
		case !confirmed:
			confirmed = true
			timer.Reset(silentConfirm)
		default:
			cancel(errSilent)
		}
	})
	close(armed)
	return watched, func() {
		timer.Stop()
		cancel(nil)
	}
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
	switch {
	case g.board.Silence(key) > silentAfter:
		err = errors.Wrap(err, errSilent.Error())
	case ctx.Err() != nil || errors.Is(err, forward.ErrConnectionLimit):
		return err
	}
	g.holdBack(key, err)
	return err
}
