package operator

import (
	"context"
	"fmt"
	"io"
	"math"
	"strings"
	"sync"
	"time"

	"dandelionrill.example/fleet/controllers/configuration"
	"dandelionrill.example/fleet/controllers/schedule"
	"dandelionrill.example/fleet/revision"
	"dandelionrill.example/fleet/store"
	"dandelionrill.example/fleet/wire"
	"github.com/cockroachdb/errors"
)

// DefaultPollInterval is the default time between two polls of the fleet.
const DefaultPollInterval = 200 * time.Millisecond

const (
	queryTimeout         = 2 * time.Second
	maxConcurrentQueries = 64
	// maxListedHosts is the maximum number of hosts listed in an error message.
	maxListedHosts = 20
)

// ProcessVersion is the configuration version in force at one process.
type ProcessVersion struct {
	Host    string
	Version uint64
	Err     error // why the query failed
}

// Fleet queries the processes of the fleet for the configuration version that
// they have in force.
type Fleet interface {
	// Hosts returns the names of all processes of the fleet.
	Hosts(ctx context.Context) ([]string, error)
	// Version queries one process.
	Version(ctx context.Context, host string) ProcessVersion
}

// NewFleet returns the fleet of the processes in a host list, which are queried
// through peers. Hosts calls observeHosts with each list that it reads, so that
// connections can be set up before the first process is queried.
func NewFleet(list store.HostList, peers configuration.Peers, observeHosts func([]store.Host)) Fleet {
	return &hostListFleet{list: list, peers: peers, observeHosts: observeHosts}
}

type hostListFleet struct {
	list         store.HostList
	peers        configuration.Peers
	observeHosts func([]store.Host)
}

func (f *hostListFleet) Hosts(ctx context.Context) ([]string, error) {
	hosts, err := f.list.Hosts(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read the host list")
	}
	f.observeHosts(hosts)
	var names []string
	for _, host := range hosts {
		names = append(names, host.Name)
	}
	return names, nil
}

func (f *hostListFleet) Version(ctx context.Context, host string) ProcessVersion {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	peer, err := f.peers.Peer(host)
	if err != nil {
		return ProcessVersion{Host: host, Err: err}
	}
	reply, err := peer.Hello(ctx, wire.HelloArgs{Confirmed: -1})
	return ProcessVersion{Host: host, Version: reply.ConfigVersion, Err: err}
}

// NotInForceError lists the processes at which a version was not seen in force
// before the wait ended.
type NotInForceError struct {
	Version uint64
	Behind  []ProcessVersion
}

// Error lists the processes, at most maxListedHosts of them.
func (e *NotInForceError) Error() string {
	lines := []string{fmt.Sprintf("version %d was accepted, but is not confirmed to be in force at %d processes:", e.Version, len(e.Behind))}
	for i, p := range e.Behind {
		switch {
		case i == maxListedHosts:
			lines = append(lines, fmt.Sprintf("  and %d more", len(e.Behind)-i))
			return strings.Join(lines, "\n")
		case p.Err != nil:
			lines = append(lines, fmt.Sprintf("  %s: query failed: %v", p.Host, p.Err))
		default:
			lines = append(lines, fmt.Sprintf("  %s: version %d", p.Host, p.Version))
		}
	}
	return strings.Join(lines, "\n")
}

// waitInForce waits until all processes have version or a later one in force, and
// writes the progress to out. It fails with *NotInForceError if o.Wait passes or
// ctx ends before that. Without a Fleet it returns at once.
func (o Options) waitInForce(ctx context.Context, version uint64, out io.Writer) error {
	if o.Fleet == nil {
		return nil
	}
	wait, interval := o.Wait, o.PollInterval
	if wait <= 0 {
		wait = DefaultWait
	}
	if interval <= 0 {
		interval = DefaultPollInterval
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	hosts, err := o.Fleet.Hosts(ctx)
	if err != nil {
		return errors.Wrapf(err, "version %d was accepted, but the fleet cannot be queried", version)
	}
	behind := make([]ProcessVersion, len(hosts))
	for i, host := range hosts {
		behind[i] = ProcessVersion{Host: host}
	}
	lastReported := -1
	for {
		behind = queryVersions(ctx, o.Fleet, behind, version)
		if inForce := len(hosts) - len(behind); inForce != lastReported {
			fmt.Fprintf(out, "in force at %d of %d processes after %.1f s\n", inForce, len(hosts), time.Since(start).Seconds())
			lastReported = inForce
		}
		if len(behind) == 0 {
			return nil
		}
		if !schedule.Sleep(ctx, interval) {
			return &NotInForceError{Version: version, Behind: behind}
		}
	}
}

// maxLostVersionQueries is the number of processes that are asked for the version in
// force before a publish.
const maxLostVersionQueries = 8

// checkNothingLost fails with *revision.LostVersionError if a process has a newer
// version in force than the platform's newest one, base: the platform has returned
// from an older copy, and publishing would drop the lost change unseen. An operator who
// names the base has seen the loss. Processes that do not answer are passed over.
func (o Options) checkNothingLost(ctx context.Context, base uint64) error {
	if o.Fleet == nil || o.Base == base {
		return nil
	}
	hosts, err := o.Fleet.Hosts(ctx)
	if err != nil {
		return errors.Wrap(err, "read the host list")
	}
	processes := make([]ProcessVersion, 0, maxLostVersionQueries)
	for _, host := range hosts[:min(len(hosts), maxLostVersionQueries)] {
		processes = append(processes, ProcessVersion{Host: host})
	}
	newest := base
	for _, p := range queryVersions(ctx, o.Fleet, processes, math.MaxUint64) {
		newest = max(newest, p.Version)
	}
	if newest == base {
		return nil
	}
	// Another operator may have published since base was read.
	current, err := o.Store.Current(ctx)
	if err != nil || current != nil && current.Version >= newest {
		return err
	}
	return &revision.LostVersionError{Lost: newest, Newest: base}
}

// queryVersions queries processes, at most maxConcurrentQueries at a time, and
// returns those that do not have version or a later one in force. If a query
// fails because ctx has ended, the last known version of the process is kept.
func queryVersions(ctx context.Context, fleet Fleet, processes []ProcessVersion, version uint64) []ProcessVersion {
	answers := make([]ProcessVersion, len(processes))
	slots := make(chan struct{}, maxConcurrentQueries)
	var wg sync.WaitGroup
	for i, p := range processes {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			answers[i] = fleet.Version(ctx, p.Host)
		})
	}
	wg.Wait()
	var behind []ProcessVersion
	for i, p := range answers {
		if p.Err == nil && p.Version >= version {
			continue
		}
		if p.Err != nil && ctx.Err() != nil && processes[i].Version != 0 {
			p = processes[i]
		}
		behind = append(behind, p)
	}
	return behind
}
