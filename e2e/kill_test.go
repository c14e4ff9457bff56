package e2e

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dandelionrill.example/fleet/testfleet"
	"dandelionrill.example/standin/service"
)

// singleReplicaFleet is a separate fleet with one service replica. The tests of this
// file use it, so that every ticket belongs to the agent that they kill or pause.
var singleReplicaFleet *testfleet.Fleet

const (
	agentProcess = "agent-ledger-1"
	callDelay    = 1500 * time.Millisecond
	transferPath = "/v1/services/share-ledger/transfers"
)

func useSingleReplicaFleet(t *testing.T) context.Context {
	if singleReplicaFleet == nil {
		var err error
		singleReplicaFleet, err = testfleet.Start(singleReplicaDirectory, testfleet.Options{Replicas: 1, Engines: 1})
		must.NoError(t, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(func() {
		cancel()
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		must.NoError(t, singleReplicaFleet.SetFaults(ctx, service.Faults{}, "ledger-1"))
	})
	return ctx
}

func countSingleReplicaRuns(ctx context.Context, t *testing.T, operation string) int {
	var counts map[string]int
	must.NoError(t, singleReplicaFleet.FetchJSON(ctx, "ledger-1", "/control/runs", &counts))
	return counts[operation]
}

// tryTransfer sends a transfer with one header, or with none if headerName is empty.
// A connection error yields an answer with status 0.
func tryTransfer(ctx context.Context, router, operation, headerName, headerValue string) testfleet.Answer {
	header := http.Header{}
	if headerName != "" {
		header.Set(headerName, headerValue)
	}
	answer, err := singleReplicaFleet.Call(ctx, router, http.MethodPost, transferPath, header, `{"operation":"`+operation+`"}`)
	if err != nil {
		return testfleet.Answer{}
	}
	return answer
}

// issueTicket requests a ticket, and retries until the agent can be reached.
func issueTicket(ctx context.Context, t *testing.T, router string) string {
	var last testfleet.Answer
	for {
		answer, err := singleReplicaFleet.Call(ctx, router, http.MethodPost, "/v1/tickets", nil, `{"service":"share-ledger"}`)
		if err == nil && answer.Status == http.StatusCreated {
			return answer.Header.Get("Dandelionrill-Ticket")
		}
		if err == nil {
			last = answer
		}
		must.NoError(t, ctx.Err(), must.Func(func() string { return describeSingleReplicaFleet(last) }))
		time.Sleep(50 * time.Millisecond)
	}
}

// describeSingleReplicaFleet returns what shows why a request keeps failing: its last
// answer, the processes that have ended, and what the others report.
func describeSingleReplicaFleet(last testfleet.Answer) string {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	description := fmt.Sprintf("last answer: %d %s\n%v\n", last.Status, last.Body, singleReplicaFleet.CheckRunning())
	for _, name := range []string{"router-1", "router-2", agentProcess} {
		status, err := readStatus(ctx, singleReplicaFleet, name)
		description += fmt.Sprintf("%s: %+v, error: %v\n", name, status, err)
	}
	return description
}

// startTransfer sends a transfer and waits until the service has begun to run it.
// The service delays its answer by callDelay.
func startTransfer(ctx context.Context, t *testing.T, router, operation, headerName, headerValue string) <-chan testfleet.Answer {
	must.NoError(t, singleReplicaFleet.SetFaults(ctx, service.Faults{DelayMillis: int(callDelay.Milliseconds())}, "ledger-1"))
	answered := make(chan testfleet.Answer, 1)
	go func() { answered <- tryTransfer(ctx, router, operation, headerName, headerValue) }()
	for countSingleReplicaRuns(ctx, t, operation) == 0 {
		must.NoError(t, ctx.Err())
		time.Sleep(10 * time.Millisecond)
	}
	return answered
}

func outcomeOf(t *testing.T, a testfleet.Answer) string {
	return decode[problemOutcome](t, a.Body).Outcome
}

const ticketHeader = "Dandelionrill-Ticket"

func TestAgentKilledBeforeCall(t *testing.T) {
	ctx := useSingleReplicaFleet(t)
	ticket := issueTicket(ctx, t, "router-1")
	must.NoError(t, singleReplicaFleet.Restart(agentProcess))
	issueTicket(ctx, t, "router-2") // the new process answers
	must.Eq(t, "may-have-run", outcomeOf(t, tryTransfer(ctx, "router-2", "k-before", ticketHeader, ticket)))
	must.Eq(t, 0, countSingleReplicaRuns(ctx, t, "k-before"))
}

func TestAgentKilledDuringCall(t *testing.T) {
	ctx := useSingleReplicaFleet(t)
	ticket := issueTicket(ctx, t, "router-1")
	answered := startTransfer(ctx, t, "router-1", "k-during", ticketHeader, ticket)
	killed := time.Now()
	must.NoError(t, singleReplicaFleet.Restart(agentProcess))
	must.Eq(t, "may-have-run", outcomeOf(t, <-answered))
	t.Logf("outcome arrived %v after the kill", time.Since(killed).Round(time.Millisecond))
	must.Eq(t, "may-have-run", outcomeOf(t, tryTransfer(ctx, "router-2", "k-during", ticketHeader, ticket)))
	must.Eq(t, 1, countSingleReplicaRuns(ctx, t, "k-during"))
}

func TestAgentKilledAfterCall(t *testing.T) {
	ctx := useSingleReplicaFleet(t)
	ticket := issueTicket(ctx, t, "router-1")
	must.Eq(t, http.StatusOK, tryTransfer(ctx, "router-1", "k-after", ticketHeader, ticket).Status)
	must.NoError(t, singleReplicaFleet.Restart(agentProcess))
	issueTicket(ctx, t, "router-2")
	must.Eq(t, "may-have-run", outcomeOf(t, tryTransfer(ctx, "router-2", "k-after", ticketHeader, ticket)))
	must.Eq(t, 1, countSingleReplicaRuns(ctx, t, "k-after"))
}

func TestRouterKilledAfterSending(t *testing.T) {
	for _, tc := range []struct{ operation, headerName string }{
		{"k-router-ticket", ticketHeader},
		{"k-router-key", "Idempotency-Key"},
	} {
		ctx := useSingleReplicaFleet(t)
		value := "key-" + tc.operation
		if tc.headerName == ticketHeader {
			value = issueTicket(ctx, t, "router-1")
		}
		answered := startTransfer(ctx, t, "router-1", tc.operation, tc.headerName, value)
		must.NoError(t, singleReplicaFleet.Restart("router-1"))
		must.Eq(t, 0, (<-answered).Status)
		retried := tryTransfer(ctx, "router-2", tc.operation, tc.headerName, value)
		must.Eq(t, http.StatusOK, retried.Status, must.Sprintf("%s", retried.Body))
		must.Eq(t, 1, countSingleReplicaRuns(ctx, t, tc.operation))
		must.NoError(t, singleReplicaFleet.SetFaults(ctx, service.Faults{}, "ledger-1"))
		issueTicket(ctx, t, "router-1") // the new process serves
	}
}

// pauseDuration is longer than the heartbeat timeout and the time after which a
// router gives up on an agent.
const pauseDuration = 12 * time.Second

func TestAgentPausedAndResumed(t *testing.T) {
	ctx := useSingleReplicaFleet(t)
	ticketBefore, ticketDuring := issueTicket(ctx, t, "router-1"), issueTicket(ctx, t, "router-1")
	answered := startTransfer(ctx, t, "router-1", "k-pause-during", ticketHeader, ticketDuring)
	stopped := time.Now()
	must.NoError(t, singleReplicaFleet.Signal(agentProcess, syscall.SIGSTOP))
	answeredLate := make(chan testfleet.Answer, 1)
	go func() { answeredLate <- tryTransfer(ctx, "router-2", "k-pause-before", ticketHeader, ticketBefore) }()
	must.Eq(t, "may-have-run", outcomeOf(t, <-answered))
	must.Eq(t, "may-have-run", outcomeOf(t, <-answeredLate))
	t.Logf("outcomes arrived %v after the pause began", time.Since(stopped).Round(time.Millisecond))
	time.Sleep(time.Until(stopped.Add(pauseDuration)))
	must.NoError(t, singleReplicaFleet.Signal(agentProcess, syscall.SIGCONT))
	must.NoError(t, singleReplicaFleet.SetFaults(ctx, service.Faults{}, "ledger-1"))
	issueTicket(ctx, t, "router-2") // the resumed process answers
	for operation, ticket := range map[string]string{"k-pause-during": ticketDuring, "k-pause-before": ticketBefore} {
		a := tryTransfer(ctx, "router-2", operation, ticketHeader, ticket)
		runs := countSingleReplicaRuns(ctx, t, operation)
		t.Logf("%s: status %d, %d runs", operation, a.Status, runs)
		if a.Status == http.StatusOK {
			must.Eq(t, 1, runs)
			continue
		}
		// The submission and its revocation were both waiting in the paused process,
		// which may handle either one first.
		must.Eq(t, "k-pause-before", operation)
		must.Eq(t, "not-run", outcomeOf(t, a), must.Sprintf("%s", a.Body))
		must.Eq(t, 0, runs)
	}
}

func TestTransfersContinueDuringPlatformOutage(t *testing.T) {
	ctx := useSingleReplicaFleet(t)
	must.NoError(t, singleReplicaFleet.SetFaults(ctx, map[string]any{"outage": "refuse"}, "platform"))
	a := tryTransfer(ctx, "router-1", "k-outage", "", "")
	keyed := tryTransfer(ctx, "router-2", "k-outage-key", "Idempotency-Key", "k-outage")
	must.NoError(t, singleReplicaFleet.SetFaults(ctx, map[string]any{"outage": ""}, "platform"))
	must.Eq(t, http.StatusOK, a.Status, must.Sprintf("%s", a.Body))
	must.Eq(t, http.StatusServiceUnavailable, keyed.Status)
	must.Eq(t, 0, countSingleReplicaRuns(ctx, t, "k-outage-key"))
	must.Eq(t, 1, countSingleReplicaRuns(ctx, t, "k-outage"))
}
