package e2e

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dandelionrill.example/fleet/testfleet"
	"dandelionrill.example/standin/service"
)

// These tests run on a fleet of their own with one replica, so that every
// ticket belongs to the process that they kill or pause.
var lone *testfleet.Fleet

const (
	agentProcess = "agent-ledger-1"
	callDelay    = 1500 * time.Millisecond
	transferPath = "/v1/services/share-ledger/transfers"
)

func useLone(t *testing.T) context.Context {
	if lone == nil {
		var err error
		lone, err = testfleet.Start(loneDirectory, testfleet.Options{Replicas: 1, Engines: 1})
		must.NoError(t, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), hungLimit)
	t.Cleanup(func() {
		must.NoError(t, lone.SetFaults(ctx, service.Faults{}, "ledger-1"))
		cancel()
	})
	return ctx
}

func loneRuns(ctx context.Context, t *testing.T, operation string) int {
	var counts map[string]int
	must.NoError(t, lone.FetchJSON(ctx, "ledger-1", "/control/runs", &counts))
	return counts[operation]
}

// post sends a transfer with one header. A connection error is an answer with
// status 0.
func post(ctx context.Context, router, operation, name, value string) testfleet.Answer {
	header := http.Header{}
	if name != "" {
		header.Set(name, value)
	}
	answer, err := lone.Call(ctx, router, http.MethodPost, transferPath, header, `{"operation":"`+operation+`"}`)
	if err != nil {
		return testfleet.Answer{}
	}
	return answer
}

// draw returns a ticket, waiting until the agent can be reached.
func draw(ctx context.Context, t *testing.T, router string) string {
	for {
		drawn, err := lone.Call(ctx, router, http.MethodPost, "/v1/tickets", nil, `{"service":"share-ledger"}`)
		if err == nil && drawn.Status == http.StatusCreated {
			return drawn.Header.Get("Dandelionrill-Ticket")
		}
		must.NoError(t, ctx.Err())
		time.Sleep(50 * time.Millisecond)
	}
}

// begin sends a transfer and waits until the service has begun to run it.
func begin(ctx context.Context, t *testing.T, router, operation, name, value string) <-chan testfleet.Answer {
	must.NoError(t, lone.SetFaults(ctx, service.Faults{DelayMillis: int(callDelay.Milliseconds())}, "ledger-1"))
	answered := make(chan testfleet.Answer, 1)
	go func() { answered <- post(ctx, router, operation, name, value) }()
	for loneRuns(ctx, t, operation) == 0 {
		must.NoError(t, ctx.Err())
		time.Sleep(10 * time.Millisecond)
	}
	return answered
}

func outcomeOf(t *testing.T, a testfleet.Answer) string {
	return decode[outcome](t, a.Body).Outcome
}

const ticketHeader = "Dandelionrill-Ticket"

func TestAgentKilledBeforeTheCall(t *testing.T) {
	ctx := useLone(t)
	ticket := draw(ctx, t, "router-1")
	must.NoError(t, lone.Restart(agentProcess))
	draw(ctx, t, "router-2") // the new process answers
	must.Eq(t, "may-have-run", outcomeOf(t, post(ctx, "router-2", "k-before", ticketHeader, ticket)))
	must.Eq(t, 0, loneRuns(ctx, t, "k-before"))
}

func TestAgentKilledDuringTheCall(t *testing.T) {
	ctx := useLone(t)
	ticket := draw(ctx, t, "router-1")
	answered := begin(ctx, t, "router-1", "k-during", ticketHeader, ticket)
	killed := time.Now()
	must.NoError(t, lone.Restart(agentProcess))
	must.Eq(t, "may-have-run", outcomeOf(t, <-answered))
	t.Logf("outcome %v after the kill", time.Since(killed).Round(time.Millisecond))
	must.Eq(t, "may-have-run", outcomeOf(t, post(ctx, "router-2", "k-during", ticketHeader, ticket)))
	must.Eq(t, 1, loneRuns(ctx, t, "k-during"))
}

func TestAgentKilledAfterTheCall(t *testing.T) {
	ctx := useLone(t)
	ticket := draw(ctx, t, "router-1")
	must.Eq(t, http.StatusOK, post(ctx, "router-1", "k-after", ticketHeader, ticket).Status)
	must.NoError(t, lone.Restart(agentProcess))
	draw(ctx, t, "router-2")
	must.Eq(t, "may-have-run", outcomeOf(t, post(ctx, "router-2", "k-after", ticketHeader, ticket)))
	must.Eq(t, 1, loneRuns(ctx, t, "k-after"))
}

func TestRouterKilledAfterSending(t *testing.T) {
	for _, tc := range []struct{ operation, name string }{
		{"k-router-ticket", ticketHeader},
		{"k-router-key", "Idempotency-Key"},
	} {
		ctx := useLone(t)
		value := "key-" + tc.operation
		if tc.name == ticketHeader {
			value = draw(ctx, t, "router-1")
		}
		answered := begin(ctx, t, "router-1", tc.operation, tc.name, value)
		must.NoError(t, lone.Restart("router-1"))
		must.Eq(t, 0, (<-answered).Status)
		again := post(ctx, "router-2", tc.operation, tc.name, value)
		must.Eq(t, http.StatusOK, again.Status, must.Sprintf("%s", again.Body))
		must.Eq(t, 1, loneRuns(ctx, t, tc.operation))
		must.NoError(t, lone.SetFaults(ctx, service.Faults{}, "ledger-1"))
		draw(ctx, t, "router-1") // the new process serves
	}
}

// pause is longer than the heartbeat time-out and the time after which a router
// gives an agent up.
const pause = 12 * time.Second

func TestAgentPausedAndWoken(t *testing.T) {
	ctx := useLone(t)
	before, during := draw(ctx, t, "router-1"), draw(ctx, t, "router-1")
	answered := begin(ctx, t, "router-1", "k-pause-during", ticketHeader, during)
	stopped := time.Now()
	must.NoError(t, lone.Signal(agentProcess, syscall.SIGSTOP))
	late := make(chan testfleet.Answer, 1)
	go func() { late <- post(ctx, "router-2", "k-pause-before", ticketHeader, before) }()
	must.Eq(t, "may-have-run", outcomeOf(t, <-answered))
	must.Eq(t, "may-have-run", outcomeOf(t, <-late))
	t.Logf("outcomes %v after the stop", time.Since(stopped).Round(time.Millisecond))
	time.Sleep(time.Until(stopped.Add(pause)))
	must.NoError(t, lone.Signal(agentProcess, syscall.SIGCONT))
	must.NoError(t, lone.SetFaults(ctx, service.Faults{}, "ledger-1"))
	draw(ctx, t, "router-2") // the woken process answers
	for operation, ticket := range map[string]string{"k-pause-during": during, "k-pause-before": before} {
		a := post(ctx, "router-2", operation, ticketHeader, ticket)
		runs := loneRuns(ctx, t, operation)
		t.Logf("%s: status %d, %d runs", operation, a.Status, runs)
		if a.Status == http.StatusOK {
			must.Eq(t, 1, runs)
			continue
		}
		// The submission and its revoke waited in the paused process: either may
		// come first.
		must.Eq(t, "k-pause-before", operation)
		must.Eq(t, "not-run", outcomeOf(t, a), must.Sprintf("%s", a.Body))
		must.Eq(t, 0, runs)
	}
}

func TestTransfersGoOnInAPlatformOutage(t *testing.T) {
	ctx := useLone(t)
	must.NoError(t, lone.SetFaults(ctx, map[string]any{"outage": "refuse"}, "platform"))
	a := post(ctx, "router-1", "k-outage", "", "")
	keyed := post(ctx, "router-2", "k-outage-key", "Idempotency-Key", "k-outage")
	must.NoError(t, lone.SetFaults(ctx, map[string]any{"outage": ""}, "platform"))
	must.Eq(t, http.StatusOK, a.Status, must.Sprintf("%s", a.Body))
	must.Eq(t, http.StatusServiceUnavailable, keyed.Status)
	must.Eq(t, 0, loneRuns(ctx, t, "k-outage-key"))
	must.Eq(t, 1, loneRuns(ctx, t, "k-outage"))
}
