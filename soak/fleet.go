// Package soak is a fault injection soak test. It runs the real routers as
// separate processes against stand-ins for the store and the upstreams, injects
// faults chosen by a seed, and checks the fleet's guarantees against what
// callers and upstreams observed.
package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"dandelionrill.example/fleet/internal/loopback"
	"dandelionrill.example/standin/platform"
	"dandelionrill.example/standin/replica"
	"dandelionrill.example/standin/wire"
	"github.com/cockroachdb/errors"
)

// Names used in the configuration.
const (
	host    = "soak.example"
	service = "svc"
	apiKey  = "soak-key"
)

// upstream is a stand-in replica behind a fault-injecting proxy.
type upstream struct {
	id            string
	service       string
	failureDomain string
	slots         int
	version       string // empty if all are alike
	replica       *replica.Replica
	proxy         *Proxy
	server        *http.Server
	drainingSince time.Time // when it was marked as leaving or its entry was removed; zero if neither was
	removed       bool      // its entry was removed
	crashed       bool
	coldUntil     time.Time // zero if it never was cold
}

// fleet holds the store, routers and upstreams of one soak.
type fleet struct {
	dir          string
	faults       Faults
	versionOf    func(index int) string // of the upstream with this index
	store        *platform.Server
	storeAddress string
	storeServer  *http.Server
	routers      []*router
	reservation  *loopback.Reservation // of the routers' address; nil before the routers are started

	mu            sync.Mutex
	upstreams     []*upstream // including those marked as leaving
	version       uint64
	configuration []byte // the object of the newest version
}

// The retries of all routers beyond a share of their requests.
const (
	usualRetryExtra = 60
	// ampleRetryExtra is for soaks that check what becomes of each spoiled answer: one of a
	// few upstreams can spoil more answers than the usual budget has retries.
	ampleRetryExtra = 600
)

// newFleet starts the store, the upstreams and the routers.
func newFleet(binary, dir string, routers, upstreams int, versionOf func(int) string, faults Faults) (*fleet, error) {
	f := &fleet{dir: dir, faults: faults, versionOf: versionOf, store: platform.New(platform.Options{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "soak: store")
	}
	f.storeAddress = l.Addr().String()
	f.storeServer = &http.Server{Handler: f.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = f.storeServer.Serve(l) }() // returns when the fleet is closed
	for range upstreams {
		if err := f.addUpstream(); err != nil {
			return nil, errors.CombineErrors(err, f.close())
		}
	}
	for range poolUpstreams {
		if !faults.has(FaultQueue) {
			break
		}
		if err := f.addPoolUpstream(); err != nil {
			return nil, errors.CombineErrors(err, f.close())
		}
	}
	f.publishConfiguration()
	if f.reservation, err = loopback.Reserve(); err != nil {
		return nil, errors.CombineErrors(err, f.close())
	}
	addresses := f.routerAddresses(3 * routers)
	seeds := []string{addresses[2], addresses[5%len(addresses)]}
	for i := range routers {
		routerAddresses := [3]string(addresses[3*i : 3*i+3])
		r, err := newRouter(fmt.Sprint("router-", i), failureDomains[i%len(failureDomains)], binary, dir, f.storeAddress, seeds, routerAddresses, faults)
		if err != nil {
			return nil, errors.CombineErrors(err, f.close())
		}
		f.routers = append(f.routers, r)
	}
	return f, nil
}

// failureDomains are those of the routers in turn. In a fleet of more than 16 routers one
// of them has no router that watches the store.
var failureDomains = []string{"a", "b", "c", "d"}

// firstRouterPort is the first port of the routers. The kernel assigns no port of
// the reserved address to others, so that a router that restarts finds it free.
const firstRouterPort = 21000

// routerAddresses returns n addresses for listeners of routers.
func (f *fleet) routerAddresses(n int) []string {
	addresses := make([]string, n)
	for i := range addresses {
		addresses[i] = net.JoinHostPort(f.reservation.IP, strconv.Itoa(firstRouterPort+i))
	}
	return addresses
}

// addUpstream starts a replica behind a proxy and registers it in the store.
func (f *fleet) addUpstream() error {
	_, err := f.add(service, replica.Options{Slots: 16, EventInterval: 20 * time.Millisecond}, 0)
	return err
}

// add starts a replica with the options behind a proxy and registers it in the store. It is cold
// for a time.
func (f *fleet) add(service string, opts replica.Options, coldTime time.Duration) (*upstream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.upstreams)
	u := &upstream{id: fmt.Sprint("i-", n), version: f.versionOf(n), service: service, slots: opts.Slots, failureDomain: failureDomains[0]}
	if f.faults.has(FaultEvacuation) {
		u.failureDomain = evacuated[n%len(evacuated)]
	}
	if coldTime > 0 {
		u.coldUntil = time.Now().Add(coldTime)
	}
	opts.ID, opts.Version = u.id, u.version
	u.replica = replica.New(opts)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "soak: upstream")
	}
	u.server = &http.Server{Handler: u.replica, ReadHeaderTimeout: time.Minute}
	serving := l
	if f.faults.has(FaultCopies) {
		serving = copyingListener{l}
	}
	go func() { _ = u.server.Serve(serving) }() // returns when the fleet is closed
	if u.proxy, err = NewProxy(l.Addr().String()); err != nil {
		return nil, errors.Wrap(err, "soak: upstream")
	}
	f.upstreams = append(f.upstreams, u)
	f.register(u, false)
	return u, nil
}

// register writes the upstream's entry to the store.
func (f *fleet) register(u *upstream, leaving bool) {
	entry := wire.Entry{
		Service: u.service, Address: u.proxy.Address(), FailureDomain: u.failureDomain, Version: u.version, Slots: u.slots, Leaving: leaving,
		StatesCold: f.faults.has(FaultCold), ColdRemaining: max(0, time.Until(u.coldUntil)),
	}
	f.store.SetObject(wire.KindUpstreams, u.id, entry.Spec())
}

// drain marks an upstream as leaving. It continues to serve requests.
func (f *fleet) drain(u *upstream) {
	f.register(u, true)
	f.mu.Lock()
	defer f.mu.Unlock()
	u.drainingSince = time.Now()
}

// remove removes the entry of an upstream, which continues to serve requests.
func (f *fleet) remove(u *upstream) {
	f.store.RemoveObject(wire.KindUpstreams, u.id)
	f.mu.Lock()
	defer f.mu.Unlock()
	u.drainingSince, u.removed = time.Now(), true
}

// crashed removes the entry of an upstream that has crashed.
func (f *fleet) crashed(u *upstream) {
	f.store.RemoveObject(wire.KindUpstreams, u.id)
	f.mu.Lock()
	defer f.mu.Unlock()
	u.crashed = true
}

// active returns the upstreams, but not those of the pool, that neither leave nor have crashed.
func (f *fleet) active() []*upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*upstream
	for _, u := range f.upstreams {
		if u.service == service && u.drainingSince.IsZero() && !u.crashed {
			out = append(out, u)
		}
	}
	return out
}

// publishConfiguration writes a new version of the configuration to the store
// and returns its number. It contains the routes that every version has, one
// route specific to the new version and the one specific to the previous version.
func (f *fleet) publishConfiguration() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	c := wire.Configuration{
		Version: f.version, Host: host, Service: service, Key: apiKey, Timeout: 10 * time.Second, Attempts: 2,
		Routes: []wire.Route{
			{Prefix: "/once/", Kind: wire.RouteNonIdempotent}, {Prefix: "/safe/", Kind: wire.RouteIdempotent},
			{Prefix: "/stream/", Kind: wire.RouteStreaming, Sticky: true},
			{Prefix: "/resume/", Kind: wire.RouteStreaming, Resumable: true, Sticky: true},
			{Prefix: versionPath(f.version), Kind: wire.RouteIdempotent},
			{Prefix: versionPath(f.version - 1), Kind: wire.RouteIdempotent},
		},
	}
	if f.faults.has(FaultCold) {
		c.ColdPerSecond, c.ColdTime = coldPerSecond, coldTime
	}
	if f.faults.has(FaultQueue) {
		c.OtherKey, c.OtherService = otherKey, poolService
		c.Routes = append(c.Routes, poolRoutes...)
	}
	f.configuration = c.Spec()
	f.store.SetObject(wire.KindConfiguration, wire.NameConfiguration, f.configuration)
	return f.version
}

// writeAgain writes the newest configuration and the entries of all upstreams again, as
// the operator and the replicas do after the store has returned from a copy.
func (f *fleet) writeAgain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store.SetObject(wire.KindConfiguration, wire.NameConfiguration, f.configuration)
	for _, u := range f.upstreams {
		if u.removed || u.crashed {
			f.store.RemoveObject(wire.KindUpstreams, u.id)
			continue
		}
		f.register(u, !u.drainingSince.IsZero())
	}
}

// versionPath returns the path prefix of the route specific to a version.
func versionPath(version uint64) string { return fmt.Sprintf("/v%d/", version) }

// close stops all processes, proxies and servers of the fleet.
func (f *fleet) close() error {
	for _, r := range f.routers {
		r.close()
	}
	for _, u := range f.upstreams {
		u.proxy.Close()
		_ = u.server.Close()
	}
	err := errors.Wrap(f.storeServer.Close(), "soak: store")
	if f.reservation != nil {
		err = errors.CombineErrors(err, f.reservation.Release())
	}
	return err
}

// Build compiles the router binary into dir and returns its path. run executes
// the build command.
func Build(dir string, run func(name string, args ...string) error) (string, error) {
	binary := filepath.Join(dir, "dandelionrill")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", errors.Wrap(err, "soak: build")
	}
	return binary, errors.Wrap(run("go", "build", "-o", binary, "./cmd/dandelionrill"), "soak: build")
}
