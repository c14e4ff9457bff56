package gossip

import (
	"cmp"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/eject"
	"dandelionrill.example/fleet/feed"
	"dandelionrill.example/fleet/gateway"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

var errNoReply = errors.New("no reply")

// newFleet returns the meshes of a fleet without connections: the tests pass reports
// between them by hand. Router i is in domain i modulo the number of domains.
func newFleet(t *testing.T, routers, domains int) []*Mesh {
	t.Helper()
	return newFleetWithFeeds(t, routers, domains, func(int, *atomic.Pointer[Mesh]) *feed.Feed {
		return feed.New(feed.Options{Kind: "things", Log: discarded, Changed: func(feed.Snapshot) {}})
	})
}

// discarded is a log that is dropped.
var discarded = &log.Logger{Handler: discard.New()}

// newFleetWithFeeds is newFleet with feeds that the test provides. A feed's mesh is set
// once it has been created.
func newFleetWithFeeds(t *testing.T, routers, domains int, newFeed func(router int, mesh *atomic.Pointer[Mesh]) *feed.Feed) []*Mesh {
	t.Helper()
	var members []Member
	for i := range routers {
		members = append(members, Member{Address: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200), FailureDomain: fmt.Sprint("d", i%domains)})
	}
	meshes := make([]*Mesh, 0, routers)
	for i, member := range members {
		var mesh atomic.Pointer[Mesh]
		m, err := New(Options{
			Router: fmt.Sprint("r", i), Address: member.Address, FailureDomain: member.FailureDomain,
			Board: gateway.NewBoard(eject.Options{}), Prompts: gateway.NewPrompts(), Log: discarded,
			Feeds:       []*feed.Feed{newFeed(i, &mesh)},
			UpstreamKey: knownUpstream,
		})
		must.NoError(t, err)
		mesh.Store(m)
		t.Cleanup(m.clients.Close)
		m.SetPeers(members)
		m.updateRole()
		meshes = append(meshes, m)
	}
	return meshes
}

// exchangeAll lets every router call each of its partners once. Calls to routers that are
// not in the fleet fail.
func exchangeAll(t *testing.T, fleet []*Mesh) {
	t.Helper()
	byAddress := make(map[string]*Mesh)
	for _, m := range fleet {
		byAddress[m.opts.Address] = m
		m.opts.Board.SampleDomain(m.opts.FailureDomain)
	}
	for _, m := range fleet {
		for _, p := range partners(m) {
			m.mu.Lock()
			call := m.beginCall(p, time.Now())
			m.mu.Unlock()
			args := m.reportFor(call)
			var reply Report
			if byAddress[p.address] == nil {
				m.recordCall(p.address, nil, errNoReply)
				continue
			}
			must.NoError(t, (&receiver{mesh: byAddress[p.address]}).Exchange(&args, &reply))
			m.recordCall(p.address, &reply, nil)
			m.applyReport(&reply)
			m.kindsBehind(p.address, &reply)
		}
	}
	for _, m := range fleet {
		m.updateRole()
	}
}

func partners(m *Mesh) []*peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*peer
	for _, p := range m.peers {
		if p.partner {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *peer) int { return cmp.Compare(a.key, b.key) })
	return out
}

// What crosses between failure domains grows with the number of domains, not with the
// number of routers: two speakers of each domain call one router of each other domain.
func TestCallsBetweenDomainsDoNotGrowWithTheFleet(t *testing.T) {
	for _, routers := range []int{30, 90, 300} {
		fleet := newFleet(t, routers, 6)
		crossing := 0
		for _, m := range fleet {
			local := 0
			for _, p := range partners(m) {
				if p.domain != m.opts.FailureDomain {
					crossing++
					continue
				}
				local++
			}
			must.Eq(t, routers/6-1, local)
		}
		must.Eq(t, 6*speakersPerDomain*5, crossing)
	}
}

// A small fleet has no speakers: every router exchanges reports with every other one.
func TestSmallFleetIsFlat(t *testing.T) {
	for _, m := range newFleet(t, 6, 3) {
		must.Len(t, 5, partners(m))
		must.False(t, m.currentRole().speaker)
	}
}

// Loads, failure counts and placements of each router reach every other one, in other
// domains as averages by way of the speakers, and are counted once.
func TestReportsReachAllDomains(t *testing.T) { synctest.Test(t, reportsReachAllDomains) }

func reportsReachAllDomains(t *testing.T) {
	fleet := newFleet(t, 30, 6)
	x := catalog.Key{ID: "x", Born: 5}
	for i, m := range fleet {
		m.opts.Board.BeginRequest(x)
		m.opts.Prompts.RecordSend(gateway.Placement{Part: uint64(100 + i), At: x})
	}
	const rounds = 60 // six time constants of the average
	for round := range rounds {
		if round == rounds-12 {
			for _, m := range fleet {
				m.opts.Board.RecordAnswer(x, true)
			}
		}
		time.Sleep(100 * time.Millisecond)
		exchangeAll(t, fleet)
	}
	for _, m := range fleet {
		load := m.opts.Board.Status(x).Load
		must.InDelta(t, 30, load, 1)
		must.Between(t, 15, m.opts.Board.AnswerCounts(x).Failures, 30) // they decay
		for i := range fleet {
			known := false
			m.opts.Prompts.CachedAt(uint64(100+i), func(catalog.Key) { known = true })
			must.True(t, known, must.Sprintf("placement of router %d at %s", i, m.opts.Router))
		}
	}
}

// The first routers of a domain that answer are its speakers; a failed one is replaced,
// and called again later.
func TestFailedSpeakerIsReplaced(t *testing.T) {
	fleet := newFleet(t, 30, 6)
	caller := fleet[slices.IndexFunc(fleet, func(m *Mesh) bool { return m.currentRole().speaker })]
	foreign := func() (out []string) {
		for _, p := range partners(caller) {
			if p.domain != caller.opts.FailureDomain {
				out = append(out, p.address)
			}
		}
		slices.Sort(out)
		return out
	}
	before := foreign()
	must.Len(t, 5, before)
	for _, address := range before {
		caller.recordCall(address, nil, errNoReply)
	}
	caller.updateRole()
	after := foreign()
	must.Len(t, 5, after)
	for _, address := range after {
		must.SliceNotContains(t, before, address)
	}
	caller.mu.Lock()
	for _, p := range caller.peers {
		p.due = time.Time{}
	}
	caller.mu.Unlock()
	caller.updateRole()
	for _, address := range before {
		must.SliceContains(t, foreign(), address)
	}
}

// A few domains watch the store. Once the speakers of one no longer report, the next
// domain takes over.
func TestWatchersAreInTheFirstDomainsThatReport(t *testing.T) {
	synctest.Test(t, watchersAreInTheFirstDomainsThatReport)
}

func watchersAreInTheFirstDomainsThatReport(t *testing.T) {
	fleet := newFleet(t, 30, 6)
	for range 3 {
		exchangeAll(t, fleet)
	}
	watching := func(fleet []*Mesh) (domains []string) {
		for _, m := range fleet {
			m.updateRole()
			if m.Watcher() {
				domains = append(domains, m.opts.FailureDomain)
			}
		}
		slices.Sort(domains)
		return domains
	}
	first := watching(fleet)
	must.Len(t, maxWatchers, first)
	must.Len(t, maxWatchers, slices.Compact(slices.Clone(first)))
	rest := slices.DeleteFunc(slices.Clone(fleet), func(m *Mesh) bool { return m.opts.FailureDomain == first[0] })
	time.Sleep(2 * maxDomainSilence)
	for range 10 {
		time.Sleep(maxDomainSilence / 10)
		exchangeAll(t, rest)
	}
	now := watching(rest)
	must.Len(t, maxWatchers, now)
	must.SliceNotContains(t, now, first[0])
}

// inForce is a configuration whose version the test sets.
type inForce struct {
	noConfiguration
	version uint64
}

func (c *inForce) Version() uint64 { return c.version }

// A router that is putting a new version in force must not fetch it from the others, who
// already have it: that would send large configurations twice at each change.
func TestConfigurationOfOthersIsFetchedOnlyIfItStaysNewer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		held := &inForce{version: 7}
		m := newFleet(t, 1, 1)[0]
		m.opts.Held = held
		m.opts.Feeds[0].Adopt(feed.Snapshot{Era: 2, Revision: 5}, feed.Stamp{})
		report := &Report{Configuration: 8, Stamps: []feed.Stamp{m.opts.Feeds[0].Stamp()}}
		must.False(t, m.holdsNewerConfiguration(report))
		held.version = 8
		must.False(t, m.holdsNewerConfiguration(report))
		held.version = 7
		time.Sleep(heldGracePeriod)
		must.False(t, m.holdsNewerConfiguration(report))
		time.Sleep(heldGracePeriod)
		must.True(t, m.holdsNewerConfiguration(report))
		report.Stamps[0].Revision = 6 // left to the feed
		must.False(t, m.holdsNewerConfiguration(report))
	})
}
