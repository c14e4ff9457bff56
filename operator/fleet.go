package operator

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"dandelionrill.example/fleet/controllers/configuration"
	"dandelionrill.example/fleet/controllers/schedule"
	"dandelionrill.example/fleet/store"
	"dandelionrill.example/fleet/wire"
	"github.com/cockroachdb/errors"
)

// DefaultPollInterval is the time between looks at the fleet.
const DefaultPollInterval = 200 * time.Millisecond

const (
	askTimeout  = 2 * time.Second
	parallelAsk = 64
	// namedHosts is how many hosts a message names.
	namedHosts = 20
)

// ProcessVersion is the version in force at one process.
type ProcessVersion struct {
	Host    string
	Version uint64
	Err     error // why it could not be asked
}

// Fleet asks processes which version they have in force.
type Fleet interface {
	// Hosts returns the names of all processes of the fleet.
	Hosts(ctx context.Context) ([]string, error)
	// Version asks one process.
	Version(ctx context.Context, host string) ProcessVersion
}

// NewFleet returns the fleet of a host list, whose processes are asked over
// peers. connect is told the list before the first process is asked.
func NewFleet(list store.HostList, peers configuration.Peers, connect func([]store.Host)) Fleet {
	return &listedFleet{list: list, peers: peers, connect: connect}
}

type listedFleet struct {
	list    store.HostList
	peers   configuration.Peers
	connect func([]store.Host)
}

func (f *listedFleet) Hosts(ctx context.Context) ([]string, error) {
	rows, err := f.list.Hosts(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "host list")
	}
	f.connect(rows)
	var names []string
	for _, row := range rows {
		names = append(names, row.Name)
	}
	return names, nil
}

func (f *listedFleet) Version(ctx context.Context, host string) ProcessVersion {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	peer, err := f.peers.Peer(host)
	if err != nil {
		return ProcessVersion{Host: host, Err: err}
	}
	reply, err := peer.Hello(ctx, wire.HelloArgs{Confirmed: -1})
	return ProcessVersion{Host: host, Version: reply.ConfigVersion, Err: err}
}

// NotInForceError names the processes that do not have a version in force.
type NotInForceError struct {
	Version uint64
	Behind  []ProcessVersion
}

// Error names them.
func (e *NotInForceError) Error() string {
	lines := []string{fmt.Sprintf("version %d is accepted, but not seen in force at %d processes:", e.Version, len(e.Behind))}
	for i, p := range e.Behind {
		switch {
		case i == namedHosts:
			lines = append(lines, fmt.Sprintf("  and %d more", len(e.Behind)-i))
			return strings.Join(lines, "\n")
		case p.Err != nil:
			lines = append(lines, fmt.Sprintf("  %s: no answer: %v", p.Host, p.Err))
		default:
			lines = append(lines, fmt.Sprintf("  %s: version %d", p.Host, p.Version))
		}
	}
	return strings.Join(lines, "\n")
}

// await waits until all processes have version or a later one in force, shows
// progress, and fails with *NotInForceError when the wait ends before.
func (o Options) await(ctx context.Context, version uint64, out io.Writer) error {
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
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	hosts, err := o.Fleet.Hosts(ctx)
	if err != nil {
		return errors.Wrapf(err, "version %d is accepted, but the fleet cannot be asked", version)
	}
	behind := make([]ProcessVersion, len(hosts))
	for i, host := range hosts {
		behind[i] = ProcessVersion{Host: host}
	}
	shown := -1
	for {
		behind = askAll(ctx, o.Fleet, behind, version)
		if reached := len(hosts) - len(behind); reached != shown {
			fmt.Fprintf(out, "in force at %d of %d processes after %.1f s\n", reached, len(hosts), time.Since(began).Seconds())
			shown = reached
		}
		if len(behind) == 0 {
			return nil
		}
		if !schedule.Sleep(ctx, interval) {
			return &NotInForceError{Version: version, Behind: behind}
		}
	}
}

// askAll asks the processes that were behind and returns those that still are.
// An answer that the end of the wait cut off leaves what was known before.
func askAll(ctx context.Context, fleet Fleet, asked []ProcessVersion, version uint64) []ProcessVersion {
	answers := make([]ProcessVersion, len(asked))
	slots := make(chan struct{}, parallelAsk)
	var wg sync.WaitGroup
	for i, p := range asked {
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
		if p.Err != nil && ctx.Err() != nil && asked[i].Version != 0 {
			p = asked[i]
		}
		behind = append(behind, p)
	}
	return behind
}
