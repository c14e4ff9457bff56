// Package claims binds the idempotency keys of customers to tickets through
// the platform's object API, so that a call repeated with the same key uses
// the ticket of the first call, whichever router receives it.
package claims

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/controllers/schedule"
	"dandelionrill.example/fleet/store"
)

// Prefix is the prefix of the platform keys of all claims.
const Prefix = "claims/"

// Defaults of Options.
const (
	DefaultMaxAttempts = 3
	DefaultRetryDelay  = 50 * time.Millisecond
)

// Errors for use with errors.Is of cockroachdb/errors.
var (
	// ErrMismatch reports that the key was first used for another request.
	ErrMismatch = errors.New("claims: the key was first used for another request")
	// ErrUnavailable reports that the platform did not confirm the binding.
	// This call ran nothing; an earlier call with the same key may have run.
	ErrUnavailable = errors.New("claims: the platform did not confirm the binding of the key")
)

// ID identifies a customer's key on a service, for one request. The same key
// of another customer is another ID.
type ID struct {
	Customer string
	Service  string
	Key      string
	Digest   string // of the request
}

// storeKey returns the platform key of the claim. It hashes the JSON encoding
// of the parts, which separates them, so that different customers, services or
// keys never share a claim.
func (id ID) storeKey() string {
	raw, _ := json.Marshal([]string{id.Customer, id.Service, id.Key}) // encoding strings cannot fail
	sum := sha256.Sum256(raw)
	return Prefix + hex.EncodeToString(sum[:])
}

// Claim is the stored value of a claim.
type Claim struct {
	Digest string `json:"digest"`
	Ticket string `json:"ticket"` // sealed
}

// Options configures a Binder. Zero values take the defaults.
type Options struct {
	Store       store.Store
	Eras        *store.Eras   // of the store's answers; nil means that the store never returns from a copy
	MaxAttempts int           // maximum number of conditional updates per call
	RetryDelay  time.Duration // delay between attempts
	SettleTime  time.Duration // time after a return of the store during which no key counts as new
}

// Binder binds idempotency keys to tickets. All methods may be called
// concurrently, in any number of processes.
type Binder struct {
	opts    Options
	settled atomic.Uint64 // newest settled era of the store, as far as known
}

// New returns a Binder that uses opts.Store. If opts has Eras, call Run.
func New(opts Options) *Binder {
	if opts.MaxAttempts == 0 {
		opts.MaxAttempts = DefaultMaxAttempts
	}
	if opts.RetryDelay == 0 {
		opts.RetryDelay = DefaultRetryDelay
	}
	if opts.SettleTime == 0 {
		opts.SettleTime = DefaultSettleTime
	}
	return &Binder{opts: opts}
}

// IssueFunc returns the sealed ticket to bind: a new one, or one that the caller
// sent with its call.
type IssueFunc func() (string, error)

// Bind returns the ticket to which id is bound. If id is not bound, Bind binds
// it to a ticket from issue by a conditional create, which takes one platform
// call if the key is new. It fails with ErrMismatch, ErrUnavailable or, if the
// key is not bound, the error of issue. After the store has returned from a copy, it
// binds no key for a time, as the store may have lost the claim of the key.
func (b *Binder) Bind(ctx context.Context, id ID, issue IssueFunc) (string, error) {
	if !b.isSettled() {
		return b.boundTicket(ctx, id, errUnsettled)
	}
	sealed, err := issue()
	if err != nil {
		return b.boundTicket(ctx, id, err)
	}
	return b.putClaim(ctx, id, Claim{Digest: id.Digest, Ticket: sealed}, 0)
}

// boundTicket returns the ticket to which id is bound. If id is not bound, it
// returns issueErr: only then is it certain that no earlier call with the key
// has run.
func (b *Binder) boundTicket(ctx context.Context, id ID, issueErr error) (string, error) {
	claim, _, err := b.read(ctx, id)
	switch {
	case err == nil:
		return b.accept(id, claim)
	case errors.Is(err, store.ErrNotFound):
		return "", issueErr
	default:
		return "", unavailable(err)
	}
}

// Rebind binds id to a ticket from issue in place of spent, a ticket that has
// not run and never will. If another call has rebound id first, Rebind returns
// that call's ticket. It fails with ErrMismatch, ErrUnavailable or the error of
// issue.
func (b *Binder) Rebind(ctx context.Context, id ID, spent string, issue IssueFunc) (string, error) {
	claim, version, err := b.read(ctx, id)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return "", unavailable(err)
	}
	if version != 0 && claim.Ticket != spent {
		return b.accept(id, claim)
	}
	if !b.isSettled() {
		return "", errUnsettled // the store may have lost a claim that replaced spent
	}
	sealed, err := issue()
	if err != nil {
		return "", err
	}
	return b.putClaim(ctx, id, Claim{Digest: id.Digest, Ticket: sealed}, version)
}

// putClaim replaces the claim at version and returns the ticket that is bound
// afterwards. If the reply to an update is lost, it reads the claim back:
// while the claim still has the same version, the same update may be repeated.
func (b *Binder) putClaim(ctx context.Context, id ID, claim Claim, version uint64) (string, error) {
	value, err := json.Marshal(claim)
	if err != nil {
		return "", errors.Wrap(err, "claims: encode")
	}
	for attempt := 1; ; attempt++ {
		written, err := b.opts.Store.Put(ctx, id.storeKey(), value, version)
		if err == nil && !b.isSettled() {
			return "", b.withdraw(ctx, id, written)
		}
		if err == nil {
			return claim.Ticket, nil
		}
		existing, current, readErr := b.read(ctx, id)
		if readErr == nil && current != version {
			if existing == claim && !b.isSettled() {
				return "", b.withdraw(ctx, id, current)
			}
			return b.accept(id, existing)
		}
		if attempt >= b.opts.MaxAttempts || !schedule.Sleep(ctx, b.opts.RetryDelay) {
			return "", unavailable(err)
		}
	}
}

// accept returns the ticket of an existing claim if it is for the same
// request.
func (b *Binder) accept(id ID, claim Claim) (string, error) {
	if claim.Digest != id.Digest {
		return "", ErrMismatch
	}
	return claim.Ticket, nil
}

// read returns the existing claim and its version, or version 0 and an error.
func (b *Binder) read(ctx context.Context, id ID) (Claim, uint64, error) {
	object, err := b.opts.Store.Get(ctx, id.storeKey())
	if err != nil {
		return Claim{}, 0, err
	}
	var claim Claim
	if err := json.Unmarshal(object.Value, &claim); err != nil {
		return Claim{}, 0, errors.Wrap(err, "claims: decode")
	}
	return claim, object.Version, nil
}

func unavailable(err error) error {
	return errors.Mark(errors.Wrap(err, "claims: bind key"), ErrUnavailable)
}
