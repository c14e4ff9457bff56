package feed

import (
	"testing"
	"testing/synctest"
	"time"

	"dandelionrill.example/fleet/store"
	"github.com/shoenig/test/must"
)

// Guards against whole contents sent between routers: a router whose last call failed
// long ago, and that has made none since, still counted the store as lost and fetched
// large changes from other routers instead.
func TestOldFailureDoesNotMakeTheStoreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPassiveFeed(Snapshot{Revision: 5})
		f.recordFailure(time.Now(), store.ErrUnavailable)
		must.True(t, f.Lost())
		time.Sleep(maxPeriodAge + time.Millisecond)
		must.False(t, f.Lost())
		f.recordFailure(time.Now(), store.ErrUnavailable)
		must.True(t, f.Lost())
	})
}
