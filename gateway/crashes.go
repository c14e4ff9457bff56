package gateway

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrill.example/fleet/decide/blame"
	"github.com/cespare/xxhash/v2"
)

const (
	// crashesToBlame is the number of upstreams that end before a part is blamed.
	crashesToBlame = 3
	// certainCrashes is the number of upstreams after which a part that alone is blamed for
	// them is not tried again while requests with it come.
	certainCrashes = 5
	// suspectedCrashes is the number of upstreams after which a request with the part is
	// not repeated at another one.
	suspectedCrashes = 2
	// CrashSettleTime is the age from which a crash counts: reports of other routers may
	// still show that its parts were answered.
	CrashSettleTime = 300 * time.Millisecond
	// answeredQuietTime is how long a part that used to be answered must not have been.
	answeredQuietTime = 2 * time.Second
	// maxCrashesPerPart is the number of crashes that are kept of a part.
	maxCrashesPerPart = 16
	// maxCrashedParts is the number of parts of which crashes are kept, and
	// maxReportedParts of those in one report.
	maxCrashedParts  = 1024
	maxReportedParts = 64
	// crashMemory is how long a crash is kept, and blockMemory how long a blocked part
	// stays so without a request that has it.
	crashMemory = 2 * time.Minute
	blockMemory = 10 * time.Minute
	// answeredReportTime is how long routers tell each other that a part with crashes was
	// answered.
	answeredReportTime = 10 * time.Second
	// aliveFrom and aliveUntil limit when an answer shows that an upstream has not ended:
	// to a request that was sent so long after it broke off others. Later, it may have
	// started again.
	aliveFrom  = 100 * time.Millisecond
	aliveUntil = 2 * time.Second
)

// partCrashes is what this router knows of a part.
type partCrashes struct {
	crashes     []blame.Crash // of different upstreams
	answeredAt  time.Duration
	isAnswered  bool
	requestedAt time.Duration // when a request with it was last refused here or elsewhere
	isRequested bool
	triedAt     time.Duration // when a request with it was last let through here or elsewhere
	isTried     bool
	trialDelay  time.Duration // of this router, beyond trialInterval
	shared      bool          // others explain its crashes equally well
	stored      int           // upstreams that ended by the list in the store; 0 if it is not listed
	storedAt    time.Duration // since when it is listed
}

// Crashes records with which requests and prompt parts upstreams have ended, here and at other
// routers, and blocks those that crash them. A request is recorded by its fingerprint, like a
// part that it has alone. Its methods may be called concurrently.
type Crashes struct {
	start    time.Time
	answered answeredParts // prompt parts
	requests answeredParts // fingerprints, of which there are many more
	any      atomic.Bool   // there are records
	unproven unprovenEnds
	blocked  atomic.Pointer[map[uint64]struct{}]
	changed  func() // called when there is something to tell others; may be nil

	mu    sync.Mutex
	parts map[uint64]*partCrashes
	alive map[uint32]time.Duration // until when upstreams had not ended, though requests broke off
}

// NewCrashes returns a record without any crashes.
func NewCrashes() *Crashes {
	c := &Crashes{start: time.Now(), parts: make(map[uint64]*partCrashes), alive: make(map[uint32]time.Duration)}
	c.blocked.Store(&map[uint64]struct{}{})
	return c
}

func (c *Crashes) now() time.Duration { return time.Since(c.start) }

// OnChange sets the function that is called when a part has new crashes. It must be called
// before the record is used.
func (c *Crashes) OnChange(changed func()) { c.changed = changed }

// PartID returns the identifier of a prompt part for messages and records. It does not
// depend on the model.
func PartID(part string) uint64 { return xxhash.Sum64String(part) }

// Blocked returns the first of the parts that is blocked.
func (c *Crashes) Blocked(parts []uint64) (part uint64, blocked bool) {
	current := *c.blocked.Load()
	if len(current) == 0 {
		return 0, false
	}
	for _, part := range parts {
		if _, blocked := current[part]; blocked {
			return part, true
		}
	}
	return 0, false
}

// Any reports whether any crash or blocked part is recorded.
func (c *Crashes) Any() bool { return c.any.Load() }

// BlockedParts returns the blocked parts, sorted.
func (c *Crashes) BlockedParts() []uint64 { return slices.Sorted(maps.Keys(*c.blocked.Load())) }

// Count returns the number of upstreams that are known to have ended with a part.
func (c *Crashes) Count(part uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.parts[part]; p != nil {
		return p.ended()
	}
	return 0
}

// RecordAnswered records that requests with the parts are being answered.
func (c *Crashes) RecordAnswered(parts []uint64) { c.recordAnsweredAt(parts, c.now()) }

// recordAnsweredAt records that requests with the parts were being answered at a time.
func (c *Crashes) recordAnsweredAt(parts []uint64, at time.Duration) {
	for _, part := range parts {
		c.answeredOf(part).record(part, at)
	}
	if !c.any.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known := false
	for _, part := range parts {
		if p := c.parts[part]; p != nil {
			p.setAnswered(at)
			known = true
		}
	}
	if known {
		c.evaluate()
	}
}

// answeredOf returns the record of when requests with an identifier were answered.
func (c *Crashes) answeredOf(id uint64) *answeredParts {
	if isFingerprint(id) {
		return &c.requests
	}
	return &c.answered
}

// setAnswered records that a request with the part was answered.
func (p *partCrashes) setAnswered(at time.Duration) {
	if p.isAnswered && at <= p.answeredAt {
		return
	}
	p.answeredAt, p.isAnswered, p.stored = at, true, 0
	p.crashes = slices.DeleteFunc(p.crashes, func(c blame.Crash) bool { return c.At <= at })
}

// RecordCrash records that a request with the parts broke off at an upstream, before it was
// being answered. Parts that were answered a short time ago are left out.
func (c *Crashes) RecordCrash(upstream uint32, parts []uint64) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	news := false
	for _, part := range parts {
		if at, known := c.answeredOf(part).last(part); known && now-at < answeredQuietTime {
			continue
		}
		p := c.record(part)
		if p.add(blame.Crash{Upstream: upstream, At: now}) && !p.isAnswered {
			news = true
		}
	}
	c.evaluate()
	if news {
		c.tell()
	}
}

func (c *Crashes) tell() {
	if c.changed != nil {
		c.changed()
	}
}

// record returns the record of a part. c.mu must be held.
func (c *Crashes) record(part uint64) *partCrashes {
	p := c.parts[part]
	if p != nil {
		return p
	}
	if len(c.parts) >= maxCrashedParts {
		c.evict()
	}
	p = &partCrashes{trialDelay: rand.N(trialInterval)}
	if at, known := c.answeredOf(part).last(part); known {
		p.answeredAt, p.isAnswered = at, true
	}
	c.parts[part] = p
	c.any.Store(true)
	return p
}

// evict removes the record with the fewest crashes that is not blocked. c.mu must be held.
func (c *Crashes) evict() {
	blocked := *c.blocked.Load()
	var victim uint64
	least := -1
	for part, p := range c.parts {
		if _, ok := blocked[part]; !ok && (least < 0 || len(p.crashes) < least) {
			victim, least = part, len(p.crashes)
		}
	}
	delete(c.parts, victim)
}

// add adds a crash and reports whether it is new.
func (p *partCrashes) add(crash blame.Crash) bool {
	if p.isAnswered && crash.At <= p.answeredAt || len(p.crashes) >= maxCrashesPerPart {
		return false
	}
	if slices.ContainsFunc(p.crashes, func(other blame.Crash) bool { return other.Upstream == crash.Upstream }) {
		return false
	}
	p.crashes = append(p.crashes, crash)
	return true
}

// RecordAlive records that an upstream has answered a request that was sent the given time
// ago: it has not ended just before.
func (c *Crashes) RecordAlive(upstream uint32, sentAgo time.Duration) {
	sent := c.now() - sentAgo
	c.proveEnds(upstream, sent)
	if !c.any.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	found := false
	for _, p := range c.parts {
		for _, crash := range p.crashes {
			found = found || crash.Upstream == upstream && sent >= crash.At+aliveFrom && sent < crash.At+aliveUntil
		}
	}
	if found {
		c.setAlive(upstream, sent)
		c.evaluate()
	}
}

// setAlive removes the crashes of an upstream before a time at which it was alive. c.mu must
// be held.
func (c *Crashes) setAlive(upstream uint32, at time.Duration) {
	if last, known := c.alive[upstream]; known && at <= last {
		return
	}
	c.alive[upstream] = at
	for _, p := range c.parts {
		p.crashes = slices.DeleteFunc(p.crashes, func(crash blame.Crash) bool { return crash.Upstream == upstream && crash.At <= at })
	}
}

// Suspected reports whether upstreams have ended with a part that was never answered, so
// that a request with it must not be repeated at another one. tried reports whether the request
// was sent to an upstream: for a request itself, its own sends alone are no reason.
func (c *Crashes) Suspected(parts []uint64, tried func(upstream uint32) bool) bool {
	if !c.any.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(parts, func(part uint64) bool {
		p := c.parts[part]
		return p != nil && !p.isAnswered && len(p.crashes) >= suspectedCrashes &&
			(!isFingerprint(part) || slices.ContainsFunc(p.crashes, func(crash blame.Crash) bool { return !tried(crash.Upstream) }))
	})
}

// Tick evaluates the records again, and forgets old ones.
func (c *Crashes) Tick() {
	c.unproven.expire(c.now())
	if !c.any.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now, blocked := c.now(), *c.blocked.Load()
	for part, p := range c.parts {
		_, isBlocked := blocked[part]
		switch {
		case isBlocked && now-p.lastBlockUse() <= blockMemory:
			continue
		case isBlocked:
			p.stored, p.crashes = 0, nil
		}
		p.crashes = slices.DeleteFunc(p.crashes, func(crash blame.Crash) bool { return now-crash.At > crashMemory })
		if len(p.crashes) == 0 && (!p.isAnswered || now-p.answeredAt > answeredReportTime) {
			delete(c.parts, part)
		}
	}
	for upstream, at := range c.alive {
		if now-at > crashMemory {
			delete(c.alive, upstream)
		}
	}
	c.any.Store(len(c.parts) > 0)
	c.evaluate()
}

// lastBlockUse returns when a request with the part was last refused, or crashed an
// upstream, or when the part was listed in the store.
func (p *partCrashes) lastBlockUse() time.Duration {
	return max(p.requestedAt, p.lastEnd(), p.storedAt)
}

// evaluate determines which parts are blocked. c.mu must be held.
func (c *Crashes) evaluate() {
	next := make(map[uint64]struct{})
	var parts []blame.Part
	enough := false
	for part, p := range c.parts {
		p.shared = false
		if p.stored > len(p.crashes) { // otherwise the crashes that are known decide
			next[part] = struct{}{}
		}
		enough = enough || len(p.crashes) >= crashesToBlame
		if len(p.crashes) > 0 {
			parts = append(parts, blame.Part{Key: part, Crashes: p.crashes, Answered: p.answeredAt, IsAnswered: p.isAnswered, IsRequest: isFingerprint(part)})
		}
	}
	if enough {
		for _, part := range blame.Blamed(blame.Options{Crashes: crashesToBlame, Settle: CrashSettleTime, Quiet: answeredQuietTime}, c.now(), parts) {
			next[part.Key] = struct{}{}
			c.parts[part.Key].shared = part.Shared
		}
	}
	if !maps.Equal(next, *c.blocked.Load()) {
		c.blocked.Store(&next)
	}
}
