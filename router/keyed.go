package router

import (
	"context"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/claims"
	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/decide/retry"
)

// KeyBinder binds the idempotency keys of customers to tickets, so that a
// repeated call uses the same ticket, whichever router receives it.
// *claims.Binder implements it. Its methods may be called concurrently; errors
// are those of package claims.
type KeyBinder interface {
	// Bind returns the sealed ticket to which id is bound. If id is not bound,
	// it binds id to a ticket from issue.
	Bind(ctx context.Context, id claims.ID, issue claims.IssueFunc) (string, error)
	// Rebind replaces spent, a ticket that has not run and never will.
	Rebind(ctx context.Context, id claims.ID, spent string, issue claims.IssueFunc) (string, error)
}

// errNoKeys reports that this router has no KeyBinder.
var errNoKeys = errors.Mark(errors.New("router: idempotency keys are not supported"), claims.ErrUnavailable)

// runKeyed runs a call under the ticket to which its idempotency key is bound.
// A ticket that is known never to run is replaced.
func (r *Router) runKeyed(ctx context.Context, q *request, upstreams *upstreamIterator, id claims.ID, supplied *operation) (*operation, *completeAnswer, error) {
	if r.opts.Keys == nil {
		return &operation{}, nil, errNoKeys
	}
	issue := func() (string, error) { return r.issueSealed(ctx, q, upstreams, id.Digest, supplied) }
	sealed, err := r.opts.Keys.Bind(ctx, id, issue)
	if err != nil {
		return &operation{}, nil, err
	}
	r.deposit(q.service.ID)
	for attempt := 1; ; attempt++ {
		op, err := r.openTicket(sealed)
		if err != nil {
			return &operation{}, nil, errors.Mark(err, claims.ErrUnavailable)
		}
		answer, err := r.runTicket(ctx, q, op)
		if err == nil || !r.mayRebind(ctx, q, err, attempt) {
			return op, answer, err
		}
		supplied = nil
		sealed, err = r.opts.Keys.Rebind(ctx, id, op.sealed, issue)
		if err != nil {
			return &operation{}, nil, err
		}
	}
}

// mayRebind reports whether err guarantees that the ticket never runs, and
// another ticket may be tried.
func (r *Router) mayRebind(ctx context.Context, q *request, err error, attempt int) bool {
	var refused *refusedError
	if !errors.As(err, &refused) {
		return false
	}
	if classifyRefusal(refused.reason) == retry.FailureFinal {
		return false
	}
	return r.shouldRetry(ctx, q, err, attempt)
}

// issueSealed returns the ticket that the caller sent, or a new one at the
// next upstream that replies.
func (r *Router) issueSealed(ctx context.Context, q *request, upstreams *upstreamIterator, digest string, supplied *operation) (string, error) {
	if supplied != nil {
		return supplied.sealed, nil
	}
	op, err := r.issueAtNextUpstream(ctx, q, upstreams, digest)
	if err != nil {
		return "", err
	}
	return op.sealed, nil
}

// issueAtNextUpstream issues a ticket at the next upstream that replies. It
// does not submit the ticket.
func (r *Router) issueAtNextUpstream(ctx context.Context, q *request, upstreams *upstreamIterator, digest string) (*operation, error) {
	var op *operation
	err := r.tryUpstreams(ctx, q, upstreams, func(c place.Candidate, _ bool) error {
		p, err := r.hello(ctx, c)
		if err != nil {
			return errors.Mark(err, errNotAccepted)
		}
		t := r.issueTicket(q, c, p, digest)
		op, err = r.sealTicket(t, false)
		return err
	})
	return op, err
}
