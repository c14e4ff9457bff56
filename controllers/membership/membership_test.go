package membership

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dandelionrill.example/fleet/board"
	"dandelionrill.example/fleet/store"
	"dandelionrill.example/fleet/store/memory"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
)

func newHosts(count int, state store.HostState) []store.Host {
	var hosts []store.Host
	for i := range count {
		hosts = append(hosts, store.Host{Name: fmt.Sprintf("host-%04d", i), Role: store.RoleAgent, Service: "registry-llm",
			FailureDomain: "bkk-a", Address: "127.0.0.1:10000", State: state})
	}
	return hosts
}

func TestPollRateWithinBudgetAndDuringOutage(t *testing.T) {
	for _, tc := range []struct {
		hosts, minPolls, maxPolls int // number of polls in ten minutes
	}{{8, 500, 700}, {400, 15, 40}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			p, b := memory.New(), board.New()
			p.SetHosts(newHosts(tc.hosts, store.HostLive))
			c := New(Options{Board: b, List: p, Log: &log.Logger{Handler: discard.New()}})
			done := make(chan struct{})
			go func() { defer close(done); c.Run(ctx) }()
			time.Sleep(10 * time.Minute)
			must.Between(t, tc.minPolls, p.Calls(), tc.maxPolls, must.Sprint(tc.hosts))
			p.SetHosts(newHosts(tc.hosts, store.HostLeaving))
			if tc.hosts == 8 {
				time.Sleep(2 * DefaultInterval)
				must.False(t, b.Hosts()[0].Available())
			}
			p.SetUnavailable(true)
			time.Sleep(time.Minute)
			calls := p.Calls()
			time.Sleep(5 * time.Minute)
			must.Between(t, 10, p.Calls()-calls, 120)
			must.Len(t, tc.hosts, b.Hosts(), must.Sprint("an outage of the platform must not remove hosts"))
			b.ObservePeer(board.Evidence{Host: "host-0000", Kind: board.EvidenceRefused})
			changed := b.Changed()
			p.SetUnavailable(false)
			p.SetHosts(newHosts(tc.hosts, store.HostLive))
			time.Sleep(10 * time.Minute)
			must.True(t, b.Hosts()[0].Available())
			select {
			case <-changed:
			default:
				t.Fatal("Changed channel was not closed")
			}
			cancel()
			<-done
			synctest.Wait()
		})
	}
}

// A process reports that it is leaving, and its replacement in the same slot
// has the same address, so the host list does not change. A probe finds
// the replacement.
func TestProbeFindsReplacementAtSameAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p, b := memory.New(), board.New()
		var replaced atomic.Bool
		p.SetHosts(newHosts(1, store.HostLive))
		probe := func(_ context.Context, host string) {
			kind, incarnation := board.EvidenceLeaving, "1"
			if replaced.Load() {
				kind, incarnation = board.EvidenceReachable, "2"
			}
			b.ObservePeer(board.Evidence{Host: host, Kind: kind, Incarnation: incarnation})
		}
		c := New(Options{Board: b, List: p, Log: &log.Logger{Handler: discard.New()}, Probe: probe})
		done := make(chan struct{})
		go func() { defer close(done); c.Run(ctx) }()
		time.Sleep(time.Second)
		probe(ctx, "host-0000")
		time.Sleep(time.Minute)
		must.False(t, b.Hosts()[0].Available())
		replaced.Store(true)
		time.Sleep(2 * leavingProbeInterval)
		must.True(t, b.Hosts()[0].Available())
		cancel()
		<-done
		synctest.Wait()
	})
}
