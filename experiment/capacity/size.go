package capacity

// Design size of the fleet.
const (
	Routers             = 370
	Upstreams           = 3700
	Processes           = Routers + Upstreams
	FailureDomains      = 12
	Customers           = 550
	Models              = 11
	ChangesPerDay       = 5900
	RequestsPerSecond   = 11_000
	TokensPerSecond     = 2_300_000
	ReturningChats      = 3_400_000
	HostsFailedPerDay   = 23
	HostsReplacedPerDay = 490
	SecondsPerDay       = 86_400
)

// Limits of the control work of one node and of the calls to the platform.
const (
	MaxCoreShare               = 0.02     // of one core
	MaxMemoryBytes             = 64 << 20 // of one node
	MaxBytesPerSecond          = 5000     // sent and received by one node
	MaxPlatformReadsPerSecond  = 2000
	MaxPlatformWritesPerSecond = 300
)

// Share of a single node at the design size.
const (
	TokensPerRouter      = float64(TokensPerSecond) / Routers
	RequestsPerRouter    = float64(RequestsPerSecond) / Routers
	RequestsPerAgent     = float64(RequestsPerSecond) / Upstreams
	TokenIntervalSeconds = 0.031 // p95 of the seconds between two tokens
	StreamsPerRouter     = TokensPerRouter * TokenIntervalSeconds
	ChangesPerSecond     = float64(ChangesPerDay) / SecondsPerDay
	ReplicasPerModel     = Upstreams / Models
	ReplicasPerDomain    = float64(ReplicasPerModel) / FailureDomains
	TicketMemorySeconds  = 3600 // how long an agent remembers tickets, in seconds
	TicketsPerAgent      = RequestsPerAgent * TicketMemorySeconds
	TimelineEventsKept   = 4096
)
