package settings

import "dandelionrill.example/fleet/logging"

// Gateway holds the settings of a router on the users' platform that its own
// settings file does not give.
type Gateway struct {
	Action      Action
	Config      string // path of the settings file that the platform writes
	LogLevel    string
	MetricsPort int64 // 0 means that no metrics are served
}

// ParseGateway reads the settings of a router on the platform from its
// arguments and the environment. The error is of type Findings. With ActionHelp
// or ActionVersion nothing else is read.
func ParseGateway(args []string, getenv func(string) string) (*Gateway, error) {
	g := &Gateway{}
	s := g.set()
	g.Action = s.load(args, getenv)
	if g.Action == ActionHelp || g.Action == ActionVersion {
		return g, nil
	}
	if g.Config == "" {
		s.report("config", "the path of a file")
	}
	return g, s.err()
}

// GatewayHelp returns the help text of the router on the platform.
func GatewayHelp() string { return (&Gateway{}).set().help() }

func (g *Gateway) set() *set {
	s := &set{name: "dandelionrill gateway", summary: "Routes callers' requests straight to the upstreams that the platform lists."}
	s.group = "Process"
	s.text(&g.Config, "config", "", "settings file (TOML) that the platform writes for this process")
	s.choice(&g.LogLevel, "log-level", "info", "lowest level of log lines", logging.Levels)
	s.number(&g.MetricsPort, "metrics-port", 0, 0, 65535, "port", "port of the metrics on the address for other routers; 0 means none")
	return s
}
