package gateway

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/limit"
	"github.com/apex/log"
)

const (
	// limitMergeSlack is by how much the statement of another router must be newer to
	// replace one that is known: the age of a statement grows less on the way than in time.
	limitMergeSlack = 50 * time.Millisecond
	// limitReportTime is how long routers tell each other that a limit has ended.
	limitReportTime = 10 * time.Second
	// unlistedLimitTime is how long the limit of an upstream is kept that is not listed:
	// entries may lapse while the store is away.
	unlistedLimitTime = time.Minute
	// maxReportedLimits is the number of upstreams in one report, the newest first.
	maxReportedLimits = 512
	// limitLogInterval is the least time between two log lines on the limit of an upstream.
	limitLogInterval = time.Second
)

// limitRecord is the newest statement on the limit of an upstream, with what follows from
// it at this router.
type limitRecord struct {
	limit.Statement
	logged time.Duration // when the limit was last logged

	deniedUntil time.Duration // until when no permit is asked for
	stash       time.Duration // until when a permit can be used that was asked for in advance
	asking      bool          // such a permit is being asked for
}

// Limits records the limits that upstreams name, to this router or to others. All methods
// may be called concurrently.
type Limits struct {
	start   time.Time
	any     atomic.Bool // there are records
	changed func()      // called when a limit begins or ends at this router; may be nil

	mu        sync.Mutex
	upstreams map[catalog.Key]*limitRecord
}

// NewLimits returns a record without any limits.
func NewLimits() *Limits {
	return &Limits{start: time.Now(), upstreams: make(map[catalog.Key]*limitRecord)}
}

func (l *Limits) now() time.Duration { return time.Since(l.start) }

// OnChange sets the function that is called when a limit begins or ends by an answer to this
// router. It must be called before the record is used.
func (l *Limits) OnChange(changed func()) { l.changed = changed }

// Rate returns the limit of an upstream, in requests a second.
func (l *Limits) Rate(key catalog.Key) (rate float64, limited bool) {
	if !l.any.Load() {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.upstreams[key]; r != nil {
		return r.Rate, r.Limited
	}
	return 0, false
}

// limited reports whether an upstream names a limit.
func (l *Limits) limited(key catalog.Key) bool {
	_, limited := l.Rate(key)
	return limited
}

// LimitChange is a change of a limit that is to be logged.
type LimitChange struct {
	limit.Statement
	age time.Duration
}

// Record records what an answer of an upstream to this router says. It returns the change,
// if there is one to log.
func (l *Limits) Record(key catalog.Key, named limit.Named) (change LimitChange, changed bool) {
	if named.Kind != limit.PerSecond && !l.any.Load() {
		return LimitChange{}, false
	}
	l.mu.Lock()
	now, previous := l.now(), l.statement(key)
	next, ok := previous.After(now, named)
	if ok {
		change, changed = l.set(key, next, now)
	}
	l.mu.Unlock()
	if ok && next.Limited != previous.Limited && l.changed != nil {
		l.changed()
	}
	return change, changed
}

// statement returns the newest statement on an upstream; the zero value if there is none.
// l.mu must be held.
func (l *Limits) statement(key catalog.Key) limit.Statement {
	if r := l.upstreams[key]; r != nil {
		return r.Statement
	}
	return limit.Statement{}
}

// set replaces the statement on an upstream, and returns the change if it is to be logged.
// l.mu must be held.
func (l *Limits) set(key catalog.Key, next limit.Statement, now time.Duration) (LimitChange, bool) {
	r := l.upstreams[key]
	if r == nil {
		r = &limitRecord{}
		l.upstreams[key] = r
		l.any.Store(true)
	}
	previous := r.Statement
	if next.Rate > previous.Rate || !next.Limited {
		r.deniedUntil = 0
	}
	r.Statement = next
	begins := next.Limited != previous.Limited
	if !begins && (next.Rate == previous.Rate || now-r.logged < limitLogInterval) {
		return LimitChange{}, false
	}
	r.logged = now
	return LimitChange{Statement: next, age: now - next.At}, true
}

// Merge takes over what another router knows of an upstream, if that is newer. It returns
// whether a limit begins or ends by it, and the change if there is one to log.
func (l *Limits) Merge(key catalog.Key, report LimitReport) (news bool, change LimitChange, changed bool) {
	if !(report.Rate >= 0) || report.Rate >= limit.MaxRate {
		return false, LimitChange{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now, previous := l.now(), l.statement(key)
	next := limit.Statement{Rate: report.Rate, Limited: report.Limited, At: now - time.Duration(report.AgeMs)*time.Millisecond}
	if _, known := l.upstreams[key]; known && next.At <= previous.At+limitMergeSlack {
		return false, LimitChange{}, false
	}
	change, changed = l.set(key, next, now)
	return next.Limited != previous.Limited, change, changed
}

// LimitReport is what a router tells others of the limit of an upstream.
type LimitReport struct {
	Upstream uint32  // short hash of its key
	Rate     float64 // requests a second
	Limited  bool    // false if the limit has ended
	AgeMs    uint32  // since an answer said so
}

// Reports returns the limits in force, and those that have ended a short time ago.
func (l *Limits) Reports() []LimitReport {
	if !l.any.Load() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	out := make([]LimitReport, 0, len(l.upstreams))
	for key, r := range l.upstreams {
		if r.Limited || now-r.At < limitReportTime {
			out = append(out, LimitReport{Upstream: key.Sum(), Rate: r.Rate, Limited: r.Limited, AgeMs: ageMs(now, r.At)})
		}
	}
	slices.SortFunc(out, func(a, b LimitReport) int { return cmp.Compare(a.AgeMs, b.AgeMs) })
	return out[:min(len(out), maxReportedLimits)]
}

// Count returns the number of limits in force.
func (l *Limits) Count() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.upstreams {
		if r.Limited {
			n++
		}
	}
	return n
}

// RemoveUnlisted removes the records of upstreams that have not been listed for some time,
// and of limits that ended some time ago.
func (l *Limits) RemoveUnlisted(listed func(catalog.Key) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for key, r := range l.upstreams {
		if now-r.At > unlistedLimitTime && (!r.Limited || !listed(key)) {
			delete(l.upstreams, key)
		}
	}
	l.any.Store(len(l.upstreams) > 0)
}

// Limits returns the record of the limits that upstreams name.
func (g *Gateway) Limits() *Limits { return g.limits }

// MergeLimit takes over what another router knows of the limit of an upstream, and reports
// whether a limit begins or ends by it.
func (g *Gateway) MergeLimit(key catalog.Key, report LimitReport) (news bool) {
	news, change, changed := g.limits.Merge(key, report)
	if changed {
		g.logLimit(key, change, "peer")
	}
	return news
}

// recordLimit records what an answer of an upstream says of its limit.
func (g *Gateway) recordLimit(key catalog.Key, named limit.Named) {
	if change, changed := g.limits.Record(key, named); changed {
		g.logLimit(key, change, "answer")
	}
}

// logLimit logs that a limit begins, changes or ends, and from where that is known.
func (g *Gateway) logLimit(key catalog.Key, change LimitChange, source string) {
	g.metrics.limits.Set(int64(g.limits.Count()))
	entry := g.opts.Log.WithFields(log.Fields{
		"upstream": key.ID, "source": source, "age_ms": change.age.Milliseconds(), "catalog": g.catalog.Load().Revision,
	})
	if change.Limited {
		entry.WithField("per_second", change.Rate).Info("upstream names a limit")
		return
	}
	entry.Info("upstream names no limit any more")
}
