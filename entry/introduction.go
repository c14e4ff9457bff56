package entry

import (
	"context"
	"time"

	"dandelionrill.example/fleet/store"
	"github.com/apex/log"
)

// introductionTimeout is how long a router that starts waits for the answers of others. It
// covers a call that times out and one to another router.
const introductionTimeout = time.Second

// awaitsIntroduction reports whether content of an era of the store is not to be used yet:
// this router has just started, the era began with a copy, and only others know which
// entries of it are out of date.
func (h *Host) awaitsIntroduction(era uint64) bool {
	return era > store.FirstEra && !h.introduced.Load()
}

// awaitIntroduction uses the content of the store once other routers have said what they
// remember, or none can be reached.
func (h *Host) awaitIntroduction(ctx context.Context) {
	started := time.Now()
	timeout, cancel := context.WithTimeout(ctx, introductionTimeout)
	defer cancel()
	heard := true
	select {
	case <-h.mesh.Introduced():
	case <-timeout.Done():
		heard = false
	}
	if ctx.Err() != nil {
		return
	}
	h.introduced.Store(true)
	if h.upstreams.Stamp().Era > store.FirstEra {
		h.log.WithFields(log.Fields{"heard": heard, "waited_ms": time.Since(started).Milliseconds()}).Info("content of the store is used from now on")
	}
	h.applyUpstreams()
	h.applyConfiguration(h.configuration.Snapshot())
}
