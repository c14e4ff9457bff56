// Package e2e tests the fleet end to end, with real processes that the tests start
// and stop.
package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dandelionrill.example/fleet/testfleet"
	"dandelionrill.example/standin/engine"
	"dandelionrill.example/standin/service"
)

// testTimeout ends a test that hangs; no test that passes takes this long.
const testTimeout = time.Minute

var (
	sharedFleet *testfleet.Fleet

	singleReplicaDirectory string // of singleReplicaFleet
	engines                = []string{"engine-1", "engine-2", "engine-3"}
	ledgerServices         = []string{"ledger-1", "ledger-2"}
)

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) (status int) {
	directory, err := os.MkdirTemp("", "e2e")
	if err == nil {
		defer func() { removeOrKeep(directory, status) }()
		singleReplicaDirectory = filepath.Join(directory, "lone")
		// The answer size limit is low, so that an endless answer reaches it soon.
		sharedFleet, err = testfleet.Start(filepath.Join(directory, "shared"), testfleet.Options{
			Environment: []string{"DANDELIONRILL_MAX_ANSWER_BYTES=1048576"},
		})
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	status = m.Run()
	for _, f := range []*testfleet.Fleet{sharedFleet, singleReplicaFleet} {
		if f == nil {
			continue
		}
		if err := f.Stop(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			status = 1
		}
	}
	return status
}

// removeOrKeep removes the directory with the logs of the fleets, or names it if a test
// has failed.
func removeOrKeep(directory string, status int) {
	if status != 0 {
		fmt.Fprintln(os.Stderr, "logs of the fleets:", directory)
		return
	}
	if err := os.RemoveAll(directory); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// newTestContext returns a context that ends after testTimeout. When the test ends,
// the faults of all engine and service stand-ins of the shared fleet are cleared, also
// after a test whose time is up.
func newTestContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(func() {
		cancel()
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		must.NoError(t, sharedFleet.SetFaults(ctx, engine.Faults{}, engines...))
		must.NoError(t, sharedFleet.SetFaults(ctx, service.Faults{}, ledgerServices...))
	})
	return ctx
}

type completion struct {
	Fingerprint string `json:"system_fingerprint"`
	Choices     []struct {
		Message engine.Message `json:"message"`
	} `json:"choices"`
	Usage struct {
		PromptDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// problemOutcome is the part of a problem response that says whether the request
// was executed.
type problemOutcome struct {
	Outcome string `json:"outcome"`
	Ticket  string `json:"ticket"`
}

func decode[T any](t *testing.T, data []byte) T {
	var value T
	must.NoError(t, json.Unmarshal(data, &value), must.Sprintf("%s", data))
	return value
}

func chatBody(t *testing.T, stream bool, messages ...engine.Message) string {
	encoded, err := json.Marshal(map[string]any{"model": "registry-llm", "stream": stream, "messages": messages})
	must.NoError(t, err)
	return string(encoded)
}

func TestChatContinuesOnSameEngine(t *testing.T) {
	ctx := newTestContext(t)
	header := http.Header{"Dandelionrill-Chat": {"e2e-return"}}
	messages := []engine.Message{{Role: "user", Content: strings.Repeat("holding ", 100)}}
	first, err := sharedFleet.Call(ctx, "router-1", http.MethodPost, "/v1/chat/completions", header, chatBody(t, false, messages...))
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, first.Status, must.Sprintf("%s", first.Body))
	answer := decode[completion](t, first.Body)
	must.Eq(t, engine.Answer(messages, engine.DefaultAnswerTokens), answer.Choices[0].Message.Content)

	messages = append(messages, answer.Choices[0].Message, engine.Message{Role: "user", Content: "more"})
	header.Set("Dandelionrill-Chat-Token", first.Header.Get("Dandelionrill-Chat-Token"))
	second, err := sharedFleet.Call(ctx, "router-2", http.MethodPost, "/v1/chat/completions", header, chatBody(t, false, messages...))
	must.NoError(t, err)
	continued := decode[completion](t, second.Body)
	must.Eq(t, answer.Fingerprint, continued.Fingerprint)
	must.Greater(t, 100, continued.Usage.PromptDetails.CachedTokens)
}

// countRuns returns how often all services together ran operation.
func countRuns(ctx context.Context, t *testing.T, operation string) int {
	total := 0
	for _, name := range ledgerServices {
		var counts map[string]int
		must.NoError(t, sharedFleet.FetchJSON(ctx, name, "/control/runs", &counts))
		total += counts[operation]
	}
	return total
}

func sendTransfer(ctx context.Context, t *testing.T, router, operation, ticket string) testfleet.Answer {
	header := http.Header{}
	if ticket != "" {
		header.Set("Dandelionrill-Ticket", ticket)
	}
	answer, err := sharedFleet.Call(ctx, router, http.MethodPost, "/v1/services/share-ledger/transfers", header, `{"operation":"`+operation+`"}`)
	must.NoError(t, err)
	return answer
}

func TestTicketRunsRequestOnce(t *testing.T) {
	ctx := newTestContext(t)
	issued, err := sharedFleet.Call(ctx, "router-1", http.MethodPost, "/v1/tickets", nil, `{"service":"share-ledger"}`)
	must.NoError(t, err)
	ticket := issued.Header.Get("Dandelionrill-Ticket")
	must.NotEq(t, "", ticket)
	first := sendTransfer(ctx, t, "router-1", "e2e-once", ticket)
	must.Eq(t, http.StatusOK, first.Status, must.Sprintf("%s", first.Body))
	second := sendTransfer(ctx, t, "router-2", "e2e-once", ticket)
	must.Eq(t, string(first.Body), string(second.Body))
	must.Eq(t, 1, countRuns(ctx, t, "e2e-once"))
}

func TestInvalidServiceAnswerReportsMayHaveRun(t *testing.T) {
	for _, mode := range []service.Mode{service.ModeLoseAnswer, service.ModeGarbage} {
		ctx := newTestContext(t)
		must.NoError(t, sharedFleet.SetFaults(ctx, service.Faults{Mode: mode}, ledgerServices...))
		operation := "e2e-" + string(mode)
		answer := sendTransfer(ctx, t, "router-1", operation, "")
		problem := decode[problemOutcome](t, answer.Body)
		must.Eq(t, "may-have-run", problem.Outcome, must.Sprintf("%s", answer.Body))
		must.NotEq(t, "", problem.Ticket)
		retried := sendTransfer(ctx, t, "router-2", operation, problem.Ticket)
		must.Eq(t, "may-have-run", decode[problemOutcome](t, retried.Body).Outcome, must.Sprintf("%s", retried.Body))
		must.Eq(t, 1, countRuns(ctx, t, operation))
	}
}

func stream(ctx context.Context, t *testing.T, content string, onToken func(int)) (testfleet.Stream, error) {
	header := http.Header{"Authorization": {"Bearer " + sharedFleet.CustomerKey()}, "Dandelionrill-Timeout": {"5"}}
	url := "http://" + sharedFleet.Address("router-1") + "/v1/chat/completions"
	body := chatBody(t, true, engine.Message{Role: "user", Content: content})
	return testfleet.ReadStream(ctx, http.DefaultClient, url, header, body, onToken)
}

// sumStats returns the sum of a counter over all engines.
func sumStats(ctx context.Context, t *testing.T, counter func(engine.Stats) int) int {
	sum := 0
	for _, name := range engines {
		var stats engine.Stats
		must.NoError(t, sharedFleet.FetchJSON(ctx, name, "/control/stats", &stats))
		sum += counter(stats)
	}
	return sum
}

func TestClientDisconnectCancelsRequest(t *testing.T) {
	ctx := newTestContext(t)
	cancelled := func() int { return sumStats(ctx, t, func(s engine.Stats) int { return s.Cancelled }) }
	before := cancelled()
	must.NoError(t, sharedFleet.SetFaults(ctx, engine.Faults{Mode: engine.ModeEndless}, engines...))
	clientCtx, disconnect := context.WithCancel(ctx)
	_, err := stream(clientCtx, t, "leave", func(tokens int) {
		if tokens == 5 {
			disconnect()
		}
	})
	must.Error(t, err)
	for cancelled() == before {
		must.NoError(t, ctx.Err())
		time.Sleep(10 * time.Millisecond)
	}
}

func TestInvalidEngineAnswerEndsWithOutcome(t *testing.T) {
	for _, faults := range []engine.Faults{
		{Mode: engine.ModeGarbage, AfterTokens: 3},
		{Mode: engine.ModeDie, AfterTokens: 3},
		{Mode: engine.ModeEndless},
	} {
		t.Log(faults.Mode)
		ctx := newTestContext(t)
		must.NoError(t, sharedFleet.SetFaults(ctx, faults, engines...))
		answer, err := stream(ctx, t, string(faults.Mode), nil)
		must.NoError(t, err)
		must.False(t, answer.Complete)
		must.Eq(t, "incomplete", decode[problemOutcome](t, []byte(answer.LastData)).Outcome, must.Sprintf("%s: %s", faults.Mode, answer.LastData))
	}
}
