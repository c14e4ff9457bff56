package settings

import "dandelionrill.example/fleet/logging"

// Gateway holds the settings of a router on the users' platform that are not in
// the settings file written by the platform.
type Gateway struct {
	Action      Action
	Config      string // path of the settings file that the platform writes
	LogLevel    string
	MetricsPort int64 // 0 means that no metrics are served
}

// ParseGateway reads the settings of a router on the platform from its
// arguments and the environment. The error is of type Findings. For ActionHelp and
// ActionVersion, no other field is set.
func ParseGateway(args []string, getenv func(string) string) (*Gateway, error) {
	g := &Gateway{}
	s := g.settingSet()
	g.Action = s.load(args, getenv)
	if g.Action == ActionHelp || g.Action == ActionVersion {
		return g, nil
	}
	if g.Config == "" {
		s.addFinding("config", "the path of a file")
	}
	return g, s.err()
}

// GatewayHelp returns the help text of the router on the platform.
func GatewayHelp() string { return (&Gateway{}).settingSet().help() }

func (g *Gateway) settingSet() *settingSet {
	s := &settingSet{name: "dandelionrill gateway", summary: "Routes callers' requests straight to the upstreams that the platform lists."}
	s.group = "Process"
	s.text(&g.Config, "config", "", "settings file (TOML) that the platform writes for this process")
	s.choice(&g.LogLevel, "log-level", "info", "lowest level of log lines", logging.Levels)
	s.number(&g.MetricsPort, "metrics-port", 0, 0, 65535, "port", "port of the metrics on the address for other routers; 0 means none")
	return s
}
