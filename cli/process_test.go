package cli

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"dandelionrill.example/fleet/agent"
	"dandelionrill.example/fleet/config"
	"dandelionrill.example/fleet/controllers/configuration"
	"dandelionrill.example/fleet/link"
	"dandelionrill.example/fleet/linktest"
	"dandelionrill.example/fleet/wire"
	standin "dandelionrill.example/standin/platform"
	"dandelionrill.example/standin/service"

	"github.com/shoenig/test/must"
)

// hangTimeout is long enough that only a test that hangs reaches it.
const hangTimeout = 30 * time.Second

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// startPlatform serves a platform with one customer, one plain service and
// the given hosts.
func startPlatform(t *testing.T, hosts []standin.Host) string {
	sum := sha256.Sum256([]byte("rice-key"))
	value, err := config.Encode(&config.Config{
		ChangeID: "test", Author: "test",
		Customers: []config.Customer{{ID: "rice", KeyHashes: []string{hex.EncodeToString(sum[:])}, Weight: 1}},
		Services:  []config.Service{{ID: "share-ledger", Kind: config.KindPlain, LoadMultiple: 2}},
		Rules:     []config.Rule{{Customer: config.Any, Service: config.Any, Host: config.Any, FailureDomain: config.Any}},
	})
	must.NoError(t, err)
	p := standin.New(standin.Options{Hosts: hosts})
	p.Put(configuration.ObjectKey, value)
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return server.URL
}

// start runs a process in the background. The returned function stops it and
// returns its exit code.
func start(t *testing.T, run func(context.Context, []string, Environment) int, args ...string) (stop func() int) {
	ctx, cancel := context.WithCancel(context.Background())
	code := make(chan int, 1)
	go func() {
		code <- run(ctx, args, Environment{Stdout: io.Discard, Stderr: os.Stderr, Getenv: func(string) string { return "" }})
	}()
	t.Cleanup(cancel)
	return func() int { cancel(); return <-code }
}

func awaitReady(t *testing.T, address string) {
	for deadline := time.Now().Add(hangTimeout); ; time.Sleep(10 * time.Millisecond) {
		resp, err := http.Get("http://" + address + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		must.True(t, time.Now().Before(deadline), must.Sprint(address, " is not ready"))
	}
}

// A router and an agent, assembled as in the binaries, communicate over mutual
// TLS: a call runs once, a client without a certificate cannot reach the agent,
// and the timeline of the processes in the host list shows events of both.
func TestProcessesOverMutualTLS(t *testing.T) {
	agentRPC, agentAdmin, routerListen, routerAdmin, routerRPC := freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t)
	platformURL := startPlatform(t, []standin.Host{
		{Name: "a1", Role: "agent", Service: "share-ledger", FailureDomain: "d", Address: agentRPC, State: "live"},
		{Name: "r1", Role: "router", FailureDomain: "d", Address: routerRPC, State: "live"},
	})
	ledger := service.New(service.Options{Name: "s1"})
	upstream := httptest.NewServer(ledger)
	defer upstream.Close()
	authority := linktest.NewAuthority(t)
	issued := authority.Issue(t, link.DefaultServerName)
	tlsFlags := []string{"--tls-cert", issued.Certificate, "--tls-key", issued.Key, "--tls-ca", authority.File}
	commonFlags := append([]string{"--failure-domain", "d", "--platform", platformURL, "--admin-token", token, "--log-level", "error",
		"--ticket-key", strings.Repeat("k", 32)}, tlsFlags...)
	stopAgent := start(t, Agent, slices.Concat(commonFlags, []string{"--host", "a1", "--listen", agentRPC, "--admin-listen", agentAdmin, "--service", "share-ledger", "--upstream", upstream.URL})...)
	awaitReady(t, agentAdmin)
	stopRouter := start(t, Router, slices.Concat(commonFlags, []string{"--host", "r1", "--listen", routerListen, "--admin-listen", routerAdmin, "--rpc-listen", routerRPC})...)
	awaitReady(t, routerAdmin)

	req, err := http.NewRequest(http.MethodPost, "http://"+routerListen+"/v1/services/share-ledger/transfers", strings.NewReader(`{"operation":"o"}`))
	must.NoError(t, err)
	req.Header.Set("Authorization", "Bearer rice-key")
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, resp.StatusCode, must.Sprint(string(body)))
	must.Eq(t, 1, ledger.Runs()["o"])

	clientWithoutTLS, err := link.NewClient(link.ClientOptions{Address: agentRPC})
	must.NoError(t, err)
	defer clientWithoutTLS.Close()
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	must.Error(t, clientWithoutTLS.Call(ctx, agent.RPCName+".Hello", &wire.HelloArgs{}, &wire.HelloReply{}))

	args := append([]string{"timeline", "--platform", platformURL, "--customer", "rice"}, tlsFlags...)
	code, out, failures := run(args, "")
	must.Eq(t, 0, code, must.Sprint(failures))
	for _, want := range []string{"r1/router", "a1/agent", "ticket-issued", "ticket-run"} {
		must.StrContains(t, out, want)
	}
	code, out, _ = run([]string{"status", "--admin", agentAdmin}, "")
	must.Eq(t, 0, code)
	must.StrContains(t, out, fmt.Sprintf("ticket window %d", 1))
	must.Eq(t, exitOK, stopRouter())
	must.Eq(t, exitOK, stopAgent())
}
