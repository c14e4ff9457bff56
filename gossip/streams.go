package gossip

import "dandelionrill.example/fleet/gateway"

// maxStreamsPerReply limits the records in each part of a reply, for hosts with links of low
// bandwidth.
const maxStreamsPerReply = 512

// allOrigins selects records wherever they are from.
const allOrigins = gateway.OriginOwn | gateway.OriginDomain | gateway.OriginForeign

// StreamRecords are records of the versions that began streams, as parallel slices.
type StreamRecords struct {
	Attempts []uint64
	Versions []uint32
}

func encodeStreams(streams []gateway.Stream) StreamRecords {
	var out StreamRecords
	for _, s := range streams {
		out.Attempts = append(out.Attempts, s.Attempt)
		out.Versions = append(out.Versions, s.Version)
	}
	return out
}

func (m *Mesh) recordStreams(r StreamRecords, origin gateway.Origin) {
	for i, attempt := range r.Attempts[:min(len(r.Attempts), len(r.Versions))] {
		m.opts.Streams.Record(gateway.Stream{Attempt: attempt, Version: r.Versions[i]}, origin)
	}
}

// addStreams adds the records that the sender of args asks for to the reply. A router
// that has just started gets those of all origins, and one that lacks some of the past if this router
// has them all.
func (m *Mesh) addStreams(args, reply *Report) {
	after, limit := args.StreamsAfter, maxStreamsPerReply
	if args.StreamsOf != 0 && args.StreamsOf != m.cover.incarnation {
		after = 0 // a number of the process that ran here before
	}
	if reply.Promises {
		limit = maxPromisedStreams
	}
	if reply.Complete {
		after = 0
	}
	made := gateway.OriginOwn
	if args.OfDomain {
		made |= gateway.OriginDomain
	}
	if after == 0 {
		made = allOrigins
	}
	streams, next, whole := m.opts.Streams.StreamsSince(after, made, limit)
	reply.Streams, reply.StreamsNext, reply.StreamsWhole = encodeStreams(streams), next, whole
	if made != allOrigins && !args.OfDomain && m.relaysTo(args.Address) {
		relayed, _, _ := m.opts.Streams.StreamsSince(after, gateway.OriginForeign, maxStreamsPerReply)
		reply.StreamsRelayed = encodeStreams(relayed)
	}
}
