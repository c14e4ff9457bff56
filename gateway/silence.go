package gateway

import (
	"context"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/eject"
	"dandelionrill.example/fleet/forward"
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
	// maxSilence is the silence after which a standby attempt is made for a
	// repeatable request, or less if the route's timeout is short. Callers abandon a
	// stream after two seconds of silence at the earliest.
	maxSilence = time.Second
	// silenceConfirmation is how long the silence must persist before a standby
	// attempt is made: after a pause of this process itself, data that arrived
	// meanwhile has yet to be read.
	silenceConfirmation = 50 * time.Millisecond
)

// Causes of standby attempts.
var (
	errSilent  = errors.New("upstream sends nothing")
	errEndless = errors.New("upstream sends no end of an event or answer")
)

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

// answerReader reads the answer of a send, records activity of the upstream whenever it
// sends bytes, and tells the watch that the send waits for bytes. Whoever has something to
// deliver then tells the watch to proceed.
type answerReader struct {
	gateway *Gateway
	send    *send
	watch   *standbyWatch
}

// Read implements io.Reader.
func (r answerReader) Read(p []byte) (int, error) {
	r.watch.wait()
	n, err := r.send.body.Read(p)
	if n > 0 {
		r.gateway.recordActivity(r.send.key())
		r.send.markUndelivered()
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
