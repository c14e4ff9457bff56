package capacity

import (
	"maps"
	"slices"
)

func sortedNames(slopes map[string]Slope) []string {
	return slices.Sorted(maps.Keys(slopes))
}

// Names of the slopes that other commands measure.
const (
	slopeRelayCPU       = "relay-cpu"        // seconds of a core per second, by tokens a second through one router
	slopeStreamMemory   = "stream-memory"    // bytes of a router, by open streams
	slopeRouterIdle     = "router-idle"      // bytes
	slopeAgentIdle      = "agent-idle"       // bytes
	slopeMeanAgent      = "mean-agent-bytes" // bytes a second of an agent's reports, by agents
	slopeMeanRouter     = "mean-router-bytes"
	slopeMeanCPU        = "mean-cpu" // seconds of a core per report taken
	slopeSpreadBytes    = "spread-bytes"
	slopeSpreadReads    = "spread-platform-reads"
	slopeSpreadIdle     = "spread-platform-idle"
	slopeSpreadSeconds  = "spread-seconds"
	slopeLinkCall       = "link-call"
	slopePoolRebuild    = "pools-rebuild"
	poolRebuildsSecond  = 0.5
	membershipPollBytes = "host-list-bytes"
)

// rows returns the figures of the page.
func rows() []Row {
	return slices.Concat(routerRows(), agentRows(), platformRows())
}

func routerRows() []Row {
	return []Row{
		{"router", "processor time relaying tokens", "cores", "one Read per answer and interval, bytes passed on by event", 0, []Term{{slopeRelayCPU, TokensPerRouter, 0}}},
		{"router", "memory of open streams", "bytes", "bounded buffers; delivered text kept only to continue a cut answer", 0, []Term{{slopeStreamMemory, StreamsPerRouter, 0}}},
		{"router", "control memory: board, configuration, time line", "bytes", "sharded board; one configuration; bounded rings", MemoryBytes, []Term{
			{"board", Processes, 0}, {"config-held", Customers, 0}, {"timeline", TimelineEventsKept, 0},
		}},
		{"router", "control processor time: pools, configuration, means", "cores", "snapshot at most each 2 s or at a change; one swap per version", CoreShare, []Term{
			{slopePoolRebuild, Upstreams, poolRebuildsSecond},
			{"config-adopt", Customers, ChangesPerSecond},
			{slopeMeanCPU, 1, ReplicasPerDomain},
		}},
		{"router", "control bytes: configuration", "bytes/s", "deltas between versions, pushed from peer to peer", BytesPerSecond, []Term{{slopeSpreadBytes, Processes, ChangesPerSecond}}},
		{"router", "control bytes: means as collector", "bytes/s", "one collector per service and failure domain", BytesPerSecond, []Term{{slopeMeanRouter, ReplicasPerDomain, 0}}},
	}
}

func agentRows() []Row {
	return []Row{
		{"agent", "memory idle", "bytes", "one process beside each upstream", MemoryBytes, []Term{{slopeAgentIdle, 1, 0}}},
		{"agent", "memory of remembered tickets, if every request were non-idempotent", "bytes", "ledger by windows; nothing is stored elsewhere", MemoryBytes, []Term{{"ledger", TicketsPerAgent, 0}}},
		{"agent", "control processor time: configuration", "cores", "delta decoded, checked whole, swapped", CoreShare, []Term{{"config-adopt", Customers, ChangesPerSecond}}},
		{"agent", "control bytes: configuration", "bytes/s", "deltas between versions, pushed from peer to peer", BytesPerSecond, []Term{{slopeSpreadBytes, Processes, ChangesPerSecond}}},
		{"agent", "control bytes: load reports and means", "bytes/s", "reports to one collector; its reply carries the mean", BytesPerSecond, []Term{{slopeMeanAgent, 1, 0}}},
	}
}

func platformRows() []Row {
	return []Row{
		{"platform", "reads of configuration changes and watches", "calls/s", "a hashed subset watches; the rest learn from peers", PlatformReadsPerSecond, []Term{
			{slopeSpreadReads, Processes, ChangesPerSecond}, {slopeSpreadIdle, Processes, 0},
		}},
		{"fleet", "seconds from acceptance to in force everywhere", "s", "watch by a subset, then push from peer to peer", 12, []Term{{slopeSpreadSeconds, Processes, 0}}},
	}
}
