package gateway

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/cost"
)

const (
	// loadModelShards is the number of independently locked parts of a LoadModel.
	loadModelShards = 16
	// statedLoadMaxAge is how long the counts that an upstream states of itself are used:
	// reports of other routers are newer after that.
	statedLoadMaxAge = 200 * time.Millisecond
	// slownessMergeSlack is by how much the statement of another router must be newer to
	// replace one that is known: the age of a statement grows less on the way than in time.
	slownessMergeSlack = 50 * time.Millisecond
	// maxReportedSlowness is the number of upstreams in one report, the newest first.
	maxReportedSlowness = 128
	// slownessReportTime is how long the slowness of an upstream is reported. Older
	// statements have little effect.
	slownessReportTime = time.Second
)

// LoadModel predicts what requests cost, for the services of which an upstream has stated
// the slowness of its host. All methods may be called concurrently.
type LoadModel struct {
	start     time.Time
	serviceOf func(catalog.Key) string // empty if the upstream is not listed

	mu sync.Mutex // held while services is replaced
	// services maps each service to its costs. The map is never changed; nil if there are none.
	services atomic.Pointer[map[string]*serviceCosts]
	shards   [loadModelShards]loadModelShard
	errors   *predictionErrors
}

// serviceCosts is what was learned of one service.
type serviceCosts struct {
	mu    sync.Mutex
	model *cost.Model
}

type loadModelShard struct {
	mu        sync.Mutex
	upstreams map[catalog.Key]*upstreamCosts
}

// upstreamCosts is the state of one upstream. The fields but the last two are guarded by the
// lock of its shard.
type upstreamCosts struct {
	slowness   cost.Slowness
	slowAt     time.Duration // when it was last stated to be slower than normal
	speed      cost.Speed
	sent       tokenRate
	stated     ReportedLoad
	statedAt   time.Duration
	statedOnce bool
	// Sums of this router's requests in progress.
	workMicros atomic.Int64
	tokens     atomic.Int64
}

// NewLoadModel returns a model without any service. serviceOf returns the service of a
// listed upstream.
func NewLoadModel(serviceOf func(catalog.Key) string) *LoadModel {
	m := &LoadModel{start: time.Now(), serviceOf: serviceOf, errors: newPredictionErrors()}
	for i := range m.shards {
		m.shards[i].upstreams = make(map[catalog.Key]*upstreamCosts)
	}
	return m
}

func (m *LoadModel) now() time.Duration { return time.Since(m.start) }

// service returns the costs of a service; nil if no upstream of it has stated a slowness.
func (m *LoadModel) service(name string) *serviceCosts {
	services := m.services.Load()
	if services == nil {
		return nil
	}
	return (*services)[name]
}

// enable begins to predict what the requests of an upstream's service cost.
func (m *LoadModel) enable(key catalog.Key) {
	name := m.serviceOf(key)
	if name == "" || m.service(name) != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	next := make(map[string]*serviceCosts)
	if services := m.services.Load(); services != nil {
		maps.Copy(next, *services)
	}
	if next[name] == nil {
		next[name] = &serviceCosts{model: cost.NewModel()}
	}
	m.services.Store(&next)
}

func (m *LoadModel) shard(key catalog.Key) *loadModelShard {
	return &m.shards[key.Sum()%loadModelShards]
}

// upstream returns the state of an upstream, creating it if there is none. The lock of the
// shard must be held.
func (s *loadModelShard) upstream(key catalog.Key) *upstreamCosts {
	u := s.upstreams[key]
	if u == nil {
		u = &upstreamCosts{}
		s.upstreams[key] = u
	}
	return u
}

// Record records the load that an upstream states in an answer.
func (m *LoadModel) Record(key catalog.Key, load ReportedLoad) {
	if load.Slowness > 0 {
		m.enable(key)
	}
	if m.services.Load() == nil {
		return
	}
	now := m.now()
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.upstream(key)
	u.stated, u.statedAt, u.statedOnce = load, now, true
	if load.Slowness > 0 {
		u.slowness = u.slowness.Stated(now, load.Slowness)
		if load.Slowness > 1 {
			u.slowAt = now
		}
	}
}

// SlownessReport is what a router tells others of the slowness of an upstream.
type SlownessReport struct {
	Upstream uint32 // short hash of its key
	Slowness float64
	AgeMs    uint32 // since an answer stated it
}

// Merge takes over what another router knows of an upstream, if that is newer.
func (m *LoadModel) Merge(key catalog.Key, report SlownessReport) {
	if !(report.Slowness > 0) || report.AgeMs > uint32(slownessReportTime/time.Millisecond)*2 {
		return
	}
	m.enable(key)
	if m.services.Load() == nil {
		return
	}
	at := m.now() - time.Duration(report.AgeMs)*time.Millisecond
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.upstream(key)
	if _, age, ok := u.slowness.Last(m.now()); ok && at <= m.now()-age+slownessMergeSlack {
		return
	}
	u.slowness = u.slowness.Reported(at, report.Slowness)
	if report.Slowness > 1 {
		u.slowAt = max(u.slowAt, at)
	}
}

// SlownessReports returns the upstreams that are slower than normal, or were a short time
// ago, so that others learn of the end too.
func (m *LoadModel) SlownessReports() []SlownessReport {
	if m.services.Load() == nil {
		return nil
	}
	var out []SlownessReport
	m.each(func(now time.Duration, key catalog.Key, u *upstreamCosts) {
		value, age, ok := u.slowness.Last(now)
		if ok && age < slownessReportTime && u.slowAt > 0 && now-u.slowAt < 2*slownessReportTime {
			out = append(out, SlownessReport{Upstream: key.Sum(), Slowness: value, AgeMs: uint32(max(0, age.Milliseconds()))})
		}
	})
	slices.SortFunc(out, func(a, b SlownessReport) int { return cmp.Compare(a.AgeMs, b.AgeMs) })
	return out[:min(len(out), maxReportedSlowness)]
}

// each calls f with the state of every upstream, under the lock of its shard.
func (m *LoadModel) each(f func(time.Duration, catalog.Key, *upstreamCosts)) {
	now := m.now()
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		for key, u := range s.upstreams {
			f(now, key, u)
		}
		s.mu.Unlock()
	}
}

// Work is the sum of what is left of requests in progress at an upstream.
type Work struct {
	Tenths uint32 // predicted work, in tenths of a ms of an idle upstream
	Tokens uint32 // of their prompts and answers, in the memory of the upstream
}

// WorkByUpstream maps the short hash of an upstream's key to the work there.
type WorkByUpstream map[uint32]Work

// OwnWork returns the work of this router's requests in progress; nil if none is predicted.
func (m *LoadModel) OwnWork() WorkByUpstream {
	if m.services.Load() == nil {
		return nil
	}
	out := make(WorkByUpstream)
	m.each(func(_ time.Duration, key catalog.Key, u *upstreamCosts) {
		micros, tokens := u.workMicros.Load(), u.tokens.Load()
		if micros > 0 || tokens > 0 {
			out[key.Sum()] = Work{Tenths: uint32(max(0, micros+50) / 100), Tokens: uint32(max(0, tokens))}
		}
	})
	return out
}

// RemoveUnlisted removes the state of upstreams that are no longer listed and have no request
// of this router in progress.
func (m *LoadModel) RemoveUnlisted(listed func(catalog.Key) bool) {
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		for key, u := range s.upstreams {
			if u.workMicros.Load() <= 0 && u.tokens.Load() <= 0 && !listed(key) {
				delete(s.upstreams, key)
			}
		}
		s.mu.Unlock()
	}
}

// upstreamCostState is a copy of the state of one upstream.
type upstreamCostState struct {
	upstream cost.Upstream // Slowness includes speed
	speed    float64
	tokens   float64 // in memory, of this router's requests and of those that peers report
	// tokensPerSecond is how many this router sends there.
	tokensPerSecond float64
}

// state returns the state of an upstream with the given requests from all routers, as last
// reported. Requests of routers that report no work count as meanMs and meanTokens.
func (m *LoadModel) state(u *catalog.Upstream, requests float64, peers workSum, meanMs, meanTokens float64) upstreamCostState {
	now, key := m.now(), u.Key()
	out := upstreamCostState{speed: 1, upstream: cost.Upstream{Slots: u.Slots, Requests: requests, Slowness: 1}}
	unreported := max(0, peers.unreported)
	out.upstream.WorkMs = peers.workMs + unreported*meanMs
	out.tokens = peers.tokens + unreported*meanTokens
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.upstreams[key]
	if known == nil {
		return out
	}
	out.speed = known.speed.At(now)
	out.upstream.Slowness = known.slowness.At(now) * out.speed
	out.upstream.WorkMs += float64(max(0, known.workMicros.Load())) / 1000
	out.tokens += float64(max(0, known.tokens.Load()))
	out.tokensPerSecond = known.sent.perSecond(now)
	if !known.statedOnce {
		return out
	}
	if known.stated.Slots > 0 {
		out.upstream.Slots = known.stated.Slots
	}
	if now-known.statedAt < statedLoadMaxAge {
		// A false count must neither empty the upstream nor draw all requests.
		stated := float64(known.stated.Running + known.stated.Waiting)
		out.upstream.Requests = min(max(stated, requests/2), 2*requests+8)
	}
	return out
}

// LoadModel returns the record of what upstreams state of their load, and of the costs of
// requests.
func (g *Gateway) LoadModel() *LoadModel { return g.loads }
