// Package memory is an in-process platform for tests and trials. It implements
// the object API and the host list, counts calls, and injects faults.
package memory

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"dandelionrill.example/fleet/store"
)

// Platform implements store.Store and store.HostList. Its methods may be called
// concurrently. Create it with New.
type Platform struct {
	mu            sync.Mutex
	version       uint64
	objects       map[string]store.Object
	hosts         []store.Host
	changed       chan struct{} // closed and replaced at each change
	unavailable   bool
	answersToLose int
	calls         int
	beforeUpdate  func()
}

var (
	_ store.Store    = (*Platform)(nil)
	_ store.HostList = (*Platform)(nil)
)

// New returns an empty platform.
func New() *Platform {
	return &Platform{objects: make(map[string]store.Object), changed: make(chan struct{})}
}

// SetUnavailable starts or ends an outage. The start ends waiting watches with an
// error.
func (p *Platform) SetUnavailable(unavailable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unavailable = unavailable
	p.wakeWatches()
}

// LoseAnswers makes the next n successful updates take effect but return
// store.ErrUnavailable.
func (p *Platform) LoseAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answersToLose = n
}

// BeforeUpdate makes the next Put call f once before it starts, without holding a
// lock.
func (p *Platform) BeforeUpdate(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beforeUpdate = f
}

// SetHosts sets the host list.
func (p *Platform) SetHosts(hosts []store.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = slices.Clone(hosts)
}

// Calls returns the number of calls, including those that failed.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// wakeWatches wakes the waiting watches. p.mu must be held.
func (p *Platform) wakeWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// beginCall counts a call and returns an error during an outage. p.mu must be held.
func (p *Platform) beginCall() error {
	p.calls++
	if p.unavailable {
		return &store.UnavailableError{}
	}
	return nil
}

// Get implements store.Store.
func (p *Platform) Get(_ context.Context, key string) (store.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.beginCall(); err != nil {
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
	p.runBeforeUpdate()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.beginCall(); err != nil {
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
	p.wakeWatches()
	return p.version, p.updateResult()
}

// runBeforeUpdate runs and clears the function set by BeforeUpdate.
func (p *Platform) runBeforeUpdate() {
	p.mu.Lock()
	f := p.beforeUpdate
	p.beforeUpdate = nil
	p.mu.Unlock()
	if f != nil {
		f()
	}
}

// updateResult returns an error if the answer to an update is to be lost, else nil.
// p.mu must be held.
func (p *Platform) updateResult() error {
	if p.answersToLose == 0 {
		return nil
	}
	p.answersToLose--
	return &store.UnavailableError{Cause: context.DeadlineExceeded}
}

// Delete implements store.Store.
func (p *Platform) Delete(_ context.Context, key string, expected uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.beginCall(); err != nil {
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
	p.wakeWatches()
	return p.updateResult()
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
	if p.unavailable {
		return store.Object{}, p.changed, &store.UnavailableError{}
	}
	object, err := p.get(key)
	return object, p.changed, err
}

// List implements store.Store.
func (p *Platform) List(_ context.Context, prefix string, limit int) ([]store.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.beginCall(); err != nil {
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
	if err := p.beginCall(); err != nil {
		return nil, err
	}
	return slices.Clone(p.hosts), nil
}
