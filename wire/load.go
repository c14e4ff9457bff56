package wire

import "dandelionrill.example/fleet/decide/mean"

// LoadArgs reports an agent's load to the router that collects the reports of
// its service and failure domain. It carries no Meta, to save bytes in a message
// that is sent every few seconds.
type LoadArgs struct {
	Host          string
	Service       string
	FailureDomain string
	Load          float64 // requests in progress and queued
	Leaving       bool    // the agent is draining; the collector removes the host
	Echo          mean.Echo
}

// LoadReply carries the mean load of the service.
type LoadReply struct {
	Mean  mean.Mean
	Dated bool // the report was counted; if not, the agent must repeat it with the new echo
	Stamp mean.Echo
}

// SumsArgs carries the partial sum of one collector to the collector of the same
// service in another failure domain.
type SumsArgs struct {
	Service string
	Domain  string // failure domain of the receiving collector
	Partial mean.Partial
	Echo    mean.Echo
}

// SumsReply returns the partial sum of the receiving collector.
type SumsReply struct {
	Partial mean.Partial
	Stamp   mean.Echo
}
