package settings

import (
	"net"
	"strconv"
	"time"

	"dandelionrill.example/fleet/wire"
)

// Router holds the settings of a router.
type Router struct {
	Common
	Listen            string        // address of the HTTP listener for callers
	RPCListen         string        // address of the listener for other routers
	MaxBodyBytes      int64         // largest body of a request
	BodyMemoryBytes   int64         // memory for the bodies of all requests in progress
	MaxHeaderBytes    int64         // largest header of a request
	MaxRequests       int64         // concurrent requests
	CallerConnections int64         // connections of callers
	ReadHeaderTimeout time.Duration // longest time for the header of a request
	ReadTimeout       time.Duration // longest time for the body of a request
	IdleTimeout       time.Duration // longest time between requests on a caller's connection
	EventTimeout      time.Duration // longest time between two events of a stream
	WriteTimeout      time.Duration // longest time for one write to a caller that does not read
	RequestTimeout    time.Duration // deadline of a request whose caller gives none
	MaxRequestTimeout time.Duration // longest deadline that a caller may give
	MaxAnswerBytes    int64         // largest answer that is sent complete, not as a stream
	DrainDelay        time.Duration // time from the start of a drain until the listener for callers closes
}

// ParseRouter reads the settings of a router from its arguments and the
// environment. The error is of type Findings. For ActionHelp and ActionVersion,
// no other field is set.
func ParseRouter(args []string, getenv func(string) string) (*Router, error) {
	r := &Router{}
	s := r.settingSet()
	r.Action = s.load(args, getenv)
	if r.Action == ActionHelp || r.Action == ActionVersion {
		return r, nil
	}
	r.check(s, "rpc-listen", r.RPCListen)
	if r.Advertise == "" {
		r.Advertise = r.RPCListen
	}
	s.requireDistinct("listen", r.Listen, "admin-listen", r.AdminListen)
	s.requireDistinct("listen", r.Listen, "rpc-listen", r.RPCListen)
	s.requireDistinct("admin-listen", r.AdminListen, "rpc-listen", r.RPCListen)
	if r.MaxRequestTimeout < r.RequestTimeout {
		s.addFinding("max-request-timeout", "at least --request-timeout, which is "+r.RequestTimeout.String())
	}
	if r.BodyMemoryBytes < 2*r.MaxBodyBytes {
		s.addFinding("body-memory-bytes", "at least twice --max-body-bytes, which is "+strconv.FormatInt(r.MaxBodyBytes, 10))
	}
	return r, s.err()
}

// RouterHelp returns the help text of the router.
func RouterHelp() string { return (&Router{}).settingSet().help() }

func (r *Router) settingSet() *settingSet {
	s := &settingSet{name: "dandelionrill router", summary: "Routes callers' requests to upstreams through their agents."}
	r.identityFlags(s)
	s.group = "Listeners"
	s.address(&r.Listen, "listen", "127.0.0.1:8080", "HTTP listener for callers", false)
	s.address(&r.AdminListen, "admin-listen", "127.0.0.1:8081", "HTTP listener for operators", false)
	s.address(&r.RPCListen, "rpc-listen", "127.0.0.1:8082", "listener for the other routers", false)
	s.group = "Limits of callers"
	s.number(&r.MaxBodyBytes, "max-body-bytes", wire.MaxRequestBytes, 1, wire.MaxRequestBytes, "bytes", "largest body of a request")
	s.number(&r.BodyMemoryBytes, "body-memory-bytes", 1<<30, 1<<10, 1<<40, "bytes", "memory for the bodies of all requests in progress, as received")
	s.number(&r.MaxHeaderBytes, "max-header-bytes", 64<<10, 1<<10, 1<<20, "bytes", "largest header of a request")
	s.number(&r.MaxRequests, "max-requests", 20000, 1, 1<<20, "requests", "most requests in progress at a time")
	s.number(&r.CallerConnections, "max-connections", 1<<15, 1, 1<<20, "connections", "most connections of callers, and at most three quarters of the process's file descriptors")
	s.duration(&r.ReadHeaderTimeout, "read-header-timeout", 5*time.Second, 10*time.Millisecond, time.Minute, "longest time for the header of a request")
	s.duration(&r.ReadTimeout, "read-timeout", 30*time.Second, 10*time.Millisecond, time.Hour, "longest time for the body of a request")
	s.duration(&r.IdleTimeout, "idle-timeout", 2*time.Minute, time.Second, time.Hour, "longest time between requests on a caller's connection")
	s.duration(&r.EventTimeout, "event-timeout", 30*time.Second, 100*time.Millisecond, time.Hour, "longest time between two events of a stream, from its first bytes on")
	s.duration(&r.WriteTimeout, "write-timeout", 30*time.Second, 10*time.Millisecond, time.Hour, "longest time for one write to a caller")
	s.duration(&r.RequestTimeout, "request-timeout", time.Minute, time.Second, 24*time.Hour, "deadline of a request whose caller gives none")
	s.duration(&r.MaxRequestTimeout, "max-request-timeout", 10*time.Minute, time.Second, 24*time.Hour, "longest deadline that a caller may give")
	s.number(&r.MaxAnswerBytes, "max-answer-bytes", 16<<20, 1<<10, 1<<40, "bytes", "largest answer that is given whole, and largest event of a stream")
	s.duration(&r.DrainDelay, "drain-delay", 3*time.Second, 0, time.Hour, "how long a draining router still accepts connections, for the balancer to see that it is not ready")
	r.processFlags(s)
	return s
}

// requireDistinct reports a finding if two listeners have the same address, unless
// the port is 0, for which the system chooses a free port.
func (s *settingSet) requireDistinct(flagA, a, flagB, b string) {
	_, port, err := net.SplitHostPort(a)
	if err == nil && a == b && port != "0" {
		s.addFinding(flagB, "an address other than that of --"+flagA)
	}
}

func isWildcard(address string) bool {
	host, _, _ := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	return ip != nil && ip.IsUnspecified()
}
