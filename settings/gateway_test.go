package settings

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestParseGateway(t *testing.T) {
	variables := map[string]string{"DANDELIONRILL_CONFIG": "/etc/x.toml", "DANDELIONRILL_LOG_LEVEL": "warn"}
	getenv := func(name string) string { return variables[name] }
	g, err := ParseGateway([]string{"--metrics-port", "9464"}, getenv)
	must.NoError(t, err)
	must.Eq(t, &Gateway{Config: "/etc/x.toml", LogLevel: "warn", MetricsPort: 9464}, g)
	g, err = ParseGateway([]string{"--config=/other.toml", "--check"}, getenv)
	must.NoError(t, err)
	must.Eq(t, ActionCheck, g.Action)
	must.Eq(t, "/other.toml", g.Config)
	emptyEnv := func(string) string { return "" }
	for _, args := range [][]string{nil, {"--config=x", "--metrics-port=70000"}, {"--config=x", "--log-level=loud"}, {"--config=x", "--unknown"}} {
		_, err := ParseGateway(args, emptyEnv)
		must.Error(t, err, must.Sprintf("%v", args))
	}
	must.StrContains(t, GatewayHelp(), "DANDELIONRILL_CONFIG")
}
