package gateway

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrill.example/fleet/catalog"
	"github.com/apex/log"
)

const (
	// maxLeaving is the number of upstreams that are remembered as leaving; beyond it
	// the oldest are forgotten.
	maxLeaving = 4096
	// leavingReportTime is how long an upstream that leaves is reported to other
	// routers: long enough for several reports, and to pass several routers on the way.
	leavingReportTime = time.Minute
	// maxReportedLeaving is the number of upstreams in one report, the newest first.
	maxReportedLeaving = 256
)

// LeavingSource is from where a router knows that an upstream leaves.
type LeavingSource string

// Sources, as in logs and metrics.
const (
	LeavingAnswer LeavingSource = "answer" // an answer of the upstream to this router
	LeavingPeer   LeavingSource = "peer"   // an answer to another router
	LeavingList   LeavingSource = "list"   // the upstream's entry
)

// Leaving records which upstreams said in an answer, to this router or to another one,
// that they leave. That holds as long as the process of the upstream lives, whatever its
// entry says. All methods may be called concurrently.
type Leaving struct {
	start time.Time
	mu    sync.Mutex // held while upstreams is replaced
	// upstreams maps each upstream to when this router learned that it leaves. The map
	// is never changed.
	upstreams atomic.Pointer[map[catalog.Key]time.Duration]
}

// NewLeaving returns a Leaving without any records.
func NewLeaving() *Leaving {
	l := &Leaving{start: time.Now()}
	l.upstreams.Store(&map[catalog.Key]time.Duration{})
	return l
}

// Has reports whether the upstream said that it leaves.
func (l *Leaving) Has(key catalog.Key) bool {
	_, known := (*l.upstreams.Load())[key]
	return known
}

// Add records that the upstream leaves, since the age given, and reports whether that is
// new.
func (l *Leaving) Add(key catalog.Key, age time.Duration) bool {
	if l.Has(key) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	current := *l.upstreams.Load()
	if _, known := current[key]; known {
		return false
	}
	next := maps.Clone(current)
	next[key] = time.Since(l.start) - age
	if len(next) > maxLeaving {
		oldest := key
		for k, at := range next {
			if at < next[oldest] {
				oldest = k
			}
		}
		delete(next, oldest)
	}
	l.upstreams.Store(&next)
	return true
}

// LeavingReport is an upstream that leaves, in the report of a router.
type LeavingReport struct {
	Upstream uint32 // short hash of its key
	AgeMs    uint32 // since it said so
}

// Reports returns the upstreams to report to other routers.
func (l *Leaving) Reports() []LeavingReport {
	upstreams := *l.upstreams.Load()
	if len(upstreams) == 0 {
		return nil
	}
	now := time.Since(l.start)
	var out []LeavingReport
	for key, at := range upstreams {
		if now-at < leavingReportTime {
			out = append(out, LeavingReport{Upstream: key.Sum(), AgeMs: uint32(max(0, now-at).Milliseconds())})
		}
	}
	slices.SortFunc(out, func(a, b LeavingReport) int { return cmp.Compare(a.AgeMs, b.AgeMs) })
	return out[:min(len(out), maxReportedLeaving)]
}

// Leaving returns the record of the upstreams that said that they leave.
func (g *Gateway) Leaving() *Leaving { return g.leaving }

// MarkLeaving records that an upstream said, the given time ago, that it leaves. It gets
// no new requests from now on.
func (g *Gateway) MarkLeaving(key catalog.Key, source LeavingSource, age time.Duration) {
	if g.leaving.Add(key, age) {
		g.logLeaving(key, source, age)
	}
}

// logLeaving counts and logs that an upstream leaves, unless another source has said so
// before.
func (g *Gateway) logLeaving(key catalog.Key, source LeavingSource, age time.Duration) {
	if u := g.catalog.Load().Find(key.ID); source != LeavingList && u != nil && u.Key() == key && u.State == catalog.StateLeaving {
		return
	}
	g.metrics.leaving.Add(string(source), 1)
	g.opts.Log.WithFields(log.Fields{
		"upstream": key.ID, "source": string(source), "age_ms": age.Milliseconds(), "catalog": g.catalog.Load().Revision,
	}).Info("upstream is leaving; no new requests")
}

// logListedLeaving logs the upstreams whose entries say that they leave for the first
// time.
func (g *Gateway) logListedLeaving(previous, current *catalog.Catalog) {
	current.All(func(u *catalog.Upstream) {
		if u.State != catalog.StateLeaving || g.leaving.Has(u.Key()) {
			return
		}
		if old := previous.Find(u.ID); old != nil && old.Key() == u.Key() && old.State == catalog.StateLeaving {
			return
		}
		_, age := g.opts.ConfirmationAges()
		g.logLeaving(u.Key(), LeavingList, age)
	})
}
