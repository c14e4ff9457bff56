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

var errNoMessages = errors.New("engine: no messages")

// request is the part of a chat completion request that the engine heeds.
type request struct {
	Model         string    `json:"model"`
	Messages      []Message `json:"messages"`
	Stream        bool      `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	MaxTokens            int  `json:"max_tokens"`
	MaxCompletionTokens  int  `json:"max_completion_tokens"`
	IgnoreEOS            bool `json:"ignore_eos"` // go on to max_tokens
	Priority             int  `json:"priority"`
	ContinueFinalMessage bool `json:"continue_final_message"`
}

// generation is one answer being made.
type generation struct {
	server    *Server
	request   request
	faults    Faults
	out       writer
	prompt    []string // tokens that the answer depends on
	given     []string // tokens of the partial answer that is continued
	last      int      // index after the answer's last token
	cut       bool     // max_tokens ends the answer before its own end
	cached    int
	generated int
	completed bool
	failed    bool // ended by a fault
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	faults := s.takeFault()
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
	if s.batch.enter(r.Context(), g.request.Priority) != nil {
		return
	}
	defer s.batch.leave()
	g.completed = g.run(r.Context())
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
		g.given = strings.Fields(final.Content)
		messages = messages[:len(messages)-1]
	}
	g.prompt = promptTokens(messages)
	g.last, g.cut = g.end()
	g.out = newWriter(w, s.options.Name, g.request)
	return g, nil
}

// end returns the index after the answer's last token, and whether max_tokens
// sets it.
func (g *generation) end() (last int, cut bool) {
	natural := g.server.options.AnswerTokens
	most := max(g.request.MaxTokens, g.request.MaxCompletionTokens)
	if most == 0 {
		return max(natural, len(g.given)), false
	}
	limit := len(g.given) + most
	if g.request.IgnoreEOS || limit < natural {
		return limit, true
	}
	return max(natural, len(g.given)), false
}

// run makes the answer and returns whether it was written whole.
func (g *generation) run(ctx context.Context) bool {
	if !g.prefill(ctx) {
		return false
	}
	seed := promptSeed(g.prompt)
	for i := len(g.given); i < g.last || g.faults.Mode == ModeEndless; i++ {
		if !g.fail(ctx) || !sleep(ctx, g.tokenTime()) {
			return false
		}
		g.generated++
		if err := g.out.token(answerToken(seed, i)); err != nil {
			return false
		}
	}
	if !g.fail(ctx) {
		return false
	}
	return g.out.end(g.finishReason(), g.usage()) == nil
}

// prefill computes the prompt tokens that are not cached and returns whether
// the client is still there.
func (g *generation) prefill(ctx context.Context) bool {
	s := g.server
	tokens := g.contextTokens()
	g.cached = s.beginPrefill(tokens)
	computed := len(tokens) - g.cached
	defer s.endPrefill(computed)
	delay := time.Duration(g.faults.DelayMillis) * time.Millisecond
	return sleep(ctx, delay+time.Duration(computed)*s.options.PrefillPerToken)
}

// contextTokens returns the tokens that the answer starts from.
func (g *generation) contextTokens() []string {
	tokens := append([]string(nil), g.prompt...)
	tokens = append(tokens, roleToken("assistant"))
	return append(tokens, g.given...)
}

// allTokens returns the tokens of the prompt and the answer made so far.
func (g *generation) allTokens() []string {
	tokens := g.contextTokens()
	seed := promptSeed(g.prompt)
	for i := range g.generated {
		tokens = append(tokens, strings.TrimSpace(answerToken(seed, len(g.given)+i)))
	}
	return tokens
}

// tokenTime returns the time of the next token; an endless answer comes at full
// speed.
func (g *generation) tokenTime() time.Duration {
	if g.faults.Mode == ModeEndless {
		return 0
	}
	running, _ := g.server.batch.sizes()
	return g.server.options.TimePerToken + time.Duration(running-1)*g.server.options.TimePerTokenPeer
}

// fail shows the request's fault once it is due, and returns whether the answer
// goes on.
func (g *generation) fail(ctx context.Context) bool {
	if g.generated < g.faults.AfterTokens {
		return ctx.Err() == nil
	}
	switch g.faults.Mode {
	case ModeDie:
		g.failed = true
		g.out.flush()
		control.Cut()
	case ModeHang:
		g.out.flush()
		<-ctx.Done()
	case ModeGarbage:
		g.failed = true
		g.out.garbage()
		return false
	}
	return ctx.Err() == nil
}

func (g *generation) finishReason() string {
	if g.cut {
		return "length"
	}
	return "stop"
}

func (g *generation) usage() usage {
	tokens := len(g.contextTokens())
	return usage{
		PromptTokens:     tokens,
		CompletionTokens: g.generated,
		TotalTokens:      tokens + g.generated,
		PromptDetails:    promptDetails{CachedTokens: g.cached},
	}
}

// sleep waits and returns whether ctx is still alive.
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
