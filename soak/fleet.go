// Package soak runs the real routers as separate processes before stand-ins,
// harms them from outside by a seed, and checks the fleet's promises by what
// callers and upstreams see.
package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"dandelionrill.example/standin/platform"
	"dandelionrill.example/standin/replica"
	"dandelionrill.example/standin/wire"
	"github.com/cockroachdb/errors"
)

// Names in the configuration.
const (
	host    = "soak.example"
	service = "svc"
	apiKey  = "soak-key"
)

// upstream is a stand-in replica behind a proxy.
type upstream struct {
	id      string
	replica *replica.Replica
	proxy   *Proxy
	server  *http.Server
	left    time.Time // when it said that it leaves; zero if it has not
}

// fleet is what a soak runs.
type fleet struct {
	dir       string
	store     *platform.Server
	storeAt   string
	storeHTTP *http.Server
	routers   []*router

	mu        sync.Mutex
	upstreams []*upstream // those that left included
	version   uint64
}

// newFleet starts routers and upstreams.
func newFleet(binary, dir string, routers, upstreams int) (*fleet, error) {
	f := &fleet{dir: dir, store: platform.New(platform.Options{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "soak: store")
	}
	f.storeAt = l.Addr().String()
	f.storeHTTP = &http.Server{Handler: f.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = f.storeHTTP.Serve(l) }() // ends with the fleet
	for range upstreams {
		if err := f.addUpstream(); err != nil {
			return nil, errors.CombineErrors(err, f.close())
		}
	}
	f.publish()
	addresses, err := freeAddresses(3 * routers)
	if err != nil {
		return nil, errors.CombineErrors(err, f.close())
	}
	seeds := []string{addresses[2], addresses[5%len(addresses)]}
	for i := range routers {
		own := [3]string(addresses[3*i : 3*i+3])
		r, err := newRouter(fmt.Sprint("router-", i), binary, dir, f.storeAt, seeds, own)
		if err != nil {
			return nil, errors.CombineErrors(err, f.close())
		}
		f.routers = append(f.routers, r)
	}
	return f, nil
}

// addUpstream starts a replica and lists it.
func (f *fleet) addUpstream() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := &upstream{id: fmt.Sprint("i-", len(f.upstreams))}
	u.replica = replica.New(replica.Options{ID: u.id, Slots: 16, Step: 20 * time.Millisecond})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "soak: upstream")
	}
	u.server = &http.Server{Handler: u.replica, ReadHeaderTimeout: time.Minute}
	go func() { _ = u.server.Serve(l) }() // ends with the fleet
	if u.proxy, err = NewProxy(l.Addr().String()); err != nil {
		return errors.Wrap(err, "soak: upstream")
	}
	f.upstreams = append(f.upstreams, u)
	f.list(u, false)
	return nil
}

func (f *fleet) list(u *upstream, leaving bool) {
	f.store.SetObject(wire.KindUpstreams, u.id, wire.Upstream(service, u.proxy.Address(), leaving))
}

// leave makes an upstream say that it leaves; it goes on serving.
func (f *fleet) leave(u *upstream) {
	f.list(u, true)
	f.mu.Lock()
	defer f.mu.Unlock()
	u.left = time.Now()
}

// ready returns the upstreams that have not left.
func (f *fleet) ready() []*upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*upstream
	for _, u := range f.upstreams {
		if u.left.IsZero() {
			out = append(out, u)
		}
	}
	return out
}

// publish makes a new version of the configuration: the constant routes, and
// one of its own and of the version before.
func (f *fleet) publish() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	c := wire.Configuration{
		Version: f.version, Host: host, Service: service, Key: apiKey, Timeout: 4 * time.Second, Attempts: 2,
		Routes: []wire.Route{
			{Prefix: "/once/", Repeat: wire.RepeatNever}, {Prefix: "/safe/", Repeat: wire.RepeatSafe},
			{Prefix: "/stream/", Repeat: wire.RepeatStream, Prompted: true},
			{Prefix: "/resume/", Repeat: wire.RepeatStream, Resumable: true, Prompted: true},
			{Prefix: versionPath(f.version), Repeat: wire.RepeatSafe},
			{Prefix: versionPath(f.version - 1), Repeat: wire.RepeatSafe},
		},
	}
	f.store.SetObject(wire.KindConfiguration, wire.NameConfiguration, c.Spec())
	return f.version
}

func versionPath(version uint64) string { return fmt.Sprintf("/v%d/", version) }

// close ends what the fleet started.
func (f *fleet) close() error {
	for _, r := range f.routers {
		r.close()
	}
	for _, u := range f.upstreams {
		u.proxy.Close()
		_ = u.server.Close()
	}
	return errors.Wrap(f.storeHTTP.Close(), "soak: store")
}

// Build builds the routers' binary into dir and returns its path.
func Build(dir string, run func(name string, args ...string) error) (string, error) {
	binary := filepath.Join(dir, "dandelionrill")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", errors.Wrap(err, "soak: build")
	}
	return binary, errors.Wrap(run("go", "build", "-o", binary, "./cmd/dandelionrill"), "soak: build")
}
