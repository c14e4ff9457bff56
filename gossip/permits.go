package gossip

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"dandelionrill.example/fleet/decide/limit"
	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/gateway"
)

// The limit of an upstream is kept by one router, the holder, which the others ask for a
// permit before each send. All routers determine it alike, without any agreement: by hash,
// among the first maxHolders routers of the common order that answer.
const (
	// maxHolders is the number of routers that hold limits, so that the connections of a
	// large fleet stay few.
	maxHolders = 16
	// maxPermitAttempts is the number of holders that are asked for one permit.
	maxPermitAttempts = 2
	// permitTimeout limits one call for a permit. It allows for a few round trips between
	// failure domains.
	permitTimeout = 250 * time.Millisecond
	// holderCheckInterval is the time between two checks whether a holder that did not
	// answer does so again, and between two of one that others cannot reach.
	holderCheckInterval = time.Second
	// holderRetryTime is the time after which a permit may be asked for again when no holder
	// answered.
	holderRetryTime = 200 * time.Millisecond
)

// PermitArgs are the arguments of a call for a permit. With an upstream of 0 the call only
// checks whether the router answers.
type PermitArgs struct {
	Upstream uint32  // short hash of its key
	Rate     float64 // limit that the caller knows, in requests a second
}

// PermitReply is the reply to a call for a permit.
type PermitReply struct {
	Granted bool
	WaitMs  uint32 // until there may be a permit, if it was denied
}

// permitHolders is what a router knows of the holders of limits, and the permits that it
// grants itself.
type permitHolders struct {
	permits *gateway.Permits

	mu      sync.Mutex
	down    map[string]bool      // routers that did not answer a call for a permit, by address
	checked map[string]time.Time // when a router was last checked, by address
}

func newPermitHolders() permitHolders {
	return permitHolders{permits: gateway.NewPermits(), down: make(map[string]bool), checked: make(map[string]time.Time)}
}

// Permit asks the holder of an upstream's limit, in requests a second, for a permit to send
// one request to the upstream. If there is none, wait is the time after which it may be
// asked for again. upstream is the short hash of its key.
func (m *Mesh) Permit(ctx context.Context, upstream uint32, rate float64) (granted bool, wait time.Duration) {
	for range maxPermitAttempts {
		holder := m.permitHolder(upstream)
		if holder == m.opts.Address {
			return m.grant(upstream, rate, 1)
		}
		reply, err := m.askHolder(ctx, holder, &PermitArgs{Upstream: upstream, Rate: rate})
		if err == nil {
			return reply.Granted, time.Duration(reply.WaitMs) * time.Millisecond
		}
		if ctx.Err() != nil {
			break
		}
		m.markHolder(holder, true)
		m.opts.Log.WithError(err).WithField("peer", holder).Warn("router that holds limits does not answer")
	}
	return false, holderRetryTime
}

// askHolder calls a router for a permit.
func (m *Mesh) askHolder(ctx context.Context, address string, args *PermitArgs) (reply PermitReply, err error) {
	client, err := m.clients.Client(address)
	if err != nil {
		return PermitReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
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
	return m.holders.permits.Grant(upstream, rate*share)
}

// permitHolder returns the address of the router that holds the limit of an upstream.
func (m *Mesh) permitHolder(upstream uint32) string {
	candidates := m.holderCandidates()
	return candidates[place.Owner(uint64(upstream), candidates)]
}

// holderCandidates returns the addresses of the first routers of the common order that
// answer, this one among them if it is. There is at least one.
func (m *Mesh) holderCandidates() []string {
	m.mu.Lock()
	candidates := make([]string, 0, len(m.peers)+1)
	for address, p := range m.peers {
		if !p.unresponsive {
			candidates = append(candidates, address)
		}
	}
	m.mu.Unlock()
	m.holders.mu.Lock()
	candidates = slices.DeleteFunc(candidates, func(address string) bool {
		if m.holders.down[address] {
			m.checkHolder(address)
		}
		return m.holders.down[address]
	})
	m.holders.mu.Unlock()
	candidates = append(candidates, m.opts.Address)
	slices.SortFunc(candidates, func(a, b string) int { return cmp.Compare(place.Key(a), place.Key(b)) })
	return candidates[:min(len(candidates), maxHolders)]
}

// checkHolder calls a router to see whether it answers, unless that was done a short time
// ago. m.holders.mu must be held.
func (m *Mesh) checkHolder(address string) {
	if time.Since(m.holders.checked[address]) < holderCheckInterval {
		return
	}
	m.holders.checked[address] = time.Now()
	go func() {
		_, err := m.askHolder(context.Background(), address, &PermitArgs{})
		m.markHolder(address, err != nil)
	}()
}

// markHolder records whether a router answers calls for permits.
func (m *Mesh) markHolder(address string, down bool) {
	m.holders.mu.Lock()
	defer m.holders.mu.Unlock()
	if !down {
		delete(m.holders.down, address)
		return
	}
	m.holders.down[address], m.holders.checked[address] = true, time.Now()
}

// forgetHolder drops what is known of a router that has left the fleet.
func (m *Mesh) forgetHolder(address string) {
	m.holders.mu.Lock()
	defer m.holders.mu.Unlock()
	delete(m.holders.down, address)
	delete(m.holders.checked, address)
}

// Permit grants a permit to another router. Where this router takes another one to be the
// holder, it grants a small share only, and checks whether that one answers.
func (r *receiver) Permit(args *PermitArgs, reply *PermitReply) error {
	m := r.mesh
	if args.Upstream == 0 || !(args.Rate >= 0) {
		return nil
	}
	share := 1.0
	if holder := m.permitHolder(args.Upstream); holder != m.opts.Address {
		share = limit.FallbackShare
		m.holders.mu.Lock()
		m.checkHolder(holder)
		m.holders.mu.Unlock()
	}
	granted, wait := m.grant(args.Upstream, args.Rate, share)
	reply.Granted, reply.WaitMs = granted, uint32(wait.Milliseconds())
	return nil
}
