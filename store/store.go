// Package store defines the interfaces to the platform's object store and host
// list. Package platform implements them and is the only one that uses the
// platform's protocol.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the size of the largest value that the object API accepts.
const MaxValueBytes = 1 << 20

// Errors that every adapter returns; test for them with errors.Is.
var (
	// ErrNotFound means that no object has the key.
	ErrNotFound = errors.New("store: object not found")
	// ErrConflict means that the object's version was not the expected one. This
	// call did not make the update.
	ErrConflict = errors.New("store: version conflict")
	// ErrUnavailable means that the platform rejected the call or did not answer
	// in time. An update may have taken effect; read the object to find out.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrTooLarge means that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("store: value too large")
)

// UnavailableError is an ErrUnavailable with its cause and the retry delay that
// the platform requested.
type UnavailableError struct {
	RetryAfter time.Duration // 0 if the platform requested none
	Cause      error         // nil if the platform rejected the call
}

// Error implements error.
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

// RetryAfter returns the retry delay that the platform requested; 0 if none.
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
	Version uint64 // greater after each update, also across returns of the store from a copy; never 0 for an existing object
	Value   []byte
}

// Store is the platform's object API. Every call, including a watch, counts
// against the platform's rate limit. The methods may be called concurrently.
type Store interface {
	// Get returns the object, or ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (Object, error)
	// Put stores value if the object's version equals expected, where 0 means
	// that the object must not exist. It returns the new version, or ErrConflict,
	// ErrTooLarge or ErrUnavailable.
	Put(ctx context.Context, key string, value []byte, expected uint64) (uint64, error)
	// Delete removes the object if its version equals expected, or returns
	// ErrNotFound, ErrConflict or ErrUnavailable.
	Delete(ctx context.Context, key string, expected uint64) error
	// Watch waits until the object's version exceeds after, for at most wait, and
	// returns the object. When wait ends it returns the object unchanged, or
	// ErrNotFound if it does not exist.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Object, error)
	// List returns at most limit objects whose keys begin with prefix, sorted by
	// key and without values.
	List(ctx context.Context, prefix string, limit int) ([]Object, error)
}

// HostState is the state of a host in the host list.
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

// HostList is the platform's list of hosts. It may be out of date.
type HostList interface {
	// Hosts returns the list as the platform reports it, or ErrUnavailable.
	Hosts(ctx context.Context) ([]Host, error)
}
