// Package e2e tests the fleet over real processes that the test starts and
// ends.
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

// hungLimit ends a test that hangs; no test waits for it.
const hungLimit = time.Minute

var (
	fleet *testfleet.Fleet

	loneDirectory string // of the fleet whose processes are killed
	engines       = []string{"engine-1", "engine-2", "engine-3"}
	ledgers       = []string{"ledger-1", "ledger-2"}
)

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	directory, err := os.MkdirTemp("", "e2e")
	if err == nil {
		defer func() { _ = os.RemoveAll(directory) }()
		loneDirectory = filepath.Join(directory, "lone")
		// Answers are short, so that an endless one meets the limit soon.
		fleet, err = testfleet.Start(filepath.Join(directory, "shared"), testfleet.Options{
			Environment: []string{"DANDELIONRILL_MAX_ANSWER_BYTES=1048576"},
		})
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	status := m.Run()
	for _, f := range []*testfleet.Fleet{fleet, lone} {
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

// limited returns a context that ends a hung test, and clears the faults of all
// stand-ins when the test ends.
func limited(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), hungLimit)
	t.Cleanup(func() {
		defer cancel()
		must.NoError(t, fleet.SetFaults(ctx, engine.Faults{}, engines...))
		must.NoError(t, fleet.SetFaults(ctx, service.Faults{}, ledgers...))
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

// outcome is the part of a problem that says what became of the request.
type outcome struct {
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

func TestChatReturnsToItsEngine(t *testing.T) {
	ctx := limited(t)
	header := http.Header{"Dandelionrill-Chat": {"e2e-return"}}
	messages := []engine.Message{{Role: "user", Content: strings.Repeat("holding ", 100)}}
	first, err := fleet.Call(ctx, "router-1", http.MethodPost, "/v1/chat/completions", header, chatBody(t, false, messages...))
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, first.Status, must.Sprintf("%s", first.Body))
	answer := decode[completion](t, first.Body)
	must.Eq(t, engine.Answer(messages, engine.DefaultAnswerTokens), answer.Choices[0].Message.Content)

	messages = append(messages, answer.Choices[0].Message, engine.Message{Role: "user", Content: "more"})
	header.Set("Dandelionrill-Chat-Token", first.Header.Get("Dandelionrill-Chat-Token"))
	second, err := fleet.Call(ctx, "router-2", http.MethodPost, "/v1/chat/completions", header, chatBody(t, false, messages...))
	must.NoError(t, err)
	returned := decode[completion](t, second.Body)
	must.Eq(t, answer.Fingerprint, returned.Fingerprint)
	must.Greater(t, 100, returned.Usage.PromptDetails.CachedTokens)
}

// runs returns how often the services ran operation.
func runs(ctx context.Context, t *testing.T, operation string) int {
	total := 0
	for _, name := range ledgers {
		var counts map[string]int
		must.NoError(t, fleet.FetchJSON(ctx, name, "/control/runs", &counts))
		total += counts[operation]
	}
	return total
}

func transfer(ctx context.Context, t *testing.T, router, operation, ticket string) testfleet.Answer {
	header := http.Header{}
	if ticket != "" {
		header.Set("Dandelionrill-Ticket", ticket)
	}
	answer, err := fleet.Call(ctx, router, http.MethodPost, "/v1/services/share-ledger/transfers", header, `{"operation":"`+operation+`"}`)
	must.NoError(t, err)
	return answer
}

func TestTicketRunsOnce(t *testing.T) {
	ctx := limited(t)
	drawn, err := fleet.Call(ctx, "router-1", http.MethodPost, "/v1/tickets", nil, `{"service":"share-ledger"}`)
	must.NoError(t, err)
	ticket := drawn.Header.Get("Dandelionrill-Ticket")
	must.NotEq(t, "", ticket)
	first := transfer(ctx, t, "router-1", "e2e-once", ticket)
	must.Eq(t, http.StatusOK, first.Status, must.Sprintf("%s", first.Body))
	second := transfer(ctx, t, "router-2", "e2e-once", ticket)
	must.Eq(t, string(first.Body), string(second.Body))
	must.Eq(t, 1, runs(ctx, t, "e2e-once"))
}

func TestBadAnswersOfServiceMayHaveRun(t *testing.T) {
	for _, mode := range []service.Mode{service.ModeLoseAnswer, service.ModeGarbage} {
		ctx := limited(t)
		must.NoError(t, fleet.SetFaults(ctx, service.Faults{Mode: mode}, ledgers...))
		operation := "e2e-" + string(mode)
		answer := transfer(ctx, t, "router-1", operation, "")
		problem := decode[outcome](t, answer.Body)
		must.Eq(t, "may-have-run", problem.Outcome, must.Sprintf("%s", answer.Body))
		must.NotEq(t, "", problem.Ticket)
		again := transfer(ctx, t, "router-2", operation, problem.Ticket)
		must.Eq(t, "may-have-run", decode[outcome](t, again.Body).Outcome, must.Sprintf("%s", again.Body))
		must.Eq(t, 1, runs(ctx, t, operation))
	}
}

func stream(ctx context.Context, t *testing.T, content string, onToken func(int)) (testfleet.Stream, error) {
	header := http.Header{"Authorization": {"Bearer " + fleet.CustomerKey()}, "Dandelionrill-Timeout": {"5"}}
	url := "http://" + fleet.Address("router-1") + "/v1/chat/completions"
	body := chatBody(t, true, engine.Message{Role: "user", Content: content})
	return testfleet.ReadStream(ctx, http.DefaultClient, url, header, body, onToken)
}

// total sums a counter over the engines.
func total(ctx context.Context, t *testing.T, counter func(engine.Stats) int) int {
	sum := 0
	for _, name := range engines {
		var stats engine.Stats
		must.NoError(t, fleet.FetchJSON(ctx, name, "/control/stats", &stats))
		sum += counter(stats)
	}
	return sum
}

func TestLeavingClientCancelsWork(t *testing.T) {
	ctx := limited(t)
	cancelled := func() int { return total(ctx, t, func(s engine.Stats) int { return s.Cancelled }) }
	before := cancelled()
	must.NoError(t, fleet.SetFaults(ctx, engine.Faults{Mode: engine.ModeEndless}, engines...))
	leaving, leave := context.WithCancel(ctx)
	_, err := stream(leaving, t, "leave", func(tokens int) {
		if tokens == 5 {
			leave()
		}
	})
	must.Error(t, err)
	for cancelled() == before {
		must.NoError(t, ctx.Err())
		time.Sleep(10 * time.Millisecond)
	}
}

func TestBadAnswersOfEngineEndExplicitly(t *testing.T) {
	for _, faults := range []engine.Faults{
		{Mode: engine.ModeGarbage, AfterTokens: 3},
		{Mode: engine.ModeDie, AfterTokens: 3},
		{Mode: engine.ModeEndless},
	} {
		t.Log(faults.Mode)
		ctx := limited(t)
		must.NoError(t, fleet.SetFaults(ctx, faults, engines...))
		answer, err := stream(ctx, t, string(faults.Mode), nil)
		must.NoError(t, err)
		must.False(t, answer.Whole)
		must.Eq(t, "incomplete", decode[outcome](t, []byte(answer.LastRaw)).Outcome, must.Sprintf("%s: %s", faults.Mode, answer.LastRaw))
	}
}
