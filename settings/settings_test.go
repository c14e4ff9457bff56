package settings

import (
	"cmp"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

const (
	testKey   = "0123456789abcdef0123456789abcdef"
	testToken = "0123456789abcdef"
)

func env(pairs ...string) func(string) string {
	values := map[string]string{
		"DANDELIONRILL_HOST": "r1", "DANDELIONRILL_FAILURE_DOMAIN": "bkk-a",
		"DANDELIONRILL_PLATFORM": "http://127.0.0.1:9000/", "DANDELIONRILL_TICKET_KEY": testKey,
		"DANDELIONRILL_ADMIN_TOKEN": testToken, "DANDELIONRILL_SERVICE": "ledger",
		"DANDELIONRILL_UPSTREAM": "http://127.0.0.1:9001",
	}
	for i := 0; i < len(pairs); i += 2 {
		values[pairs[i]] = pairs[i+1]
	}
	return func(name string) string { return values[name] }
}

func TestFlagOverridesVariableOverridesDefault(t *testing.T) {
	r, err := ParseRouter([]string{"--host", "r2", "--drain-timeout=7s", "--check"},
		env("DANDELIONRILL_DRAIN_TIMEOUT", "9s", "DANDELIONRILL_LISTEN", "127.0.0.1:1"))
	must.NoError(t, err)
	must.Eq(t, ActionCheck, r.Action)
	must.Eq(t, []string{"r2", "127.0.0.1:1", "127.0.0.1:8081", "http://127.0.0.1:9000", "127.0.0.1:8082"},
		[]string{r.Host, r.Listen, r.AdminListen, r.Platform, r.Advertise})
	must.Eq(t, 7*time.Second, r.DrainTimeout)
	a, err := ParseAgent(nil, env())
	must.NoError(t, err)
	must.Eq(t, "127.0.0.1:8090", a.Advertise)
}

func TestAllFindingsReportedTogether(t *testing.T) {
	shortFile := filepath.Join(t.TempDir(), "short")
	must.NoError(t, os.WriteFile(shortFile, []byte("short\n"), 0o600))
	for _, tc := range []struct {
		name string
		args []string
		env  func(string) string
		want []string // substrings, one for each finding
	}{
		{"nothing given", nil, func(string) string { return "" }, []string{
			"--host (DANDELIONRILL_HOST): (empty)", "--failure-domain", "--platform", "--ticket-key-file", "--admin-token-file"}},
		{"arguments", []string{"stray", "--nope=1", "-x", "--host"}, env(), []string{"stray: given: not a flag", "--nope", "--x", "--host: given: needs a value"}},
		{"values", []string{"--listen", "example.test:80", "--max-body-bytes=0", "--drain-timeout=5", "--log-level=loud", "--platform=ftp://x", "--host=a b", "--admin-listen=127.0.0.1:99999"}, env(),
			[]string{`--host (DANDELIONRILL_HOST): "a b"`, "--platform", `"example.test:80"`, "--admin-listen", "from 1 to 4194304", "from 0s to 24h0m0s", "debug, info, warn, error"}},
		{"secrets", []string{"--ticket-key=hunter2", "--admin-token-file=" + shortFile}, env("DANDELIONRILL_ADMIN_TOKEN", ""), []string{"(secret of 7 bytes): at least 32 bytes", "a file of at least 16 bytes"}},
		{"secret twice", []string{"--admin-token-file=" + shortFile}, env(), []string{"only one of this and --admin-token"}},
		{"secret file missing", []string{"--ticket-key-file=/nonexistent/key"}, env("DANDELIONRILL_TICKET_KEY", ""), []string{"a readable file"}},
		{"plain links off loopback", []string{"--rpc-listen=0.0.0.0:1"}, env(), []string{"--rpc-listen (DANDELIONRILL_RPC_LISTEN): \"0.0.0.0:1\": a loopback address, or mutual TLS", "--advertise"}},
		{"advertised off loopback", []string{"--advertise=10.0.0.1:1"}, env(), []string{"--advertise"}},
		{"incomplete TLS settings", []string{"--tls-ca=x", "--http-key=y"}, env(), []string{"both --http-cert and --http-key", "all of --tls-cert"}},
		{"TLS files missing", []string{"--tls-ca=x", "--tls-cert=x", "--tls-key=x", "--http-cert=x", "--http-key=x"}, env(), []string{"--http-cert", "PEM files that match each other"}},
		{"heartbeats", []string{"--heartbeat-interval=2s"}, env(), []string{"at least twice"}},
		{"deadlines", []string{"--request-timeout=11m"}, env(), []string{"at least --request-timeout"}},
		{"memory for bodies", []string{"--body-memory-bytes=8388607"}, env(), []string{"at least twice --max-body-bytes, which is 4194304"}},
		{"address used twice", []string{"--admin-listen=127.0.0.1:8080", "--rpc-listen=127.0.0.1:8080"}, env(), []string{"--admin-listen", "--rpc-listen", "--rpc-listen"}},
	} {
		_, err := ParseRouter(tc.args, tc.env)
		var findings Findings
		must.True(t, errors.As(err, &findings), must.Sprint(tc.name))
		must.Len(t, len(tc.want), findings, must.Sprint(tc.name, "\n", err))
		for i, want := range tc.want {
			must.StrContains(t, findings[i].String(), want, must.Sprint(tc.name))
		}
		must.StrNotContains(t, err.Error(), "hunter2")
	}
	_, err := ParseAgent([]string{"--max-tickets=0", "--upstream=127.0.0.1:1"}, env())
	must.ErrorContains(t, err, "settings: 2 finding(s)")
	_, err = ParseAgent([]string{"--max-answer-bytes=33554433", "--upstream=127.0.0.1:1"}, env())
	must.ErrorContains(t, err, "settings: 2 finding(s)")
}

func TestActionsNeedNoSettings(t *testing.T) {
	for arg, want := range map[string]Action{"--help": ActionHelp, "-h": ActionHelp, "--version": ActionVersion} {
		r, err := ParseRouter([]string{arg}, func(string) string { return "" })
		must.NoError(t, err)
		must.Eq(t, want, r.Action)
	}
}

func TestHelpListsEverySetting(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	must.NoError(t, err)
	for help, rows := range map[string][]Row{RouterHelp(): RouterRows(), AgentHelp(): AgentRows()} {
		for _, row := range rows {
			must.StrContains(t, help, row.Flag+" <")
			must.StrContains(t, help, row.Variable)
			must.NotEq(t, "", strings.TrimSpace(row.Usage))
			cells := []string{"`" + row.Flag + "`", "`" + row.Variable + "`", cmp.Or(row.Unit, "text"), cmp.Or(row.Default, "none"), row.Usage}
			must.StrContains(t, string(page), "| "+strings.Join(cells, " | ")+" |")
		}
	}
}
