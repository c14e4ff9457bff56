package spread

import (
	"context"
	"expvar"
	"fmt"
	"slices"
	"time"

	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/platform"
	"dandelionrill.example/fleet/revision"
	standin "dandelionrill.example/standin/platform"
	"github.com/cockroachdb/errors"
)

// changeTimeout is the time after which a change counts as failed.
const changeTimeout = 60 * time.Second

// Propagation holds how long one change took to be in force at a share of the nodes.
type Propagation struct {
	P50, P99, All time.Duration // at 50, 99 and 100 %
}

// Traffic holds the calls and bytes that the fleet used in a period.
type Traffic struct {
	Period    time.Duration
	Reads     int   // read calls to the platform
	LinkBytes int64 // read and written on the links, counted at both ends
}

// Size is the number of entries in the published configurations.
type Size struct {
	Customers, Models, Rules int
}

// publish publishes a version in which customer 0 has the given weight.
func (f *Fleet) publish(size Size, weight int) (uint64, error) {
	api, err := platform.NewClient(platform.ClientOptions{BaseURL: f.http.URL})
	if err != nil {
		return 0, err
	}
	store := revision.New(revision.Options{Platform: api})
	current, err := store.Current(context.Background())
	if err != nil {
		return 0, err
	}
	base := uint64(0)
	if current != nil {
		base = current.Version
	}
	return store.Publish(context.Background(), Content(size, weight), base)
}

// Change publishes a change and returns how fast it propagated. It calls after, if set,
// once the platform has accepted the change and the first node has it in force.
func (f *Fleet) Change(size Size, weight int, after func()) (Propagation, error) {
	version, err := f.publish(size, weight)
	accepted := time.Now()
	if err != nil {
		return Propagation{}, err
	}
	for called := after == nil; time.Since(accepted) < changeTimeout; time.Sleep(time.Millisecond) {
		times := f.times(version, accepted)
		if !called && len(times) > 0 {
			after()
			called = true
		}
		if len(times) == len(f.nodes) {
			return newPropagation(times), nil
		}
	}
	return Propagation{}, errors.Newf("spread: version %d not in force everywhere after %s", version, changeTimeout)
}

func (f *Fleet) times(version uint64, accepted time.Time) []time.Duration {
	var times []time.Duration
	for _, n := range f.nodes {
		if took, ok := n.since(version, accepted); ok {
			times = append(times, max(0, took))
		}
	}
	return times
}

func newPropagation(times []time.Duration) Propagation {
	slices.Sort(times)
	at := func(percent int) time.Duration { return times[(len(times)*percent+99)/100-1] }
	return Propagation{P50: at(50), P99: at(99), All: at(100)}
}

// SetOutage starts or ends an outage of the platform.
func (f *Fleet) SetOutage(active bool) {
	faults := standin.Faults{}
	if active {
		faults.Outage = standin.OutageRefuse
	}
	f.platform.SetFaults(faults)
}

// MeasureTraffic waits for the given period and returns the traffic in it.
func (f *Fleet) MeasureTraffic(period time.Duration) Traffic {
	reads, bytes := f.platform.Counts().Reads(), linkBytes()
	time.Sleep(period)
	return Traffic{Period: period, Reads: f.platform.Counts().Reads() - reads, LinkBytes: linkBytes() - bytes}
}

// Reads returns the number of read calls to the platform, without those for host lists.
func (f *Fleet) Reads() int {
	counts := f.platform.Counts()
	return counts.Reads() - counts.Hosts
}

// linkBytes returns the bytes on all links. Each message counts at its sender and at its
// receiver.
func linkBytes() int64 {
	total := int64(0)
	counters, ok := expvar.Get("link").(*expvar.Map)
	if !ok {
		return 0
	}
	for _, name := range []string{"bytes_read", "bytes_written"} {
		if counter, ok := counters.Get(name).(*expvar.Int); ok {
			total += counter.Value()
		}
	}
	return total
}

// Content returns a configuration of the given size, in which customer 0 has the given
// weight.
func Content(size Size, weight int) *config.Config {
	cfg := &config.Config{Author: "experiment"}
	for i := range size.Models {
		cfg.Services = append(cfg.Services, config.Service{ID: fmt.Sprint("service-", i), Kind: config.KindModel,
			LoadMultiple: 1.25, Models: []string{fmt.Sprint("model-", i)}})
	}
	for i := range size.Customers {
		id := fmt.Sprint("customer-", i)
		cfg.Customers = append(cfg.Customers, config.Customer{ID: id, KeyHashes: []string{keyHash(id)}, Weight: 1})
	}
	for i := range size.Rules {
		cfg.Rules = append(cfg.Rules, config.Rule{Customer: fmt.Sprint("customer-", i%size.Customers),
			Service: fmt.Sprint("service-", i/size.Customers%size.Models), Host: config.Any, FailureDomain: config.Any})
	}
	cfg.Customers[0].Weight = weight
	config.Normalize(cfg)
	return cfg
}

// LinkBytes returns the bytes read and written on the links so far, counted at both ends.
func (f *Fleet) LinkBytes() int64 { return linkBytes() }
