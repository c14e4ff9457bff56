package gossip

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/gateway"
)

// In a large fleet a router exchanges reports with its partners only, and a caller may take a
// stream up at any other router before a report has brought the record there. The router that
// begins a stream therefore tells the home routers of the stream at its first event. All routers
// determine them alike, by a hash of the request, so that a lookup knows whom to ask.
const (
	// streamHomes is the number of routers that are told of a stream.
	streamHomes = 2
	// askedStreamHomes is the number of routers that are asked: one that has joined or left since
	// may have changed the order.
	askedStreamHomes = 3
	// maxUntoldStreams is the number of records that wait for the call in progress to a home.
	maxUntoldStreams = 4096
	// maxStreamsPerTell is the number of records in one call.
	maxStreamsPerTell = 512
)

// BegunArgs tell a home router of streams that have begun.
type BegunArgs struct {
	Address string // of the sender's listener for other routers
	Domain  string // failure domain of the sender
	Streams StreamRecords
}

// BegunReply is the reply to BegunArgs.
type BegunReply struct{}

// untoldStreams are the records that wait to be told, by the address of their home. A home is
// called once at a time, for all records that wait by then.
type untoldStreams struct {
	mu    sync.Mutex
	homes map[string]*untoldQueue // with a call in progress
}

type untoldQueue struct{ waiting []gateway.Stream }

// homesOf returns the addresses of the first n home routers of a stream that are not this one.
// m.mu must be held.
func (m *Mesh) homesOf(home uint64, n int) []string {
	type candidate struct {
		address string
		weight  uint64
	}
	best := make([]candidate, 0, n+1)
	add := func(address string, key uint64) {
		c := candidate{address, place.Weight(home, key)}
		at, _ := slices.BinarySearchFunc(best, c, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
		if best = slices.Insert(best, at, c); len(best) > n {
			best = best[:n]
		}
	}
	add(m.opts.Address, m.key)
	for address, p := range m.peers {
		add(address, p.key)
	}
	var addresses []string
	for _, c := range best {
		if c.address != m.opts.Address {
			addresses = append(addresses, c.address)
		}
	}
	return addresses
}

// TellStreams tells the home routers of records of a stream that has just begun, without waiting
// for them. In a small fleet lookups ask all routers, and none is told.
func (m *Mesh) TellStreams(home uint64, streams []gateway.Stream) {
	m.mu.Lock()
	var homes []string
	if !m.topology.flat {
		homes = m.homesOf(home, streamHomes)
	}
	m.mu.Unlock()
	for _, address := range homes {
		m.tellHome(address, streams)
	}
}

// tellHome makes records part of the next call to a home.
func (m *Mesh) tellHome(address string, streams []gateway.Stream) {
	m.untold.mu.Lock()
	defer m.untold.mu.Unlock()
	if q := m.untold.homes[address]; q != nil {
		if len(q.waiting) < maxUntoldStreams {
			q.waiting = append(q.waiting, streams...)
		}
		return
	}
	if m.untold.homes == nil {
		m.untold.homes = make(map[string]*untoldQueue)
	}
	q := &untoldQueue{waiting: slices.Clone(streams)}
	m.untold.homes[address] = q
	go m.callHome(address, q)
}

// callHome calls a home until no record waits for it. Records of a call that fails are told by the
// next reports only.
func (m *Mesh) callHome(address string, q *untoldQueue) {
	for {
		m.untold.mu.Lock()
		n := min(len(q.waiting), maxStreamsPerTell)
		batch := q.waiting[:n:n]
		q.waiting = q.waiting[n:]
		if n == 0 {
			delete(m.untold.homes, address)
		}
		m.untold.mu.Unlock()
		if n == 0 {
			return
		}
		m.tellBatch(address, batch)
	}
}

func (m *Mesh) tellBatch(address string, batch []gateway.Stream) {
	defer m.recoverPanic("streams", address)
	client, err := m.clients.Client(address)
	if err != nil {
		return // the mesh is closed
	}
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	args := &BegunArgs{Address: m.opts.Address, Domain: m.opts.FailureDomain, Streams: encodeStreams(batch)}
	_ = client.Call(ctx, service+".Begun", args, &BegunReply{}) // a router of an earlier version does not know the method
}

// Begun records streams that have begun at another router.
func (r *receiver) Begun(args *BegunArgs, _ *BegunReply) (err error) {
	m := r.mesh
	defer m.recoverCall("Begun", &err)
	m.mu.Lock()
	domain := m.domainOf(args.Address, args.Domain)
	m.mu.Unlock()
	origin := gateway.OriginDomain
	if domain != m.opts.FailureDomain {
		origin = gateway.OriginForeign
	}
	n := min(len(args.Streams.Attempts), maxStreamsPerTell)
	m.recordStreams(StreamRecords{Attempts: args.Streams.Attempts[:n], Versions: args.Streams.Versions}, origin)
	return nil
}

// otherHomes returns the home routers to ask for a stream that are not among the addresses.
func (m *Mesh) otherHomes(query *gateway.StreamQuery, addresses []string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.topology.flat {
		return nil
	}
	homes := m.homesOf(cmp.Or(query.Fingerprint, query.Attempt), askedStreamHomes)
	return slices.DeleteFunc(homes, func(address string) bool {
		return slices.Contains(addresses, address) || m.peers[address].unresponsive
	})
}
