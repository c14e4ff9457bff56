package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrill.example/fleet/decide/cover"
	"dandelionrill.example/fleet/gateway"
	"dandelionrill.example/fleet/link"
	"github.com/cockroachdb/errors"
)

// In a small fleet, while streams can begin at several versions, each router promises the others to tell
// them of a stream before its first event is delivered. A router to which all have promised so knows of
// each stream that a caller can take up; see package cover. Promises are made and renewed in the replies
// to reports.
const (
	// promiseTime is how long a promise holds from the time at which it was asked for. It allows for
	// one call that fails at the largest size of a small fleet. A router that is silent delays first
	// events of the others for as long.
	promiseTime = time.Second
	// tellRetryDelay is the time until a router that could not be told is called again.
	tellRetryDelay = 20 * time.Millisecond
	// askAllInterval is the least time between two requests to a peer for all that it knows.
	askAllInterval = time.Second
	// maxPromisedStreams is the number of records in a reply that makes a promise.
	maxPromisedStreams = 16384
	// joinTime is the time within which a new router is heard from.
	joinTime = 2 * time.Second
)

// coverage is what a router knows of the promises of others, and those that it has made.
type coverage struct {
	incarnation uint64      // of this process
	heardOlder  atomic.Bool // a router reported that ran before this one started

	mu       sync.Mutex
	promises *cover.Promises
	holders  *cover.Holders
}

func newCoverage(whole bool) *coverage {
	return &coverage{
		incarnation: rand.Uint64() | 1, // not 0, which stands for none
		promises:    cover.NewPromises(time.Now(), gateway.StreamMaxAge, joinTime, whole),
		holders:     cover.NewHolders(),
	}
}

// StreamMemory states how much a router knows of the streams that callers can take up.
type StreamMemory uint8

// Values of StreamMemory.
const (
	// MemoryUnknown is that of routers of earlier versions.
	MemoryUnknown StreamMemory = iota
	// MemoryPartial means that records may be missing.
	MemoryPartial
	// MemoryStored means that the router has started after all others had ended, and knows what
	// the store holds.
	MemoryStored
	// MemoryComplete means that each stream whose first event was delivered is known.
	MemoryComplete
)

// StreamMemory returns what this router knows.
func (m *Mesh) StreamMemory() StreamMemory {
	switch {
	case m.StreamsComplete():
		return MemoryComplete
	case m.StreamsStored():
		return MemoryStored
	}
	return MemoryPartial
}

// StreamsComplete reports whether this router knows of each stream that a caller can take up.
func (m *Mesh) StreamsComplete() bool { return m.isFlat() && m.completeExcept("") }

// StreamsStored reports whether all other routers had ended before this one started a short time ago,
// as far as it has heard, and it has read what the store holds of earlier streams.
func (m *Mesh) StreamsStored() bool { return m.isFresh() && m.opts.StreamsRestored() }

// isFresh reports whether this router started a short time ago, and has heard from none that ran before.
func (m *Mesh) isFresh() bool { return m.opts.StartedLately() && !m.cover.heardOlder.Load() }

// isFlat reports whether this router exchanges reports with all others.
func (m *Mesh) isFlat() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.topology.flat
}

// completeExcept is StreamsComplete but for the streams of the router at an address.
func (m *Mesh) completeExcept(address string) bool {
	if m.opts.Streams.DroppedWithin(gateway.StreamMaxAge) {
		return false
	}
	m.cover.mu.Lock()
	defer m.cover.mu.Unlock()
	return m.cover.promises.Complete(time.Now(), address)
}

// setCovered sets the addresses of the other routers.
func (m *Mesh) setCovered(addresses []string) {
	m.cover.mu.Lock()
	defer m.cover.mu.Unlock()
	m.cover.promises.SetRouters(time.Now(), addresses)
}

// heardFrom records that an incarnation of a router has called; 0 for one of an earlier version.
func (m *Mesh) heardFrom(address string, incarnation uint64) {
	if address == "" || address == m.opts.Address {
		return
	}
	m.cover.mu.Lock()
	defer m.cover.mu.Unlock()
	m.cover.promises.Heard(time.Now(), address, incarnation)
}

// noteFailure records what a failed call tells of a router.
func (m *Mesh) noteFailure(address string, err error) {
	m.cover.mu.Lock()
	defer m.cover.mu.Unlock()
	switch {
	case errors.Is(err, link.ErrPeerEnded):
		m.cover.promises.Ended(time.Now(), address)
	case errors.Is(err, link.ErrPeerGone):
		m.cover.promises.Gone(time.Now(), address)
	}
}

// Probes of a router whose connection has closed: its listener may close a moment later.
const (
	probes        = 3
	probeInterval = 50 * time.Millisecond
)

// probe finds out whether the process of a router has ended whose call failed with err, while its
// promise still holds.
func (m *Mesh) probe(ctx context.Context, client *link.Client, err error) {
	for range probes {
		if !errors.Is(err, link.ErrLost) || errors.Is(err, context.DeadlineExceeded) {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, lookupTimeout)
		err = client.Call(callCtx, service+".Begun", &BegunArgs{}, &BegunReply{})
		cancel()
		m.noteFailure(client.Address(), err)
		time.Sleep(probeInterval)
	}
}

// openStreams records that records of streams may have been lost.
func (m *Mesh) openStreams() {
	m.cover.mu.Lock()
	defer m.cover.mu.Unlock()
	m.cover.promises.Open(time.Now())
}

// promise makes a promise in the reply to a report that asks for one. The records of streams are to be
// added to the reply after it.
func (m *Mesh) promise(args, reply *Report) {
	if !args.AsksPromise || args.OfDomain || args.Incarnation == 0 || args.Address == "" || !m.isFlat() || !m.opts.TellsStreams() {
		return
	}
	reply.Complete = args.AsksAll && m.completeExcept(args.Address) // before the records that it states to be complete
	m.cover.mu.Lock()
	defer m.cover.mu.Unlock()
	if reply.Complete {
		reply.Running, reply.Ended = m.cover.promises.Routers()
	}
	m.cover.holders.Promise(time.Now(), args.Address, args.Incarnation, promiseTime)
	reply.Promises = true
}

// recordPromise records the promise in a reply whose records were recorded. asked is the time before the
// call, and asksAll states that it asked for all that the peer knows.
func (m *Mesh) recordPromise(address string, asked time.Time, asksAll bool, reply *Report) {
	if reply.OfDomain {
		return
	}
	now := time.Now()
	m.cover.mu.Lock()
	defer m.cover.mu.Unlock()
	p := m.cover.promises
	p.Heard(now, address, reply.Incarnation)
	if reply.Incarnation != 0 && !reply.StreamsWhole {
		p.Open(now)
	}
	if reply.Incarnation == 0 || !reply.Promises {
		return
	}
	p.Promised(now, address, reply.Incarnation, asked, promiseTime)
	if asksAll && reply.Complete && reply.StreamsWhole && p.Inherit(now, address, reply.Running, reply.Ended) {
		m.opts.Log.WithField("peer", address).Info("records of all recent streams received from another router")
	}
}

// tellHolders tells the routers to which this one has promised it of records, and waits until they know
// them, or the promise has ended. It returns false if ctx ends before.
func (m *Mesh) tellHolders(ctx context.Context, streams []gateway.Stream) bool {
	m.cover.mu.Lock()
	holders := m.cover.holders.Current(time.Now())
	m.cover.mu.Unlock()
	told := make(chan bool, len(holders))
	for _, h := range holders {
		go func() { told <- m.tellHolder(ctx, h, streams) }()
	}
	all := true
	for range holders {
		all = <-told && all
	}
	return all
}

// tellHolder is tellHolders for one router.
func (m *Mesh) tellHolder(ctx context.Context, h cover.Holder, streams []gateway.Stream) bool {
	expired := time.NewTimer(time.Until(h.Until))
	defer expired.Stop()
	for {
		results := make(chan error, 1)
		m.tell(h.Address, untoldStreams{records: streams, told: func(err error) { results <- err }})
		var err error
		select {
		case err = <-results:
		case <-expired.C:
			return true
		case <-ctx.Done():
			return false
		}
		if err == nil {
			return true
		}
		if errors.Is(err, link.ErrPeerEnded) {
			m.cover.mu.Lock()
			m.cover.holders.Drop(h)
			m.cover.mu.Unlock()
			return true
		}
		select {
		case <-time.After(tellRetryDelay):
		case <-expired.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
}
