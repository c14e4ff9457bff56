// Package claims binds the idempotency keys of customers to tickets through
// the platform's object API, so that a repeat of a key through any router meets
// the ticket of the first call.
package claims

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/controllers/schedule"
	"dandelionrill.example/fleet/store"
)

// Prefix begins the platform keys of all claims.
const Prefix = "claims/"

// Defaults of Options.
const (
	DefaultTries = 3
	DefaultPause = 50 * time.Millisecond
)

// Errors to be tested with errors.Is of cockroachdb/errors.
var (
	// ErrMismatch says that the key was first used for another request.
	ErrMismatch = errors.New("claims: the key was first used for another request")
	// ErrUnavailable says that the platform did not settle the binding. Nothing
	// was run by this call; an earlier call with the same key may have run.
	ErrUnavailable = errors.New("claims: the platform did not settle the binding")
)

// ID names a customer's key on a service, for one request. Another customer's
// same key is another ID.
type ID struct {
	Customer string
	Service  string
	Key      string
	Digest   string // of the request
}

// object returns the platform key of the claim. Parts are hashed with their
// lengths, so that no two IDs share one.
func (id ID) object() string {
	raw, _ := json.Marshal([]string{id.Customer, id.Service, id.Key}) // strings always encode
	sum := sha256.Sum256(raw)
	return Prefix + hex.EncodeToString(sum[:])
}

// Claim is the value of a claim's object.
type Claim struct {
	Digest string `json:"digest"`
	Ticket string `json:"ticket"` // sealed
}

// Options configure a Binder. Zero values take the defaults.
type Options struct {
	Store store.Store
	Tries int           // conditional updates of one call
	Pause time.Duration // between tries, when the platform does not answer
}

// Binder binds keys. All methods may be called concurrently, in any number of
// processes.
type Binder struct {
	opts Options
}

// New returns a binder on opts.Store.
func New(opts Options) *Binder {
	if opts.Tries == 0 {
		opts.Tries = DefaultTries
	}
	if opts.Pause == 0 {
		opts.Pause = DefaultPause
	}
	return &Binder{opts: opts}
}

// Draw returns a fresh sealed ticket that nobody has been given yet.
type Draw func() (string, error)

// Bind returns the ticket to which id is bound. An unbound id is bound to one
// from draw by a conditional create: one platform call where the key is new.
// It fails with ErrMismatch, ErrUnavailable or, where the key is not bound,
// draw's error.
func (b *Binder) Bind(ctx context.Context, id ID, draw Draw) (string, error) {
	sealed, err := draw()
	if err != nil {
		return b.bound(ctx, id, err)
	}
	return b.settle(ctx, id, Claim{Digest: id.Digest, Ticket: sealed}, 0)
}

// bound returns the ticket to which id is bound, or undrawn if there is none:
// only then is it certain that no earlier call with the key has run.
func (b *Binder) bound(ctx context.Context, id ID, undrawn error) (string, error) {
	claim, _, err := b.read(ctx, id)
	switch {
	case err == nil:
		return b.accept(id, claim)
	case errors.Is(err, store.ErrNotFound):
		return "", undrawn
	default:
		return "", unavailable(err)
	}
}

// Rebind binds id to a ticket from draw in place of spent, a ticket that has
// never run and never will. Where another call was faster, its ticket is
// returned. It fails like Bind.
func (b *Binder) Rebind(ctx context.Context, id ID, spent string, draw Draw) (string, error) {
	claim, version, err := b.read(ctx, id)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return "", unavailable(err)
	}
	if version != 0 && claim.Ticket != spent {
		return b.accept(id, claim)
	}
	sealed, err := draw()
	if err != nil {
		return "", err
	}
	return b.settle(ctx, id, Claim{Digest: id.Digest, Ticket: sealed}, version)
}

// settle writes claim over version and returns the ticket that stands
// afterwards. An update whose answer was lost is settled by reading back: as
// long as the object has not moved, the same update may be tried again.
func (b *Binder) settle(ctx context.Context, id ID, claim Claim, version uint64) (string, error) {
	value, err := json.Marshal(claim)
	if err != nil {
		return "", errors.Wrap(err, "claims: encode")
	}
	for try := 1; ; try++ {
		_, err := b.opts.Store.Put(ctx, id.object(), value, version)
		if err == nil {
			return claim.Ticket, nil
		}
		standing, now, readErr := b.read(ctx, id)
		if readErr == nil && now != version {
			return b.accept(id, standing)
		}
		if try >= b.opts.Tries || !schedule.Sleep(ctx, b.opts.Pause) {
			return "", unavailable(err)
		}
	}
}

// accept returns the ticket of a standing claim, if it is for the same request.
func (b *Binder) accept(id ID, claim Claim) (string, error) {
	if claim.Digest != id.Digest {
		return "", ErrMismatch
	}
	return claim.Ticket, nil
}

// read returns the standing claim and its version, 0 if there is none.
func (b *Binder) read(ctx context.Context, id ID) (Claim, uint64, error) {
	object, err := b.opts.Store.Get(ctx, id.object())
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
