package gossip

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"dandelionrill.example/fleet/decide/limit"
	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/gateway"
)

// The limit of an upstream is kept by one router, the owner, which the others ask for a
// permit before each send. All routers determine it alike, without any agreement: by hash,
// among the first maxOwners routers of the common order that answer.
const (
	// maxOwners is the number of routers that own limits, so that the connections of a
	// large fleet stay few.
	maxOwners = 16
	// maxPermitAttempts is the number of owners that are asked for one permit.
	maxPermitAttempts = 2
	// permitTimeout limits one call for a permit. It allows for a few round trips between
	// failure domains.
	permitTimeout = 250 * time.Millisecond
	// ownerCheckInterval is the time between two checks whether an owner that did not
	// answer does so again, and between two of one that others cannot reach.
	ownerCheckInterval = time.Second
	// trialPermits stands for an upstream in the calls for permits of trials, and trialRate is
	// the number of trials in a second. In between all routers hear of a trial and its end.
	trialPermits = 1
	trialRate    = 0.5
	// cutOffMaxAge is the age of the last call of a router that does not answer from which it
	// counts as ended: routers call each other several times a second, and speakers of
	// failure domains once in maxDomainInterval.
	cutOffMaxAge = 2 * time.Second
	// ownerRetryTime is the time after which a permit may be asked for again when no owner
	// answered.
	ownerRetryTime = 200 * time.Millisecond
)

// PermitArgs are the arguments of a call for a permit. With an upstream of 0 the call only
// checks whether the router answers.
type PermitArgs struct {
	Upstream uint32  // short hash of its key
	Rate     float64 // limit that the caller knows, in requests a second
	Cold     bool    // the permit is for a cold upstream, which takes Rate requests a second
	From     string  // address of the router that calls; empty from earlier versions
}

// PermitReply is the reply to a call for a permit.
type PermitReply struct {
	Granted bool
	WaitMs  uint32 // until there may be a permit, if it was denied
}

// limitOwners is what a router knows of the owners of limits, and the permits that it
// grants itself.
type limitOwners struct {
	permits *gateway.Permits

	mu      sync.Mutex
	down    map[string]bool      // routers that did not answer a call for a permit, by address
	checked map[string]time.Time // when a router was last checked, by address
	heard   map[string]time.Time // when a router last called this one, by address
	lost    map[string]time.Time // since when a router has not answered, by address
}

func newLimitOwners() limitOwners {
	return limitOwners{
		permits: gateway.NewPermits(), down: make(map[string]bool), checked: make(map[string]time.Time),
		heard: make(map[string]time.Time), lost: make(map[string]time.Time),
	}
}

// Permit asks the owner of an upstream's limit, in requests a second, for a permit to send
// one request to the upstream. If there is none, wait is the time after which it may be
// asked for again. upstream is the short hash of its key.
func (m *Mesh) Permit(ctx context.Context, upstream uint32, rate float64) (granted bool, wait time.Duration) {
	for range maxPermitAttempts {
		owner := m.limitOwner(upstream)
		if owner == m.opts.Address {
			return m.grant(upstream, rate, m.ownShare(upstream))
		}
		reply, err := m.askOwner(ctx, owner, &PermitArgs{Upstream: upstream, Rate: rate})
		if err == nil {
			return reply.Granted, time.Duration(reply.WaitMs) * time.Millisecond
		}
		if ctx.Err() != nil {
			break
		}
		m.markOwner(owner, true)
		m.opts.Log.WithError(err).WithField("peer", owner).Warn("router that owns limits does not answer")
	}
	return false, ownerRetryTime
}

// PermitTrial asks for leave to let one blocked request through, to find out whether it is
// sound. There is one trial at a time in the fleet: two could meet at an upstream, and the end
// under one would speak against the other.
func (m *Mesh) PermitTrial(ctx context.Context) bool {
	granted, _ := m.Permit(ctx, trialPermits, trialRate)
	return granted
}

// askOwner calls a router for a permit.
func (m *Mesh) askOwner(ctx context.Context, address string, args *PermitArgs) (reply PermitReply, err error) {
	client, err := m.clients.Client(address)
	if err != nil {
		return PermitReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	args.From = m.opts.Address
	err = client.Call(ctx, service+".Permit", args, &reply)
	return reply, err
}

// grant grants a permit by the share of the limit that this router may use.
func (m *Mesh) grant(upstream uint32, rate, share float64) (granted bool, wait time.Duration) {
	if key, ok := m.opts.UpstreamKey(upstream); ok {
		if known, limited := m.opts.Limits.Rate(key); limited {
			rate = known
		}
	}
	return m.owners.permits.Grant(upstream, rate*share)
}

// limitOwner returns the address of the router that owns the limit of an upstream.
func (m *Mesh) limitOwner(upstream uint32) string {
	candidates := m.ownerCandidates()
	return candidates[place.Owner(uint64(upstream), candidates)]
}

// ownerCandidates returns the addresses of the first routers of the common order that
// answer, this one among them if it is. There is at least one.
func (m *Mesh) ownerCandidates() []string {
	m.mu.Lock()
	candidates := make([]string, 0, len(m.peers)+1)
	for address, p := range m.peers {
		if !p.unresponsive {
			candidates = append(candidates, address)
		}
	}
	m.mu.Unlock()
	m.owners.mu.Lock()
	candidates = slices.DeleteFunc(candidates, func(address string) bool {
		if m.owners.down[address] {
			m.checkOwner(address)
		}
		return m.owners.down[address]
	})
	m.owners.mu.Unlock()
	candidates = append(candidates, m.opts.Address)
	slices.SortFunc(candidates, func(a, b string) int { return cmp.Compare(place.Key(a), place.Key(b)) })
	return candidates[:min(len(candidates), maxOwners)]
}

// ownShare returns the share of an upstream's limit that this router, which takes itself for
// the owner, may grant. If the owner in place of which it grants does not answer calls, but
// goes on making them, then that router grants as well.
func (m *Mesh) ownShare(upstream uint32) float64 {
	m.mu.Lock()
	candidates := append(slices.Collect(maps.Keys(m.peers)), m.opts.Address)
	m.mu.Unlock()
	slices.SortFunc(candidates, func(a, b string) int { return cmp.Compare(place.Key(a), place.Key(b)) })
	candidates = candidates[:min(len(candidates), maxOwners)]
	for len(candidates) > 0 {
		i := place.Owner(uint64(upstream), candidates)
		if candidates[i] == m.opts.Address {
			break
		}
		if m.isCutOff(candidates[i]) {
			return limit.FallbackShare
		}
		candidates = slices.Delete(candidates, i, i+1)
	}
	return 1
}

// isCutOff reports whether a router does not answer, but has called this one since then.
func (m *Mesh) isCutOff(address string) bool {
	m.owners.mu.Lock()
	defer m.owners.mu.Unlock()
	lost, ok := m.owners.lost[address]
	heard := m.owners.heard[address]
	return ok && heard.After(lost) && time.Since(heard) < cutOffMaxAge
}

// recordHeard records that a router called this one.
func (m *Mesh) recordHeard(address string) {
	m.mu.Lock()
	known := m.peers[address] != nil
	m.mu.Unlock()
	if !known {
		return
	}
	m.owners.mu.Lock()
	defer m.owners.mu.Unlock()
	m.owners.heard[address] = time.Now()
}

// recordReached records whether a router answered a call, of any kind. m.owners.mu must be
// held.
func (o *limitOwners) recordReached(address string, reached bool) {
	if reached {
		if !o.down[address] {
			delete(o.lost, address)
		}
	} else if o.lost[address].IsZero() {
		o.lost[address] = time.Now()
	}
}

// checkOwner calls a router to see whether it answers, unless that was done a short time
// ago. m.owners.mu must be held.
func (m *Mesh) checkOwner(address string) {
	if time.Since(m.owners.checked[address]) < ownerCheckInterval {
		return
	}
	m.owners.checked[address] = time.Now()
	go func() {
		defer m.recoverPanic("permit", address)
		_, err := m.askOwner(context.Background(), address, &PermitArgs{})
		m.markOwner(address, err != nil)
	}()
}

// markOwner records whether a router answers calls for permits.
func (m *Mesh) markOwner(address string, down bool) {
	m.owners.mu.Lock()
	defer m.owners.mu.Unlock()
	if !down {
		delete(m.owners.down, address)
		m.owners.recordReached(address, true)
		return
	}
	m.owners.recordReached(address, false)
	m.owners.down[address], m.owners.checked[address] = true, time.Now()
}

// forgetOwner drops what is known of a router that has left the fleet.
func (m *Mesh) forgetOwner(address string) {
	m.owners.mu.Lock()
	defer m.owners.mu.Unlock()
	delete(m.owners.down, address)
	delete(m.owners.checked, address)
	delete(m.owners.heard, address)
	delete(m.owners.lost, address)
}

// Permit grants a permit to another router. Where this router takes another one to be the
// owner, it grants a small share only, and checks whether that one answers.
func (r *receiver) Permit(args *PermitArgs, reply *PermitReply) (err error) {
	defer r.mesh.recoverCall("Permit", &err)
	m := r.mesh
	m.recordHeard(args.From)
	if args.Upstream == 0 || !isRate(args.Rate) {
		return nil
	}
	if args.Cold {
		granted, wait := m.grantCold(args.Upstream, args.Rate)
		reply.Granted, reply.WaitMs = granted, uint32(min(wait, time.Minute).Milliseconds())
		return nil
	}
	share := 1.0
	if owner := m.limitOwner(args.Upstream); owner == m.opts.Address {
		share = m.ownShare(args.Upstream)
	} else {
		share = limit.FallbackShare
		m.owners.mu.Lock()
		m.checkOwner(owner)
		m.owners.mu.Unlock()
	}
	granted, wait := m.grant(args.Upstream, args.Rate, share)
	reply.Granted, reply.WaitMs = granted, uint32(wait.Milliseconds())
	return nil
}
