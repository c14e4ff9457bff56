package gossip

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/gateway"
	"github.com/cockroachdb/errors"
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
	// maxUntoldStreams is the number of streams that wait for the call in progress to a router.
	maxUntoldStreams = 4096
	// maxStreamsPerTell is the number of streams in one call, and maxRecordsPerTell that of their
	// records.
	maxStreamsPerTell = 512
	maxRecordsPerTell = 2 * maxStreamsPerTell
)

// BegunArgs tell a router of streams that have begun.
type BegunArgs struct {
	Address string // of the sender's listener for other routers
	Domain  string // failure domain of the sender
	Streams StreamRecords
}

// BegunReply is the reply to BegunArgs.
type BegunReply struct{}

// untoldQueues hold the records that wait to be told, by the address of the router. A router is
// called once at a time, for all records that wait by then.
type untoldQueues struct {
	mu     sync.Mutex
	queues map[string]*untoldQueue // with a call in progress
}

type untoldQueue struct{ waiting []untoldStreams }

// untoldStreams are records that wait for a call.
type untoldStreams struct {
	records []gateway.Stream
	told    func(error) // called at the end of the call; nil if nobody waits for it
}

// errQueueFull means that too many records wait for a router.
var errQueueFull = errors.New("gossip: too many records wait")

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

// TellStreams tells other routers of records of a stream that is about to deliver its first event. In a
// small fleet it waits for those to which this router has promised so, and returns false if ctx ends
// before. In a large one it tells the home routers of the stream without waiting for them.
func (m *Mesh) TellStreams(ctx context.Context, home uint64, streams []gateway.Stream) bool {
	m.mu.Lock()
	flat := m.topology.flat
	var homes []string
	if !flat {
		homes = m.homesOf(home, streamHomes)
	}
	m.mu.Unlock()
	if flat {
		return m.tellHolders(ctx, streams)
	}
	for _, address := range homes {
		m.tell(address, untoldStreams{records: streams})
	}
	return true
}

// tell makes records part of the next call to a router.
func (m *Mesh) tell(address string, untold untoldStreams) {
	m.untold.mu.Lock()
	defer m.untold.mu.Unlock()
	if q := m.untold.queues[address]; q != nil {
		if len(q.waiting) < maxUntoldStreams {
			q.waiting = append(q.waiting, untold)
		} else if untold.told != nil {
			untold.told(errQueueFull)
		}
		return
	}
	if m.untold.queues == nil {
		m.untold.queues = make(map[string]*untoldQueue)
	}
	q := &untoldQueue{waiting: []untoldStreams{untold}}
	m.untold.queues[address] = q
	go m.callUntold(address, q)
}

// callUntold calls a router until no record waits for it. Records of a home whose call fails are told by
// the next reports only.
func (m *Mesh) callUntold(address string, q *untoldQueue) {
	for {
		m.untold.mu.Lock()
		n := min(len(q.waiting), maxStreamsPerTell)
		batch := q.waiting[:n:n]
		q.waiting = q.waiting[n:]
		if n == 0 {
			delete(m.untold.queues, address)
		}
		m.untold.mu.Unlock()
		if n == 0 {
			return
		}
		err := m.tellBatch(address, batch)
		for _, untold := range batch {
			if untold.told != nil {
				untold.told(err)
			}
		}
	}
}

func (m *Mesh) tellBatch(address string, batch []untoldStreams) (err error) {
	err = errPanicked
	defer m.recoverPanic("streams", address)
	client, err := m.clients.Client(address)
	if err != nil {
		return err // the mesh is closed
	}
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	var records []gateway.Stream
	for _, untold := range batch {
		records = append(records, untold.records...)
	}
	args := &BegunArgs{Address: m.opts.Address, Domain: m.opts.FailureDomain, Streams: encodeStreams(records)}
	err = client.Call(ctx, service+".Begun", args, &BegunReply{}) // a router of an earlier version does not know the method
	m.noteFailure(address, err)
	return err
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
	n := min(len(args.Streams.Attempts), maxRecordsPerTell)
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
