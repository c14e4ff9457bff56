package gossip

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/limit"
	"github.com/shoenig/test/must"
)

// All routers must turn to the same owner, without any agreement, and the owners of many
// limits must be several routers, yet few in a large fleet.
func TestRoutersAgreeOnTheOwnerOfALimit(t *testing.T) {
	for _, size := range []struct{ routers, domains, most int }{{5, 3, 5}, {28, 4, maxOwners}, {68, 6, maxOwners}, {300, 12, maxOwners}} {
		fleet := newFleet(t, size.routers, size.domains)
		owners := make(map[string]int)
		for upstream := range uint32(120) {
			key := catalog.Key{ID: fmt.Sprint("i-", upstream)}
			owner := fleet[0].limitOwner(key.Sum())
			for i := 1; i < len(fleet); i += 1 + len(fleet)/20 {
				must.Eq(t, owner, fleet[i].limitOwner(key.Sum()))
			}
			owners[owner]++
		}
		must.Between(t, size.most-2, len(owners), size.most)
		for _, n := range owners {
			must.LessEq(t, 120/size.most*3, n, must.Sprint("limits at one router"))
		}
	}
}

// startFleet returns running routers that know each other.
func startFleet(t *testing.T, n int) []*router {
	t.Helper()
	var fleet []*router
	var members []Member
	for i := range n {
		r := newRouter(t, fmt.Sprint("r", i))
		fleet, members = append(fleet, r), append(members, Member{Address: r.address})
	}
	for _, r := range fleet {
		r.mesh.SetPeers(members)
	}
	return fleet
}

// granted asks every router for permits of an upstream for d and returns how many there
// were.
func granted(t *testing.T, fleet []*router, upstream uint32, rate float64, d time.Duration) (n int) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		for _, r := range fleet {
			if ok, _ := r.mesh.Permit(t.Context(), upstream, rate); ok {
				n++
			}
		}
	}
	return n
}

// Guards against a limit that is left idle, or granted twice, when the router that owns it
// ends: the others turn to the next one, and come back when it answers again.
func TestNextRouterOwnsTheLimitOfOneThatEnded(t *testing.T) {
	const upstream, rate = 77, 20.0
	fleet := startFleet(t, 4)
	owner := fleet[0].mesh.limitOwner(upstream)
	must.Between(t, 18, granted(t, fleet, upstream, rate, time.Second), 28)
	var others []*router
	for _, r := range fleet {
		if r.address == owner {
			ended, end := context.WithCancel(t.Context())
			end()
			_ = r.mesh.Server().Shutdown(ended)
			continue
		}
		others = append(others, r)
	}
	must.Between(t, 12, granted(t, others, upstream, rate, time.Second), 28)
	next := others[0].mesh.limitOwner(upstream)
	must.NotEq(t, owner, next)
	for _, r := range others {
		must.Eq(t, next, r.mesh.limitOwner(upstream))
	}
}

// A router that others take for the owner by mistake, since they cannot reach it, grants a
// small share, and none for what makes no sense.
func TestRouterThatIsNotTheOwnerGrantsAShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, 5, 1)
		const upstream, rate = 77, 40.0
		var granted, shared int
		for _, m := range fleet {
			for _, other := range fleet {
				m.markOwner(other.opts.Address, false)
			}
		}
		owner := fleet[0].limitOwner(upstream)
		for range 4000 {
			time.Sleep(time.Millisecond)
			for _, m := range fleet {
				// The check of the owner would make a call.
				m.owners.mu.Lock()
				m.owners.checked[owner] = time.Now()
				m.owners.mu.Unlock()
				var reply PermitReply
				must.NoError(t, (&receiver{mesh: m}).Permit(&PermitArgs{Upstream: upstream, Rate: rate}, &reply))
				switch {
				case reply.Granted && m.opts.Address == owner:
					granted++
				case reply.Granted:
					shared++
				}
			}
		}
		must.LessEq(t, 4*rate+limit.Burst(rate), float64(granted))
		must.LessEq(t, 4*(4*rate*limit.FallbackShare+limit.Burst(rate*limit.FallbackShare)), float64(shared))
		must.Positive(t, shared)
		for _, args := range []PermitArgs{{}, {Upstream: 1, Rate: -1}} {
			var reply PermitReply
			must.NoError(t, (&receiver{mesh: fleet[0]}).Permit(&args, &reply))
			must.False(t, reply.Granted)
		}
	})
}

// Limits, and that they have ended, reach all routers of all domains; a speaker passes news
// on at once.
func TestLimitsReachAllDomains(t *testing.T) {
	for _, size := range []struct{ routers, domains int }{{5, 3}, {28, 4}, {68, 6}} {
		t.Run(fmt.Sprint(size.routers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { limitsReachAllDomains(t, size.routers, size.domains) })
		})
	}
}

func limitsReachAllDomains(t *testing.T, routers, domains int) {
	x := catalog.Key{ID: "x", Born: 5} // that of knownUpstream
	fleet := newFleet(t, routers, domains)
	known := func() (n int) {
		for _, m := range fleet {
			n += m.opts.Limits.Count()
		}
		return n
	}
	exchange := func() {
		for range 4 {
			time.Sleep(maxDomainInterval / 2)
			exchangeAll(t, fleet)
		}
	}
	fleet[1].opts.Limits.Record(x, limit.Named{Kind: limit.PerSecond, Rate: 2.5})
	exchange()
	must.Eq(t, routers, known())
	rate, _ := fleet[routers-1].opts.Limits.Rate(x)
	must.Eq(t, 2.5, rate)
	fleet[2].opts.Limits.Record(x, limit.Named{})
	exchange()
	must.Zero(t, known())
}

// What one router finds out itself is told at once: a new crash, and a limit that begins.
func TestOwnNewsAreAnnounced(t *testing.T) {
	for name, learn := range map[string]func(*Mesh){
		"crash": func(m *Mesh) { m.opts.Crashes.RecordCrash(1, []uint64{7}) },
		"limit": func(m *Mesh) { m.opts.Limits.Record(catalog.Key{ID: "x"}, limit.Named{Kind: limit.PerSecond, Rate: 1}) },
	} {
		m := newFleet(t, 5, 1)[0]
		must.False(t, m.news.Load())
		learn(m)
		must.True(t, m.news.Load(), must.Sprint(name))
		must.Eq(t, 1, len(m.announcements))
	}
}

// Guards the time until all routers together keep a limit: it is news that takes the way of
// a crash, and a router that has passed an answer with it on keeps it from then on.
func TestLimitSpreadsInTime(t *testing.T) {
	for _, c := range []struct {
		fleetSize
		bound time.Duration
	}{
		{fleetSize{3, 3}, 3 * time.Second}, {fleetSize{16, 4}, 3 * time.Second},
		{fleetSize{60, 4}, 4 * time.Second}, {fleetSize{300, 12}, 5 * time.Second},
	} {
		worst := announceTime(c.routers-1) + callTimeout
		if !c.flat() {
			local, crossing := c.perDomain()-1, c.perDomain()-1+c.domains-1
			worst = announceTime(local) + announceTime(crossing) + announceTime(local) + 3*callTimeout
		}
		// Two owners may not answer before a third router is asked.
		must.Less(t, c.bound, worst+maxPermitAttempts*permitTimeout, must.Sprintf("%d routers", c.routers))
	}
}
