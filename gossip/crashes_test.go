package gossip

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against upstreams that end one after the other in a large fleet: each router sees
// one end only, and no router alone has a reason to blame the part.
func TestRoutersBlameAPartTogether(t *testing.T) {
	for _, fleet := range []struct {
		routers, domains int
		contact          time.Duration
	}{{5, 3, 3 * time.Second}, {28, 4, 4 * time.Second}, {68, 6, 5 * time.Second}} {
		t.Run(fmt.Sprint(fleet.routers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { routersBlameAPartTogether(t, fleet.routers, fleet.domains, fleet.contact) })
		})
	}
}

func routersBlameAPartTogether(t *testing.T, routers, domains int, contact time.Duration) {
	const bad, first, bystander = 7, 1, 2
	fleet := newFleet(t, routers, domains)
	for _, m := range fleet {
		m.opts.Crashes.RecordAnswered([]uint64{first})
	}
	exchangeAll(t, fleet)
	for crash := range uint32(5) {
		at := fleet[int(crash)*routers/5]
		parts := []uint64{first, bad}
		if crash == 2 || crash == 4 {
			parts = append(parts, bystander)
		}
		at.opts.Crashes.RecordCrash(crash, parts)
	}
	blocked := func(part uint64) (n int) {
		for _, m := range fleet {
			m.opts.Crashes.Tick()
			if _, ok := m.opts.Crashes.Blocked([]uint64{part}); ok {
				n++
			}
		}
		return n
	}
	for start := time.Now(); time.Since(start) < contact; {
		time.Sleep(maxDomainInterval / 2)
		exchangeAll(t, fleet)
	}
	must.Eq(t, routers, blocked(bad))
	must.Zero(t, blocked(bystander))
	must.Zero(t, blocked(first))
	// A router that starts later learns it with the first reports.
	late := newFleet(t, 1, 1)[0]
	late.opts.Crashes.Merge(fleet[1].opts.Crashes.Reports(), fleet[1].opts.Crashes.Alive())
	must.Eq(t, 1, len(late.opts.Crashes.BlockedParts()))
	fleet[0].opts.Crashes.RecordAnswered([]uint64{bad})
	for range 4 {
		time.Sleep(maxDomainInterval / 2)
		exchangeAll(t, fleet)
	}
	must.Zero(t, blocked(bad), must.Sprint("answered at one router"))
}

// A new crash is told at once, also to other failure domains by their speakers.
func TestCrashIsAnnounced(t *testing.T) {
	fleet := newFleet(t, 28, 4)
	for _, m := range fleet {
		if !m.currentRole().speaker || m.Watcher() {
			continue
		}
		m.applyReport(&Report{})
		must.Eq(t, 0, len(m.announcements))
		other := newFleet(t, 1, 1)[0]
		other.opts.Crashes.RecordCrash(1, []uint64{7})
		r := other.newReport()
		m.applyReport(&r)
		must.Eq(t, 1, len(m.announcements))
		must.True(t, m.news.Load())
		m.applyReport(&r)
		must.Eq(t, 1, len(m.announcements))
		for _, p := range partners(m) {
			p.due = time.Now().Add(time.Hour)
		}
		ended, end := context.WithCancel(t.Context())
		end() // marks the calls that are due, and makes none
		m.announceToPeers(ended)
		for _, p := range partners(m) {
			must.True(t, p.due.IsZero(), must.Sprint("partner in ", p.domain))
		}
		return
	}
	t.Fatal("no speaker that does not watch")
}
