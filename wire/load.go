package wire

import "dandelionrill.example/fleet/decide/mean"

// LoadArgs reports an agent's load to the router that collects the reports of
// its service and failure domain. It carries no Meta: it is sent every few
// seconds and counted in bytes.
type LoadArgs struct {
	Host          string
	Service       string
	FailureDomain string
	Load          float64 // requests in progress and waiting
	Leaving       bool    // the host is to be forgotten
	Echo          mean.Echo
}

// LoadReply carries the mean of the service.
type LoadReply struct {
	Mean  mean.Mean
	Dated bool // the report counted; if not, it is to be repeated with the new echo
	Stamp mean.Echo
}

// SumsArgs carries the partial sum of a collector to a collector of the same
// service in another failure domain.
type SumsArgs struct {
	Service string
	Domain  string // failure domain of the receiving collector
	Partial mean.Partial
	Echo    mean.Echo
}

// SumsReply carries the receiver's partial sum back.
type SumsReply struct {
	Partial mean.Partial
	Stamp   mean.Echo
}
