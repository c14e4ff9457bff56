package capacity

import (
	"maps"
	"slices"
)

func sortedNames(slopes map[string]Slope) []string {
	return slices.Sorted(maps.Keys(slopes))
}

// Names of the slopes in others.json, which other commands measure.
const (
	slopeRelayCPU         = "relay-cpu"
	slopeStreamMemory     = "stream-memory"
	slopeAgentMemory      = "agent-memory"
	slopeMeanAgent        = "mean-agent-bytes"
	slopeMeanRouter       = "mean-router-bytes"
	slopeMeanCPU          = "mean-router-cpu"
	slopePropagationIdle  = "spread-idle-bytes"
	slopePropagationBytes = "spread-change-bytes"
	slopePropagationReads = "spread-reads"
	slopeIdleReads        = "spread-idle-reads"
	slopeHops             = "hops"
	slopeHostList         = "host-list-bytes"
	slopeHostReads        = "host-list-reads"
)

const (
	// pickerRebuildsPerSecond is how often a router rebuilds its pickers when nothing
	// changes.
	pickerRebuildsPerSecond = 0.5
	// watchers is the number of routers that watch the platform: two per failure domain.
	watchers = 2 * FailureDomains
	// domainLossFactor is the growth of the load on the remaining failure domains when one
	// is lost.
	domainLossFactor = float64(FailureDomains) / (FailureDomains - 1)
)

// rows returns the figures of the page by role.
func rows() []Row {
	return slices.Concat(routerRows(), agentRows(), sharedRows(), domainLossRows())
}

func routerRows() []Row {
	return []Row{
		{"router", "processor time relaying tokens", "cores", "one read an answer and interval; not control work", 0, []Term{{slopeRelayCPU, TokensPerRouter, 0}}},
		{"router", "memory of open streams", "bytes", "bounded buffers; delivered text is kept only to continue a cut answer", 0, []Term{{slopeStreamMemory, StreamsPerRouter, 0}}},
		{"router", "control memory: board, configuration, time line", "bytes", "sharded board; one configuration; bounded rings", MaxMemoryBytes, []Term{
			{"board", Processes, 0}, {"config-held", Customers, 0}, {"timeline", TimelineEventsKept, 0},
		}},
		{"router", "control processor time: pools, configuration, means", "cores", "a snapshot at most each 2 s or at a change; one swap a version; sums of one collector", MaxCoreShare, []Term{
			{"pools-rebuild", Upstreams, pickerRebuildsPerSecond},
			{"config-adopt", Customers, ChangesPerSecond},
			{slopeMeanCPU, 1, 0},
		}},
		{"router that collects", "control bytes: means, configuration, host list", "bytes/s", "one collector a service and failure domain; deltas from peer to peer; polls of the list stretched to 2 KB/s", MaxBytesPerSecond, []Term{
			{slopeMeanRouter, 1, 0}, {slopePropagationIdle, Processes, 0}, {slopePropagationBytes, Processes, ChangesPerSecond}, {slopeHostList, Processes, 0},
		}},
		{"router that does not collect", "control bytes: configuration, host list", "bytes/s", "deltas from peer to peer", MaxBytesPerSecond, []Term{
			{slopePropagationIdle, Processes, 0}, {slopePropagationBytes, Processes, ChangesPerSecond}, {slopeHostList, Processes, 0},
		}},
	}
}

func agentRows() []Row {
	return []Row{
		{"agent", "memory, resident and idle", "bytes", "one process beside each upstream", MaxMemoryBytes, []Term{{slopeAgentMemory, 1, 0}}},
		{"agent", "memory of remembered tickets, were every request non-idempotent", "bytes", "ledger by windows of one hour together; nothing is stored elsewhere", MaxMemoryBytes, []Term{{"ledger", TicketsPerAgent, 0}}},
		{"agent", "control memory: board, configuration, time line", "bytes", "as the router", MaxMemoryBytes, []Term{
			{"board", Processes, 0}, {"config-held", Customers, 0}, {"timeline", TimelineEventsKept, 0},
		}},
		{"agent", "control processor time: configuration", "cores", "a delta is decoded, checked whole and swapped", MaxCoreShare, []Term{{"config-adopt", Customers, ChangesPerSecond}}},
		{"agent", "control bytes: load reports and means, configuration, host list", "bytes/s", "one collector; its reply carries the mean", MaxBytesPerSecond, []Term{
			{slopeMeanAgent, 1, 0}, {slopePropagationIdle, Processes, 0}, {slopePropagationBytes, Processes, ChangesPerSecond}, {slopeHostList, Processes, 0},
		}},
	}
}

func sharedRows() []Row {
	return []Row{
		{"platform", "reads: configuration and host list", "calls/s", "two watchers a failure domain read a change; the rest learn from peers", MaxPlatformReadsPerSecond, []Term{
			{slopePropagationReads, watchers, ChangesPerSecond}, {slopeIdleReads, Processes, 0}, {slopeHostReads, 1, 0},
		}},
		{"fleet", "offers in a row until the last agent has a version", "offers", "rings and shortcuts between routers, then the agents", 0, []Term{{slopeHops, Routers, 0}, {"one", 1, 0}}},
		{"fleet", "adoption along that path", "s", "each process decodes, checks and swaps before it offers", 12, []Term{{"config-adopt", Customers, hopsAtSize + 1}}},
	}
}

// hopsAtSize is the length of the longest path between routers at the design size.
const hopsAtSize = 7

func domainLossRows() []Row {
	return []Row{
		{"router", "processor time relaying tokens, a failure domain lost", "cores", "the balancer spreads its callers over the others", 0, []Term{{slopeRelayCPU, TokensPerRouter * domainLossFactor, 0}}},
		{"router", "memory of open streams, a failure domain lost", "bytes", "as above", 0, []Term{{slopeStreamMemory, StreamsPerRouter * domainLossFactor, 0}}},
		{"agent", "tickets remembered, a failure domain lost", "bytes", "as above", MaxMemoryBytes, []Term{{"ledger", TicketsPerAgent * domainLossFactor, 0}}},
	}
}
