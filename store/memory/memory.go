// Package memory is a platform within the process, for tests and trials: the
// object API and the host list, with counted calls and injected faults.
package memory

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"dandelionrill.example/fleet/store"
)

// Platform implements store.Store and store.HostList. All methods may be
// called concurrently. Use New.
type Platform struct {
	mu       sync.Mutex
	version  uint64
	objects  map[string]store.Object
	hosts    []store.Host
	changed  chan struct{}
	out      bool
	loseNext int
	calls    int
	beforeUp func()
}

var (
	_ store.Store    = (*Platform)(nil)
	_ store.HostList = (*Platform)(nil)
)

// New returns an empty platform.
func New() *Platform {
	return &Platform{objects: make(map[string]store.Object), changed: make(chan struct{})}
}

// SetOut starts or ends an outage. Its start ends waiting watches.
func (p *Platform) SetOut(out bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.out = out
	p.announce()
}

// LoseAnswers makes the next n updates take effect without an answer.
func (p *Platform) LoseAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loseNext = n
}

// BeforeUpdate calls f once, before the next update, outside any lock.
func (p *Platform) BeforeUpdate(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beforeUp = f
}

// SetHosts sets the host list.
func (p *Platform) SetHosts(hosts []store.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = slices.Clone(hosts)
}

// Calls returns how many calls there were, refused ones included.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// announce wakes the waiting watches. p.mu is held.
func (p *Platform) announce() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// begin counts a call and refuses it in an outage. p.mu is held.
func (p *Platform) begin() error {
	p.calls++
	if p.out {
		return &store.UnavailableError{}
	}
	return nil
}

// Get implements store.Store.
func (p *Platform) Get(_ context.Context, key string) (store.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.begin(); err != nil {
		return store.Object{}, err
	}
	return p.get(key)
}

func (p *Platform) get(key string) (store.Object, error) {
	object, ok := p.objects[key]
	if !ok {
		return store.Object{}, store.ErrNotFound
	}
	return object, nil
}

// Put implements store.Store.
func (p *Platform) Put(_ context.Context, key string, value []byte, expected uint64) (uint64, error) {
	p.hook()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.begin(); err != nil {
		return 0, err
	}
	if len(value) > store.MaxValueBytes {
		return 0, store.ErrTooLarge
	}
	if p.objects[key].Version != expected {
		return 0, store.ErrConflict
	}
	p.version++
	p.objects[key] = store.Object{Key: key, Version: p.version, Value: slices.Clone(value)}
	p.announce()
	return p.version, p.answer()
}

// hook runs the function of BeforeUpdate.
func (p *Platform) hook() {
	p.mu.Lock()
	f := p.beforeUp
	p.beforeUp = nil
	p.mu.Unlock()
	if f != nil {
		f()
	}
}

// answer loses the answer to an update if that is due. p.mu is held.
func (p *Platform) answer() error {
	if p.loseNext == 0 {
		return nil
	}
	p.loseNext--
	return &store.UnavailableError{Cause: context.DeadlineExceeded}
}

// Delete implements store.Store.
func (p *Platform) Delete(_ context.Context, key string, expected uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.begin(); err != nil {
		return err
	}
	object, err := p.get(key)
	if err != nil {
		return err
	}
	if object.Version != expected {
		return store.ErrConflict
	}
	delete(p.objects, key)
	p.announce()
	return p.answer()
}

// Watch implements store.Store.
func (p *Platform) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (store.Object, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for first := true; ; first = false {
		object, changed, err := p.watchOnce(key, first)
		if err != nil && err != store.ErrNotFound || object.Version > after {
			return object, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return object, err
		case <-ctx.Done():
			return store.Object{}, &store.UnavailableError{Cause: ctx.Err()}
		}
	}
}

func (p *Platform) watchOnce(key string, first bool) (store.Object, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if first {
		p.calls++
	}
	if p.out {
		return store.Object{}, p.changed, &store.UnavailableError{}
	}
	object, err := p.get(key)
	return object, p.changed, err
}

// List implements store.Store.
func (p *Platform) List(_ context.Context, prefix string, limit int) ([]store.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.begin(); err != nil {
		return nil, err
	}
	var objects []store.Object
	for key, object := range p.objects {
		if strings.HasPrefix(key, prefix) {
			objects = append(objects, store.Object{Key: key, Version: object.Version})
		}
	}
	slices.SortFunc(objects, func(a, b store.Object) int { return strings.Compare(a.Key, b.Key) })
	return objects[:min(limit, len(objects))], nil
}

// Hosts implements store.HostList.
func (p *Platform) Hosts(context.Context) ([]store.Host, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.begin(); err != nil {
		return nil, err
	}
	return slices.Clone(p.hosts), nil
}
