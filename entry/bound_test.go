package entry

import (
	"testing"
	"time"

	"dandelionrill.example/fleet/feed"
	"dandelionrill.example/fleet/forward"
	"github.com/shoenig/test/must"
)

// Guards the time until a router of a large fleet whose peers tell it nothing reads by
// itself that an upstream leaves, in one call to the store that takes as long as it may.
func TestRouterReadsByItselfInTime(t *testing.T) {
	const bound = 3 * time.Second // of the smallest fleets that exchange reports by domain
	must.Less(t, bound, feed.MaxConfirmationAge+storeCallTimeout+forward.DefaultDialTimeout)
}

// Guards the retention of missing entries: it must end before the upstreams of removed ones
// may no longer get requests.
func TestRetentionEndsInTimeAfterAnOutage(t *testing.T) {
	const stable = 3 * time.Second // after an outage, until when a removal binds
	must.Less(t, stable, reregistrationWindow+maintainInterval)
}
