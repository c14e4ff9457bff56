package gossip

import (
	"testing"
	"time"

	"dandelionrill.example/fleet/feed"
	"github.com/shoenig/test/must"
)

// Guards the time until all routers know that an upstream leaves: the hops from a router
// that has read it to the last one, each with its worst case, must leave room for a send.
// docs/PLATFORM.md has the table.
func TestChangeSpreadsInTime(t *testing.T) {
	round := func(peers int) time.Duration {
		return announceInterval + time.Duration(min(peers, maxAnnouncePeers))*announceSpacing
	}
	for _, c := range []struct {
		routers, domains int
		bound            time.Duration
	}{
		{3, 3, 2 * time.Second}, {16, 4, 2 * time.Second},
		{60, 4, 3 * time.Second}, {300, 12, 4 * time.Second},
	} {
		// A call tells of the change, and another one fetches it.
		worst := round(c.routers-1) + 2*callTimeout
		if c.routers > maxFlatRouters {
			perDomain := c.routers / c.domains
			toSpeakers, toDomain := round(perDomain-1+c.domains-1), round(perDomain-1)
			worst = toSpeakers + toDomain + 4*callTimeout
		}
		const (
			send      = 350 * time.Millisecond // longest dial of an upstream
			storeCall = 900 * time.Millisecond // longest call to the store
		)
		worst = min(worst, feed.MaxConfirmationAge+storeCall) // a router that is told nothing reads by itself
		must.Less(t, c.bound, worst+send, must.Sprintf("%d routers", c.routers))
	}
}
