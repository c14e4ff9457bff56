package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func start(t *testing.T, options Options) (*Server, string) {
	s := New(options)
	web := httptest.NewServer(s)
	t.Cleanup(web.Close)
	return s, web.URL
}

func post(ctx context.Context, t *testing.T, url, body string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	must.NoError(t, err)
	return http.DefaultClient.Do(r)
}

// stream returns the text of a streamed answer, its usage and whether its end
// marker arrived.
func stream(t *testing.T, url, body string) (text string, u usage, done bool) {
	response, err := post(t.Context(), t, url+"/v1/chat/completions", body)
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		var chunk completion
		switch {
		case !ok:
		case data == "[DONE]":
			done = true
		case json.Unmarshal([]byte(data), &chunk) != nil:
			return text, u, done
		case chunk.Usage != nil:
			u = *chunk.Usage
		default:
			text += chunk.Choices[0].Delta.Content
		}
	}
	return text, u, done
}

const question = `{"role":"user","content":"one two three four five six seven"}`

func TestAnswerIsDeterministicAndCanBeContinued(t *testing.T) {
	_, url := start(t, Options{BlockTokens: 4, AnswerTokens: 6})
	messages := []Message{{Role: "user", Content: "one two three four five six seven"}}
	complete, u, done := stream(t, url, `{"stream":true,"stream_options":{"include_usage":true},"messages":[`+question+`]}`)
	must.True(t, done)
	must.Eq(t, Answer(messages, 6), complete)
	must.Eq(t, usage{PromptTokens: 9, CompletionTokens: 6, TotalTokens: 15}, u)

	partial := Answer(messages, 2)
	rest, _, _ := stream(t, url, `{"stream":true,"continue_final_message":true,"add_generation_prompt":false,"messages":[`+
		question+`,{"role":"assistant","content":"`+partial+`"}]}`)
	must.Eq(t, complete, partial+rest)

	limited, u, _ := stream(t, url, `{"stream":true,"max_tokens":3,"stream_options":{"include_usage":true},"messages":[`+
		question+`,{"role":"assistant","content":"`+complete+`"},{"role":"user","content":"more"}]}`)
	must.Eq(t, 3, len(strings.Fields(limited)))
	must.Eq(t, 12, u.PromptDetails.CachedTokens)

	response, err := post(t.Context(), t, url+"/v1/chat/completions", `{"messages":[`+question+`]}`)
	must.NoError(t, err)
	var c completion
	must.NoError(t, json.NewDecoder(response.Body).Decode(&c))
	must.NoError(t, response.Body.Close())
	must.Eq(t, complete, c.Choices[0].Message.Content)
	must.Eq(t, "stop", *c.Choices[0].FinishReason)
}

func TestFaultsInterruptAnswers(t *testing.T) {
	for _, mode := range []Mode{ModeDie, ModeGarbage} {
		s, url := start(t, Options{Faults: Faults{Mode: mode, AfterTokens: 2, Requests: 1}})
		text, _, done := stream(t, url, `{"stream":true,"messages":[`+question+`]}`)
		must.False(t, done)
		must.Eq(t, 2, len(strings.Fields(text)))
		must.Eq(t, Stats{Requests: 1, Failed: 1, Tokens: 2, PromptTokens: 9}, s.Stats())
		_, _, done = stream(t, url, `{"stream":true,"messages":[`+question+`]}`)
		must.True(t, done)
	}
}

func TestClientDisconnectCancelsRequest(t *testing.T) {
	for _, mode := range []Mode{ModeHang, ModeEndless} {
		s, url := start(t, Options{Faults: Faults{Mode: mode, AfterTokens: 1}})
		ctx, disconnect := context.WithCancel(t.Context())
		response, err := post(ctx, t, url+"/v1/chat/completions", `{"stream":true,"messages":[`+question+`]}`)
		must.NoError(t, err)
		disconnect()
		_ = response.Body.Close()
		for s.Stats().Cancelled == 0 {
			time.Sleep(time.Millisecond)
		}
		for s.Load().Running != 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

func TestBatchAdmitsHighestPriorityFirst(t *testing.T) {
	b := &batch{slots: 1}
	must.NoError(t, b.acquire(t.Context(), 0))
	order := make(chan int)
	for i, priority := range []int{1, 5, 3} {
		go func() {
			_ = b.acquire(context.Background(), priority)
			order <- priority
			b.release()
		}()
		for _, waiting := b.sizes(); waiting <= i; _, waiting = b.sizes() {
			time.Sleep(time.Millisecond)
		}
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	must.Error(t, b.acquire(cancelled, 9))
	b.release()
	must.Eq(t, []int{5, 3, 1}, []int{<-order, <-order, <-order})
}

func TestCacheEvictsLeastRecentlyUsed(t *testing.T) {
	c := newPrefixCache(3, 1)
	a, b := c.digests([]string{"a1", "a2"}), c.digests([]string{"b1", "b2"})
	c.store(a)
	must.Eq(t, 2, c.cachedTokens(a))
	_, evicted := c.store(b)
	must.Eq(t, []uint64{a[1]}, evicted)
	must.Eq(t, 1, c.cachedTokens(a))
	must.Eq(t, 2, c.cachedTokens(b))
}

func TestEventsAndOrders(t *testing.T) {
	for _, checks := range []bool{true, false} {
		s, url := start(t, Options{BlockTokens: 1, EventGapEvery: 3, ChecksFencing: checks})
		_, _, _ = stream(t, url, `{"stream":true,"max_tokens":1,"messages":[{"role":"user","content":"a"}]}`)
		response, err := http.Get(url + "/events?after=1")
		must.NoError(t, err)
		var events []Event
		must.NoError(t, json.NewDecoder(response.Body).Decode(&events))
		must.Eq(t, []uint64{2, 4}, []uint64{events[0].Sequence, events[1].Sequence})
		response, err = post(t.Context(), t, url+"/orders", `{"kind":"role","name":"decode","fencing":7}`)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, response.StatusCode)
		response, err = post(t.Context(), t, url+"/orders", `{"kind":"role","name":"prefill","fencing":6}`)
		must.NoError(t, err)
		must.Eq(t, checks, response.StatusCode == http.StatusConflict)
		must.Eq(t, checks, len(s.Orders()) == 1)
	}
}
