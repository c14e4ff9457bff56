package gossip

import (
	"context"
	"slices"
	"sync"
	"time"

	"dandelionrill.example/fleet/gateway"
)

const (
	// lookupTimeout limits the calls of a lookup; the request that needs it waits.
	lookupTimeout = 250 * time.Millisecond
	// maxWaitingLookups is the number of lookups that wait for the call in progress to a peer.
	maxWaitingLookups = 1024
	// maxLookupPeers is the number of peers that a lookup of a record alone calls. A lookup
	// with a prompt part calls all partners, since each has read other cache lists.
	maxLookupPeers = 16
	// maxStreamsPerCall is the number of streams that one call may ask for.
	maxStreamsPerCall = 64
	// maxServicesPerCall is the number of services whose cache lists one call may ask for.
	maxServicesPerCall = 64
)

// StreamsArgs are the arguments of a call for the versions that began streams.
type StreamsArgs struct {
	Attempts []uint64
	// Fingerprints are those of the requests. Records of them are in the reply's Attempts too.
	Fingerprints []uint64
	Parts        []uint64 // keys of the last parts of their prompts, in no order
	Services     []string // that may list these parts
}

// StreamsReply is the reply to a call for the versions that began streams. Attempts and
// Versions are parallel.
type StreamsReply struct {
	Attempts []uint64
	Versions []uint32
	Holders  PartHolders
	// Read are the short hashes of the keys of the upstreams whose cache lists were read
	// during the call or a short time before it.
	Read []uint32
	// Left are the upstreams of the services that are not listed any more, and KnowsPast is true
	// if these include those of before the start of the router.
	Left      []gateway.PastUpstream
	KnowsPast bool
	Sessions  bool // callers of one of the services have sessions
	// Memory states what the router knew of streams before it looked for the records.
	Memory StreamMemory
}

// PartHolders state which versions list which prompt parts, as parallel slices.
type PartHolders struct {
	Parts    []uint64
	Versions []uint32
}

// lookupQueues hold the lookups at each peer. A peer is called once at a time for records, and once
// for cache lists, for all lookups that wait by then: after a restart of all routers many streams are
// taken up at once.
type lookupQueues struct {
	mu     sync.Mutex
	queues map[lookupQueueKey]*lookupQueue
}

// lookupQueueKey identifies a queue. Records must not wait for lists that are being read.
type lookupQueueKey struct {
	address string
	lists   bool
}

type lookupQueue struct {
	calling bool
	waiting []waitingLookup
}

type waitingLookup struct {
	ctx     context.Context
	query   gateway.StreamQuery
	replies chan<- *StreamsReply // gets nil if the call fails; has room
}

// LookUpStream asks the responsive peers with which this router exchanges reports, and the home
// routers of the stream, for the version that began it. It returns with the first that has a
// record, or one of an equal request and lacks none, and otherwise when all have answered or ctx ends, with what they know of the upstreams
// that list its prompt.
func (m *Mesh) LookUpStream(ctx context.Context, query gateway.StreamQuery) (answer gateway.StreamAnswer) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	addresses := m.lookupPeers(query.Part != 0)
	homes := m.otherHomes(&query, addresses)
	answer.Asked = len(addresses) + len(homes)
	replies := make(chan *StreamsReply, answer.Asked)
	for _, address := range addresses {
		m.enqueueLookup(address, waitingLookup{ctx: ctx, query: query, replies: replies})
	}
	records := query
	records.Part, records.Services = 0, nil // the lists that homes read are known from the partners
	for _, address := range homes {
		m.enqueueLookup(address, waitingLookup{ctx: ctx, query: records, replies: replies})
	}
	for range answer.Asked {
		select {
		case r := <-replies:
			if r != nil && (r.addTo(&answer, &query) || answer.Complete) {
				return answer
			}
		case <-ctx.Done():
			return answer
		}
	}
	return answer
}

// addTo adds a reply to an answer, and reports whether it has a record of the attempt.
func (r *StreamsReply) addTo(answer *gateway.StreamAnswer, query *gateway.StreamQuery) bool {
	answer.Answered++
	version := func(key uint64) (version uint32, known bool) {
		i := slices.Index(r.Attempts, key)
		if key == 0 || i < 0 || i >= len(r.Versions) {
			return 0, false
		}
		return r.Versions[i], true
	}
	if answer.Version, answer.Known = version(query.Attempt); answer.Known {
		return true
	}
	answer.Older = answer.Older || r.Memory <= MemoryPartial
	if v, known := version(query.Fingerprint); known {
		answer.Equal = append(answer.Equal, v)
		answer.Complete = answer.Complete || r.Memory == MemoryComplete
	}
	answer.Holders.Add(gateway.CacheAnswer{
		Parts: r.Holders.Parts, Versions: r.Holders.Versions, Read: r.Read, Left: r.Left, KnowsPast: r.KnowsPast, Sessions: r.Sessions,
	})
	return false
}

// lookupPeers returns the addresses of the peers that a lookup calls.
func (m *Mesh) lookupPeers(all bool) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addresses []string
	for address, p := range m.peers { // in random order
		if p.partner && !p.unresponsive && (all || len(addresses) < maxLookupPeers) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// enqueueLookup makes a lookup part of the next call to a peer.
func (m *Mesh) enqueueLookup(address string, l waitingLookup) {
	m.lookups.mu.Lock()
	defer m.lookups.mu.Unlock()
	key := lookupQueueKey{address: address, lists: l.query.Part != 0}
	q := m.lookups.queues[key]
	if q == nil {
		q = &lookupQueue{}
		m.lookups.queues[key] = q
	}
	if len(q.waiting) >= maxWaitingLookups {
		l.replies <- nil
		return
	}
	q.waiting = append(q.waiting, l)
	if !q.calling {
		q.calling = true
		go m.callForLookups(key, q)
	}
}

// callForLookups calls a peer for the lookups of its queue until none waits.
func (m *Mesh) callForLookups(key lookupQueueKey, q *lookupQueue) {
	for {
		batch := m.nextBatch(key, q)
		if len(batch) == 0 {
			return
		}
		reply := m.askForStreams(key.address, batch)
		for _, l := range batch {
			l.replies <- reply
		}
	}
}

// nextBatch removes up to maxStreamsPerCall lookups from a queue. If none waits, it ends the
// queue's calls.
func (m *Mesh) nextBatch(key lookupQueueKey, q *lookupQueue) []waitingLookup {
	m.lookups.mu.Lock()
	defer m.lookups.mu.Unlock()
	q.waiting = slices.DeleteFunc(q.waiting, func(l waitingLookup) bool { return l.ctx.Err() != nil })
	n := min(len(q.waiting), maxStreamsPerCall)
	batch := slices.Clone(q.waiting[:n])
	q.waiting = slices.Delete(q.waiting, 0, n)
	if n == 0 {
		q.calling = false
		delete(m.lookups.queues, key)
	}
	return batch
}

// askForStreams returns what a peer knows of the streams of a batch; nil if the call fails, as
// with routers of earlier versions.
func (m *Mesh) askForStreams(address string, batch []waitingLookup) (reply *StreamsReply) {
	defer m.recoverPanic("lookup", address)
	args := &StreamsArgs{}
	for _, l := range batch {
		if l.query.Attempt != 0 {
			args.Attempts = append(args.Attempts, l.query.Attempt)
		}
		if l.query.Fingerprint != 0 {
			args.Fingerprints = append(args.Fingerprints, l.query.Fingerprint)
		}
		if l.query.Part != 0 {
			args.Parts = append(args.Parts, l.query.Part)
		}
		for _, service := range l.query.Services {
			if !slices.Contains(args.Services, service) {
				args.Services = append(args.Services, service)
			}
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	client, err := m.clients.Client(address)
	if err != nil {
		return nil
	}
	answer := &StreamsReply{}
	if err := client.Call(ctx, service+".Streams", args, answer); err != nil {
		m.noteFailure(address, err)
		return nil
	}
	return answer
}

// Streams returns what is known of the versions that began streams: the records, and if one
// is missing, which versions list the prompt parts by the cache lists that this router reads.
func (r *receiver) Streams(args *StreamsArgs, reply *StreamsReply) (err error) {
	m := r.mesh
	defer m.recoverCall("Streams", &err)
	reply.Memory = m.StreamMemory()
	attempts := args.Attempts[:min(len(args.Attempts), maxStreamsPerCall)]
	reply.addRecords(m.opts.Streams, attempts)
	allRecorded := len(reply.Attempts) == len(attempts)
	reply.addRecords(m.opts.Streams, args.Fingerprints[:min(len(args.Fingerprints), maxStreamsPerCall)])
	parts := args.Parts[:min(len(args.Parts), maxStreamsPerCall)]
	if len(args.Services) == 0 || len(attempts) > 0 && allRecorded && len(parts) <= len(attempts) {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), gateway.CacheWait)
	defer cancel()
	answer := m.opts.Caches(ctx, args.Services[:min(len(args.Services), maxServicesPerCall)], parts)
	reply.Holders, reply.Read = PartHolders{Parts: answer.Parts, Versions: answer.Versions}, answer.Read
	reply.Left, reply.KnowsPast, reply.Sessions = answer.Left, answer.KnowsPast, answer.Sessions
	return nil
}

// addRecords adds the records of keys to the reply.
func (r *StreamsReply) addRecords(streams *gateway.Streams, keys []uint64) {
	for _, key := range keys {
		if version, known := streams.Version(key); known {
			r.Attempts, r.Versions = append(r.Attempts, key), append(r.Versions, version)
		}
	}
}
