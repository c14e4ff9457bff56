package engine

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"dandelionrill.example/standin/internal/control"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 8 << 20

var errNoMessages = errors.New("engine: request has no messages")

// request has the fields of a chat completion request that the engine uses.
type request struct {
	Model         string    `json:"model"`
	Messages      []Message `json:"messages"`
	Stream        bool      `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	MaxTokens            int  `json:"max_tokens"`
	MaxCompletionTokens  int  `json:"max_completion_tokens"`
	IgnoreEOS            bool `json:"ignore_eos"` // generate until max_tokens
	Priority             int  `json:"priority"`
	ContinueFinalMessage bool `json:"continue_final_message"`
}

// generation is one answer in progress.
type generation struct {
	server          *Server
	request         request
	faults          Faults
	out             writer
	prompt          []string // tokens that the answer depends on
	partial         []string // tokens of the partial answer to continue
	endIndex        int      // index after the answer's last token
	truncated       bool     // max_tokens ends the answer
	cachedTokens    int
	generatedTokens int
	completed       bool
	failed          bool // ended by an injected fault
	counted         bool // in the statistics
}

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	faults := s.nextFaults()
	if faults.Mode == ModeRefuse {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	g, err := s.newGeneration(w, r, faults)
	if err != nil {
		control.WriteJSON(w, http.StatusBadRequest, errorBody{Error: errorDetail{Message: err.Error(), Type: "invalid_request_error"}})
		return
	}
	defer s.finish(g)
	if s.batch.acquire(r.Context(), g.request.Priority) != nil {
		return
	}
	defer s.batch.release()
	g.completed = g.generate(r.Context())
}

func (s *Server) newGeneration(w http.ResponseWriter, r *http.Request, faults Faults) (*generation, error) {
	g := &generation{server: s, faults: faults}
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(&g.request); err != nil {
		return nil, err
	}
	messages := g.request.Messages
	if len(messages) == 0 {
		return nil, errNoMessages
	}
	if final := messages[len(messages)-1]; g.request.ContinueFinalMessage && final.Role == "assistant" {
		g.partial = strings.Fields(final.Content)
		messages = messages[:len(messages)-1]
	}
	g.prompt = promptTokens(messages)
	g.endIndex, g.truncated = g.answerEnd()
	g.out = newWriter(w, s.options.Name, g.request)
	return g, nil
}

// answerEnd returns the index after the answer's last token, and whether
// max_tokens determines it.
func (g *generation) answerEnd() (endIndex int, truncated bool) {
	defaultEnd := g.server.options.AnswerTokens
	maxTokens := max(g.request.MaxTokens, g.request.MaxCompletionTokens)
	if maxTokens == 0 {
		return max(defaultEnd, len(g.partial)), false
	}
	limit := len(g.partial) + maxTokens
	if g.request.IgnoreEOS || limit < defaultEnd {
		return limit, true
	}
	return max(defaultEnd, len(g.partial)), false
}

// generate produces the answer and returns whether it was written completely.
func (g *generation) generate(ctx context.Context) bool {
	if !g.prefill(ctx) {
		return false
	}
	seed := promptSeed(g.prompt)
	for i := len(g.partial); i < g.endIndex || g.faults.Mode == ModeEndless; i++ {
		if !g.applyFault(ctx) || !sleep(ctx, g.tokenTime()) {
			return false
		}
		g.generatedTokens++
		if err := g.out.writeToken(answerToken(seed, i)); err != nil {
			return false
		}
	}
	if !g.applyFault(ctx) {
		return false
	}
	return g.out.finish(g.finishReason(), g.usage()) == nil
}

// prefill simulates the computation of the prompt tokens that are not cached. It
// returns false if the client disconnects meanwhile.
func (g *generation) prefill(ctx context.Context) bool {
	s := g.server
	tokens := g.contextTokens()
	g.cachedTokens = s.beginPrefill(tokens)
	computed := len(tokens) - g.cachedTokens
	defer s.endPrefill(computed)
	delay := time.Duration(g.faults.DelayMillis) * time.Millisecond
	return sleep(ctx, delay+time.Duration(computed)*s.options.PrefillPerToken)
}

// contextTokens returns the tokens that precede the first generated one: the
// prompt and the partial answer.
func (g *generation) contextTokens() []string {
	tokens := append([]string(nil), g.prompt...)
	tokens = append(tokens, roleToken("assistant"))
	return append(tokens, g.partial...)
}

// allTokens returns the tokens of the prompt and of the answer so far.
func (g *generation) allTokens() []string {
	tokens := g.contextTokens()
	seed := promptSeed(g.prompt)
	for i := range g.generatedTokens {
		tokens = append(tokens, strings.TrimSpace(answerToken(seed, len(g.partial)+i)))
	}
	return tokens
}

// tokenTime returns the time that the next token takes; the tokens of an endless
// answer take none.
func (g *generation) tokenTime() time.Duration {
	if g.faults.Mode == ModeEndless {
		return 0
	}
	running, _ := g.server.batch.sizes()
	return g.server.options.TimePerToken + time.Duration(running-1)*g.server.options.TimePerTokenPeer
}

// applyFault injects the request's fault once AfterTokens tokens are generated, and
// returns whether the answer continues.
func (g *generation) applyFault(ctx context.Context) bool {
	if g.generatedTokens < g.faults.AfterTokens {
		return ctx.Err() == nil
	}
	switch g.faults.Mode {
	case ModeDie:
		g.failed = true
		g.out.flush()
		control.AbortConnection()
	case ModeHang:
		g.out.flush()
		<-ctx.Done()
	case ModeGarbage:
		g.failed = true
		// Counted before the client sees the end of the answer.
		g.server.finish(g)
		g.out.writeGarbage()
		return false
	}
	return ctx.Err() == nil
}

func (g *generation) finishReason() string {
	if g.truncated {
		return "length"
	}
	return "stop"
}

func (g *generation) usage() usage {
	tokens := len(g.contextTokens())
	return usage{
		PromptTokens:     tokens,
		CompletionTokens: g.generatedTokens,
		TotalTokens:      tokens + g.generatedTokens,
		PromptDetails:    promptDetails{CachedTokens: g.cachedTokens},
	}
}

// sleep waits for d and returns true, or returns false as soon as ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
