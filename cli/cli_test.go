package cli

import (
	"bytes"
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"testing"

	"dandelionrill.example/fleet/admin"
	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/health"
	"dandelionrill.example/fleet/timeline"

	"github.com/shoenig/test/must"
)

const token = "operator-token-1"

// singleVersionStore is an admin.ConfigurationStore that keeps only the current
// version.
type singleVersionStore struct{ current *config.Config }

func (v *singleVersionStore) Current(context.Context) (*config.Config, error) { return v.current, nil }

func (v *singleVersionStore) Publish(_ context.Context, cfg *config.Config, base uint64) (uint64, error) {
	if base != v.current.Version {
		return 0, &admin.ConflictError{Base: base, Newest: v.current.Version}
	}
	v.current = cfg
	cfg.Version = base + 1
	return cfg.Version, nil
}

// startAdmin serves the admin API of a process without requests in progress, so
// that a drain completes at once.
func startAdmin(t *testing.T, name string, clock *timeline.Clock) (string, *timeline.Timeline) {
	events := timeline.New(timeline.Options{Process: name, Incarnation: "i", Clock: clock})
	status := admin.Status{Process: name, Members: []admin.Member{{Host: "agent-1", State: "held"}}}
	server := httptest.NewServer(admin.New(admin.Options{
		Token: token, Health: health.New(), Timeline: events,
		Status:        func() admin.Status { return status },
		Drain:         func() { status.Drain.Draining = true },
		Configuration: &singleVersionStore{current: &config.Config{Version: 3, Author: "a"}},
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), events
}

// run executes a command line and returns its exit code, standard output and
// standard error.
func run(args []string, stdin string) (code int, out, failures string) {
	var stdout, stderr bytes.Buffer
	code = Main(context.Background(), args, Environment{
		Stdin: strings.NewReader(stdin), Stdout: &stdout, Stderr: &stderr, Getenv: func(name string) string {
			return map[string]string{"DANDELIONRILL_ADMIN_TOKEN": token}[name]
		},
	})
	return code, stdout.String(), stderr.String()
}

func TestOperatorCommands(t *testing.T) {
	address, _ := startAdmin(t, "r1/router", nil)
	for _, tc := range []struct {
		args  string
		stdin string
		code  int
		out   string
		err   string
	}{
		{"", "", 2, "", "Usage: dandelionrill"},
		{"help", "", 0, "config", ""},
		{"version", "", 0, "go1", ""},
		{"frobnicate", "", 2, "", `unknown command "frobnicate"`},
		{"status --help", "", 0, "DANDELIONRILL_ADMIN_TOKEN", ""},
		{"status --admin nowhere", "", 2, "", "settings: 1 finding(s)"},
		{"status --check", "", 0, "settings: ok", ""},
		{"status --admin " + address, "", 0, "held", ""},
		{"status --format json --admin " + address, "", 0, `"process": "r1/router"`, ""},
		{"status --admin-token 0123456789abcdefg --admin " + address, "", 1, "", "401 Unauthorized: the admin token"},
		{"drain --wait 5s --admin " + address, "", 0, "draining, 0 requests", ""},
		{"config get --admin " + address, "", 0, `"version": 3`, ""},
		{"config put --admin " + address, `{"version":3,"author":"b"}`, 0, `"version": 4`, ""},
		{"config put --admin " + address, `{"version":3,"author":"c"}`, 1, "", "made on version 3, but version 4"},
		{"config put --base 4 --admin " + address, `{"author":"c"}`, 0, `"version": 5`, ""},
		{"config put --file /nonexistent/file --admin " + address, "", 1, "", "read configuration"},
		{"router --listen x", "", 2, "", "--listen (DANDELIONRILL_LISTEN)"},
		{"router --help", "", 0, "--max-body-bytes <bytes>", ""},
	} {
		code, out, failures := run(strings.Fields(tc.args), tc.stdin)
		must.Eq(t, tc.code, code, must.Sprint(tc.args, failures))
		must.StrContains(t, out, tc.out, must.Sprint(tc.args))
		must.StrContains(t, failures, tc.err, must.Sprint(tc.args))
	}
}

func TestTimelineMergesProcessesAndReportsUnreachable(t *testing.T) {
	routerAddress, router := startAdmin(t, "r1/router", nil)
	agentAddress, agent := startAdmin(t, "a1/agent", nil)
	for range 3 {
		router.Record(timeline.Event{Kind: timeline.KindTicketIssued, Request: "q", Customer: "rice"})
		agent.Clock().Observe(router.Clock().Now())
		agent.Record(timeline.Event{Kind: timeline.KindTicketRun, Request: "q", Customer: "rice"})
		router.Clock().Observe(agent.Clock().Now())
	}
	agent.Record(timeline.Event{Kind: timeline.KindTicketRun, Request: "other", Customer: "rubber"})
	code, out, _ := run([]string{"timeline", "--customer", "rice", "--sources", agentAddress + "," + routerAddress}, "")
	must.Eq(t, 0, code)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	must.Len(t, 6, lines)
	for i, line := range lines {
		must.StrContains(t, line, []string{"r1/router", "a1/agent"}[i%2])
	}
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, closedListener.Close())
	code, out, failures := run([]string{"timeline", "--limit=1", "--format=json", "--sources", routerAddress + "," + closedListener.Addr().String() + "," + agentAddress}, "")
	must.Eq(t, 1, code)
	must.StrContains(t, out, `"request":"other"`)
	must.StrContains(t, failures, closedListener.Addr().String())
	must.StrContains(t, failures, "1 of 3 processes did not answer")
}
