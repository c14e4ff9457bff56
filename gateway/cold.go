package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/cold"
	"dandelionrill.example/fleet/routing"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

// Errors that end a send just before it is written.
var (
	errPermitExpired = errors.New("permit to send to a cold upstream has expired")
	errCold          = errors.New("upstream is cold, and the send has no permit")
)

// maxReportedCold is the number of upstreams in one report.
const maxReportedCold = 512

// coldRecord is what is known of one upstream that is or was cold.
type coldRecord struct {
	cold.State
	logged      time.Duration // Until when its begin was logged; 0 if its end was
	deniedUntil time.Duration // until when no permit is asked for
	listedAt    time.Duration // when it was last listed
}

// Cold records which upstreams are cold. All methods may be called concurrently.
type Cold struct {
	start   time.Time
	any     atomic.Bool // there are records of upstreams that are or were cold
	changed func()      // called when an upstream begins to be cold by what this router heard itself; may be nil

	mu        sync.Mutex
	listed    bool // a list of upstreams was recorded
	upstreams map[catalog.Key]*coldRecord
}

// NewCold returns a Cold without any records.
func NewCold() *Cold {
	return &Cold{start: time.Now(), upstreams: make(map[catalog.Key]*coldRecord)}
}

func (c *Cold) now() time.Duration { return time.Since(c.start) }

// OnChange sets the function that is called when an upstream begins to be cold by what this
// router heard itself. It must be called before the record is used.
func (c *Cold) OnChange(changed func()) { c.changed = changed }

// update replaces the state of an upstream, and returns it and whether the upstream begins
// to be cold. c.mu must be held.
func (c *Cold) update(key catalog.Key, f func(s cold.State, now time.Duration) cold.State) (next cold.State, begins bool) {
	now := c.now()
	r := c.upstreams[key]
	if r == nil {
		r = &coldRecord{listedAt: now}
		c.upstreams[key] = r
	}
	before := r.State.IsCold(now)
	r.State = f(r.State, now)
	if r.State.Until > 0 {
		c.any.Store(true)
	}
	return r.State, r.State.IsCold(now) && !before
}

// ColdChange is an upstream that begins or ends to be cold, to be logged.
type ColdChange struct {
	key       catalog.Key
	state     cold.State
	remaining time.Duration
	age       time.Duration
}

// SetList records a list of upstreams: what their entries say, and that those are cold that
// are new since the first list and whose entries say nothing. Entries that lapsed while the
// store was away come back as new ones. coldTime returns for how long an upstream of a service is
// cold after its start. The upstreams that begin to be cold are returned.
func (c *Cold) SetList(list *catalog.Catalog, coldTime func(service string) time.Duration) []ColdChange {
	var changes []ColdChange
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	list.All(func(u *catalog.Upstream) {
		key := u.Key()
		_, known := c.upstreams[key]
		state, begins := c.update(key, func(s cold.State, now time.Duration) cold.State {
			if !known && c.listed && !u.ColdStated {
				s = s.Start(now, coldTime(u.Service), cold.SourceNew)
			}
			return s.Entry(now, u.Revision, u.ColdRemaining)
		})
		c.upstreams[key].listedAt = now
		if begins {
			changes = append(changes, ColdChange{key: key, state: state, remaining: state.Until - now, age: now - state.At})
		}
	})
	c.listed = true
	for key, r := range c.upstreams {
		if now-r.listedAt > unlistedLimitTime && !r.State.IsCold(now) {
			delete(c.upstreams, key)
		}
	}
	return changes
}

// change updates the state of an upstream, and returns that it begins to be cold.
func (c *Cold) change(key catalog.Key, f func(s cold.State, now time.Duration) cold.State) (change ColdChange, begins bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	state, begins := c.update(key, f)
	return ColdChange{key: key, state: state, remaining: state.Until - now, age: now - state.At}, begins
}

// merge takes over what another router knows of a cold upstream.
func (c *Cold) merge(key catalog.Key, report ColdReport) (change ColdChange, begins bool) {
	return c.change(key, func(s cold.State, now time.Duration) cold.State {
		return s.Report(now, time.Duration(report.RemainingMs)*time.Millisecond, time.Duration(report.AgeMs)*time.Millisecond)
	})
}

// Merge takes over what another router knows of a cold upstream, and reports whether it
// begins to be cold by it.
func (c *Cold) Merge(key catalog.Key, report ColdReport) (news bool) {
	_, news = c.merge(key, report)
	return news
}

// IsCold reports whether an upstream is cold.
func (c *Cold) IsCold(key catalog.Key) bool {
	if !c.any.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.upstreams[key]
	return r != nil && r.State.IsCold(c.now())
}

// status returns the weight of an upstream as the home of prompts, and how long no permit
// is to be asked for; both are those of one that is not cold if it never was.
func (c *Cold) status(key catalog.Key, coldTime time.Duration) (weight float64, denied time.Duration) {
	if !c.any.Load() {
		return 1, 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r, now := c.upstreams[key], c.now()
	if r == nil {
		return 1, 0
	}
	if r.State.IsCold(now) {
		denied = max(0, r.deniedUntil-now)
	}
	return r.State.Weight(now, coldTime), denied
}

// deny records that there is no permit for an upstream for a time.
func (c *Cold) deny(key catalog.Key, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.upstreams[key]; r != nil {
		r.deniedUntil = c.now() + min(wait+rand.N(wait/4+time.Millisecond), maxDeniedTime)
	}
}

// ColdReport is what a router tells others of a cold upstream.
type ColdReport struct {
	Upstream    uint32 // short hash of its key
	RemainingMs uint32 // for which it is still cold
	AgeMs       uint32 // since that was stated
}

// Reports returns the upstreams that are cold.
func (c *Cold) Reports() []ColdReport {
	if !c.any.Load() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	var out []ColdReport
	for key, r := range c.upstreams {
		if r.State.IsCold(now) && len(out) < maxReportedCold {
			out = append(out, ColdReport{Upstream: key.Sum(), RemainingMs: uint32((r.State.Until - now).Milliseconds()), AgeMs: ageMs(now, r.State.At)})
		}
	}
	return out
}

// ended returns the upstreams that are cold no more and whose end was not returned yet, and
// the number of those that are cold.
func (c *Cold) ended() (ended []ColdChange, count int) {
	if !c.any.Load() {
		return nil, 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for key, r := range c.upstreams {
		switch isCold := r.State.IsCold(now); {
		case isCold:
			count++
			r.logged = r.State.Until
		case r.logged > 0:
			r.logged = 0
			ended = append(ended, ColdChange{key: key, state: r.State, age: now - r.State.At})
		}
	}
	return ended, count
}

// Cold returns the record of which upstreams are cold.
func (g *Gateway) Cold() *Cold { return g.cold }

// CheckCold logs the upstreams that are cold no more.
func (g *Gateway) CheckCold() {
	ended, count := g.cold.ended()
	g.metrics.cold.Set(int64(count))
	for _, change := range slices.DeleteFunc(ended, g.neverCold) {
		g.opts.Log.WithFields(log.Fields{
			"upstream": change.key.ID, "source": string(change.state.Source), "age_ms": change.age.Milliseconds(), "catalog": g.catalog.Load().Revision,
		}).Info("upstream is cold no more")
	}
}

// logCold logs that upstreams begin to be cold.
func (g *Gateway) logCold(changes ...ColdChange) {
	changes = slices.DeleteFunc(changes, g.neverCold)
	for _, change := range changes {
		g.metrics.coldBegins.Add(string(change.state.Source), 1)
		g.opts.Log.WithFields(log.Fields{
			"upstream": change.key.ID, "source": string(change.state.Source), "age_ms": change.age.Milliseconds(),
			"remaining_ms": change.remaining.Milliseconds(), "catalog": g.catalog.Load().Revision,
		}).Info("upstream is cold")
	}
	if len(changes) > 0 && g.cold.changed != nil {
		g.cold.changed()
	}
}

// neverCold reports whether a change is of no account, since the upstreams of the service
// are never cold.
func (g *Gateway) neverCold(change ColdChange) bool {
	u := g.catalog.Load().Find(change.key.ID)
	return u == nil || g.coldService(u.Service) == nil
}

// coldService returns the service of an upstream if its upstreams can be cold; nil if they
// can't.
func (g *Gateway) coldService(name string) *routing.Service {
	table := g.table.Load()
	if table == nil || !table.HasCold {
		return nil
	}
	if s := table.Service(name); s != nil && s.ColdPerSecond > 0 {
		return s
	}
	return nil
}

// coldTime returns how long an upstream of a service is cold after its start.
func (g *Gateway) coldTime(service string) time.Duration {
	if s := g.coldService(service); s != nil {
		return s.ColdTime
	}
	return 0
}

// isCold reports whether an upstream is cold, and its sends need permits therefore.
func (g *Gateway) isCold(u *catalog.Upstream) bool {
	return g.cold.any.Load() && g.coldService(u.Service) != nil && g.cold.IsCold(u.Key())
}

// recordCold records what an answer of an upstream says of how long it is cold.
func (g *Gateway) recordCold(key catalog.Key, answer *Answer) {
	if !answer.StatesCold || answer.ColdRemaining == 0 && !g.cold.any.Load() {
		return
	}
	change, begins := g.cold.change(key, func(s cold.State, now time.Duration) cold.State {
		return s.Answer(now, answer.ColdRemaining)
	})
	if begins {
		g.logCold(change)
	}
}

// MergeCold takes over what another router knows of a cold upstream, and reports whether it
// begins to be cold by it.
func (g *Gateway) MergeCold(key catalog.Key, report ColdReport) (news bool) {
	change, begins := g.cold.merge(key, report)
	if begins {
		g.logCold(change)
	}
	return begins
}

// coldAfterEvacuation records that the upstreams of a failure domain are cold from now on.
func (g *Gateway) coldAfterEvacuation(domain string) {
	g.catalog.Load().All(func(u *catalog.Upstream) {
		coldTime := g.coldTime(u.Service)
		if u.FailureDomain != domain || coldTime == 0 {
			return
		}
		change, begins := g.cold.change(u.Key(), func(s cold.State, now time.Duration) cold.State {
			return s.Start(now, coldTime, cold.SourceEvacuation)
		})
		if begins {
			g.logCold(change)
		}
	})
}

// permitDenied returns how long no permit for an upstream is to be asked for.
func (g *Gateway) permitDenied(u *catalog.Upstream) time.Duration {
	denied := g.limits.denied(u.Key())
	if g.isCold(u) {
		_, coldDenied := g.cold.status(u.Key(), 0)
		denied = max(denied, coldDenied)
	}
	return denied
}

// needsPermit reports whether sends to an upstream need permits.
func (g *Gateway) needsPermit(u *catalog.Upstream) bool {
	return g.limits.limited(u.Key()) || g.isCold(u)
}

// homeWeight returns the weight of an upstream as the home of prompts.
func (g *Gateway) homeWeight(u *catalog.Upstream) float64 {
	if !g.cold.any.Load() {
		return 1
	}
	coldTime := g.coldTime(u.Service)
	if coldTime == 0 {
		return 1
	}
	weight, _ := g.cold.status(u.Key(), coldTime)
	return weight
}

// permit asks for the permits that a send to the target needs, and reports whether there
// are all.
func (g *Gateway) permit(ctx context.Context, t *target) bool {
	key := t.upstream.Key()
	if g.isCold(t.upstream) && !g.askColdPermit(ctx, t) {
		return false
	}
	rate, limited := g.limits.Rate(key)
	return !limited || g.askPermit(ctx, key, rate)
}

// askColdPermit asks for a permit to send to a cold upstream.
func (g *Gateway) askColdPermit(ctx context.Context, t *target) bool {
	service, asked := g.coldService(t.upstream.Service), time.Now()
	if service == nil {
		return true
	}
	granted, wait := g.opts.ColdPermit(ctx, t.upstream.Key(), service.ColdPerSecond)
	if !granted {
		g.cold.deny(t.upstream.Key(), wait)
		g.metrics.coldDenied.Add(1)
		return false
	}
	t.permitAsked = asked
	g.metrics.coldGranted.Add(1)
	return true
}

// checkCold returns an error if the target is cold and has no permit, or one that is too
// old.
func (g *Gateway) checkCold(t target) error {
	switch {
	case !t.permitAsked.IsZero() && time.Since(t.permitAsked) > cold.PermitLife:
		return errPermitExpired
	case t.permitAsked.IsZero() && g.isCold(t.upstream):
		return errCold
	}
	return nil
}

// isWithdrawn reports whether a send was ended by its precondition.
func isWithdrawn(err error) bool {
	return errors.IsAny(err, errEvacuated, errPermitExpired, errCold)
}
