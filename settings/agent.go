package settings

import (
	"time"
)

// Agent holds the settings of an agent.
type Agent struct {
	Common
	Listen          string        // address of the listener for routers
	Upstream        string        // base URL of the upstream
	Service         string        // name of the service that the upstream is a replica of
	MaxRunning      int64         // concurrent requests on the upstream, whatever the mean load
	MaxQueued       int64         // waiting requests of one customer, unless the configuration says otherwise
	MaxQueueWait    time.Duration // longest wait of a request for the load bound
	UpstreamTimeout time.Duration // longest call of the upstream, unless the configuration says otherwise
	KeptAnswerBytes int64         // memory for answers that are kept until they are read
	MaxAnswerBytes  int64         // largest answer of the upstream
	KeptAnswerTime  time.Duration // how long idempotent work goes on and its answer is kept without a reader
	WindowDuration  time.Duration // how long a ticket window stays open
	WindowsKept     int64         // windows whose tickets are remembered
	MaxTickets      int64         // tickets remembered
	DrainQuiet      time.Duration // time without submissions before a graceful shutdown ends
}

// ParseAgent reads the settings of an agent from its arguments and the
// environment. The error is of type Findings. For ActionHelp and ActionVersion,
// no other field is set.
func ParseAgent(args []string, getenv func(string) string) (*Agent, error) {
	a := &Agent{}
	s := a.settingSet()
	a.Action = s.load(args, getenv)
	if a.Action == ActionHelp || a.Action == ActionVersion {
		return a, nil
	}
	a.check(s, "listen", a.Listen)
	if a.Advertise == "" {
		a.Advertise = a.Listen
	}
	s.requireDistinct("listen", a.Listen, "admin-listen", a.AdminListen)
	if a.MaxAnswerBytes > a.KeptAnswerBytes {
		s.addFinding("max-answer-bytes", "at most --kept-answer-bytes")
	}
	return a, s.err()
}

// AgentHelp returns the help text of the agent.
func AgentHelp() string { return (&Agent{}).settingSet().help() }

func (a *Agent) settingSet() *settingSet {
	s := &settingSet{name: "dandelionrill-agent", summary: "Guards one upstream: admits its work, runs tickets at most once and keeps answers until they are read."}
	a.identityFlags(s)
	s.identifier(&a.Service, "service", "", "service that the upstream is a replica of")
	s.baseURL(&a.Upstream, "upstream", "the model engine or plain service beside this agent")
	s.group = "Listeners"
	s.address(&a.Listen, "listen", "127.0.0.1:8090", "listener for the routers", false)
	s.address(&a.AdminListen, "admin-listen", "127.0.0.1:8091", "HTTP listener for operators", false)
	s.group = "Requests and answers"
	s.number(&a.MaxRunning, "max-running", 256, 1, 1<<20, "requests", "most requests on the upstream at a time, whatever the mean load")
	s.duration(&a.MaxQueueWait, "max-queue-wait", 2*time.Second, time.Millisecond, time.Hour, "longest wait of a request for the load bound")
	s.number(&a.MaxQueued, "max-queued", 32, 1, 1<<20, "requests", "most waiting requests of one customer, unless the configuration says otherwise")
	s.duration(&a.UpstreamTimeout, "upstream-timeout", time.Minute, time.Second, 24*time.Hour, "longest call of the upstream, unless the configuration says otherwise")
	s.number(&a.KeptAnswerBytes, "kept-answer-bytes", 32<<20, 1<<20, 1<<40, "bytes", "memory for answers that are kept until they are read")
	s.number(&a.MaxAnswerBytes, "max-answer-bytes", 16<<20, 1<<10, 1<<40, "bytes", "largest answer of the upstream; a longer one is cut")
	s.duration(&a.KeptAnswerTime, "kept-answer-time", 30*time.Second, time.Second, 24*time.Hour, "how long idempotent work goes on and its answer is kept while nobody reads it")
	s.group = "Tickets"
	s.duration(&a.WindowDuration, "window-duration", 10*time.Minute, time.Second, 24*time.Hour, "how long a ticket window stays open")
	s.number(&a.WindowsKept, "windows-kept", 6, 1, 1000, "windows", "windows whose tickets are remembered, the open one included")
	s.number(&a.MaxTickets, "max-tickets", 100_000, 1, 1<<30, "tickets", "most tickets remembered")
	s.group = "Planned stop"
	s.duration(&a.DrainQuiet, "drain-quiet", 3*time.Second, time.Millisecond, time.Minute, "how long no router has submitted anything before a planned stop ends; longer than routers need to learn of it")
	a.processFlags(s)
	return s
}
