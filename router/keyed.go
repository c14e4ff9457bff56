package router

import (
	"context"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/claims"
	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/decide/retry"
)

// KeyBinder binds the idempotency keys of customers to tickets, so that a
// repeat through any router meets the same ticket. *claims.Binder implements
// it. Its methods may be called concurrently; errors are those of package
// claims.
type KeyBinder interface {
	// Bind returns the sealed ticket to which id is bound, after binding it to
	// one from draw where it was not.
	Bind(ctx context.Context, id claims.ID, draw claims.Draw) (string, error)
	// Rebind replaces spent, a ticket that never ran and never will.
	Rebind(ctx context.Context, id claims.ID, spent string, draw claims.Draw) (string, error)
}

// errNoKeys says that this router has no KeyBinder.
var errNoKeys = errors.Mark(errors.New("router: idempotency keys are not served"), claims.ErrUnavailable)

// runKeyed runs a call under the ticket that its idempotency key is bound to.
// A ticket that is known never to run is replaced.
func (r *Router) runKeyed(ctx context.Context, q *request, ch *chooser, id claims.ID, brought *operation) (*operation, *answerWhole, error) {
	if r.opts.Keys == nil {
		return &operation{}, nil, errNoKeys
	}
	draw := func() (string, error) { return r.drawSealed(ctx, q, ch, id.Digest, brought) }
	sealed, err := r.opts.Keys.Bind(ctx, id, draw)
	if err != nil {
		return &operation{}, nil, err
	}
	r.deposit(q.service.ID)
	for made := 1; ; made++ {
		op, err := r.open(sealed)
		if err != nil {
			return &operation{}, nil, errors.Mark(err, claims.ErrUnavailable)
		}
		answer, err := r.runTicket(ctx, q, op)
		if err == nil || !r.mayRebind(ctx, q, err, made) {
			return op, answer, err
		}
		brought = nil
		sealed, err = r.opts.Keys.Rebind(ctx, id, op.sealed, draw)
		if err != nil {
			return &operation{}, nil, err
		}
	}
}

// mayRebind tells whether err says for certain that the ticket never runs, and
// another may be tried.
func (r *Router) mayRebind(ctx context.Context, q *request, err error, made int) bool {
	var refused *refusedError
	if !errors.As(err, &refused) {
		return false
	}
	if refusal(refused.reason) == retry.FailureFinal {
		return false
	}
	return r.again(ctx, q, err, made)
}

// drawSealed returns the ticket that the caller brought, or a fresh one at the
// next upstream that answers.
func (r *Router) drawSealed(ctx context.Context, q *request, ch *chooser, digest string, brought *operation) (string, error) {
	if brought != nil {
		return brought.sealed, nil
	}
	op, err := r.drawAnywhere(ctx, q, ch, digest)
	if err != nil {
		return "", err
	}
	return op.sealed, nil
}

// drawAnywhere draws a ticket at the next upstream that answers. The ticket is
// sent to nobody.
func (r *Router) drawAnywhere(ctx context.Context, q *request, ch *chooser, digest string) (*operation, error) {
	var op *operation
	err := r.attempts(ctx, q, ch, func(c place.Candidate, _ bool) error {
		p, err := r.hello(ctx, c)
		if err != nil {
			return errors.Mark(err, errNeverSent)
		}
		t := r.draw(q, c, p, digest)
		op, err = r.seal(t, false)
		return err
	})
	return op, err
}
