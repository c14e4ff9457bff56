// Package store defines what the fleet needs of the platform's object store and
// host list. The adapter is in package platform; nothing else knows the protocol.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the largest value that the object API holds.
const MaxValueBytes = 1 << 20

// Errors that every adapter returns, to be tested with errors.Is.
var (
	// ErrNotFound says that no object has the key.
	ErrNotFound = errors.New("store: object not found")
	// ErrConflict says that the object's version was not the expected one. The
	// update was not made by this call.
	ErrConflict = errors.New("store: version conflict")
	// ErrUnavailable says that the platform did not answer, or not in time. An
	// update may have taken effect: read it back to know.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrTooLarge says that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("store: value too large")
)

// UnavailableError is an ErrUnavailable with its cause, and with the wait that
// the platform asked for.
type UnavailableError struct {
	RetryAfter time.Duration // 0 if the platform named none
	Cause      error         // nil if the platform refused
}

// Error describes the failure.
func (e *UnavailableError) Error() string {
	if e.Cause != nil {
		return "store: unavailable: " + e.Cause.Error()
	}
	return "store: unavailable, retry after " + e.RetryAfter.String()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// Is makes errors.Is(err, ErrUnavailable) true.
func (e *UnavailableError) Is(target error) bool { return target == ErrUnavailable }

// RetryAfter returns the wait that the platform asked for, 0 if it named none.
func RetryAfter(err error) time.Duration {
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		return unavailable.RetryAfter
	}
	return 0
}

// Object is one versioned value.
type Object struct {
	Key     string
	Version uint64 // greater after each update; never 0 for an existing object
	Value   []byte
}

// Store is the platform's object API. Every call, a waiting watch included,
// counts against the platform's rate. All methods may be called concurrently.
type Store interface {
	// Get returns the object, or ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (Object, error)
	// Put stores value if the object's version is expected (0: it must not
	// exist) and returns the new version, or ErrConflict, ErrTooLarge or
	// ErrUnavailable.
	Put(ctx context.Context, key string, value []byte, expected uint64) (uint64, error)
	// Delete removes the object if its version is expected, or returns
	// ErrNotFound, ErrConflict or ErrUnavailable.
	Delete(ctx context.Context, key string, expected uint64) error
	// Watch waits until the object's version exceeds after, at most wait, and
	// returns the object; ErrNotFound if it does not exist when wait ends. An
	// object whose version has not moved is returned as it stands.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Object, error)
	// List returns the objects whose keys begin with prefix, by key, values
	// left out; at most limit.
	List(ctx context.Context, prefix string, limit int) ([]Object, error)
}

// HostState is what the host list says of a host.
type HostState string

// The states of the host list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Role is the kind of process of the fleet that a host runs.
type Role string

// The roles of the fleet's processes.
const (
	RoleRouter Role = "router"
	RoleAgent  Role = "agent"
)

// Host is one row of the host list.
type Host struct {
	Name          string    `json:"name"`
	Role          Role      `json:"role"`
	Service       string    `json:"service,omitempty"` // for RoleAgent: the service of its upstream
	FailureDomain string    `json:"failure_domain"`
	Address       string    `json:"address"` // of the process's RPC listener
	State         HostState `json:"state"`
}

// HostList is the platform's list of hosts. It lags.
type HostList interface {
	// Hosts returns the list as the platform shows it, or ErrUnavailable.
	Hosts(ctx context.Context) ([]Host, error)
}
