package capacity

// The size that the fleet is designed for.
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

// Limits of the control work of one node, and of the platform.
const (
	CoreShare              = 0.02     // of one core
	MemoryBytes            = 64 << 20 // of one node
	BytesPerSecond         = 5000     // sent and received by one node
	PlatformReadsPerSecond = 2000
	PlatformWritesPerSec   = 300
)

// Shares of one node at the design size.
const (
	TokensPerRouter    = float64(TokensPerSecond) / Routers
	RequestsPerRouter  = float64(RequestsPerSecond) / Routers
	RequestsPerAgent   = float64(RequestsPerSecond) / Upstreams
	TokenInterval      = 0.031 // seconds between tokens at p95
	StreamsPerRouter   = TokensPerRouter * TokenInterval
	ChangesPerSecond   = float64(ChangesPerDay) / SecondsPerDay
	ReplicasPerModel   = Upstreams / Models
	ReplicasPerDomain  = float64(ReplicasPerModel) / FailureDomains
	TicketWindowsHeld  = 3600 // seconds of tickets that an agent remembers
	TicketsPerAgent    = RequestsPerAgent * TicketWindowsHeld
	TimelineEventsKept = 4096
)
