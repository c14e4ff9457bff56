package router

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"dandelionrill.example/fleet/decide/place"
	"dandelionrill.example/fleet/problem"
)

// chatBody is a chat completion request: the fields that the router reads,
// decoded, and all fields as received.
type chatBody struct {
	Model    string
	Stream   bool
	N        int
	Messages []json.RawMessage
	fields   map[string]json.RawMessage
}

// parseChat decodes a chat completion request of the OpenAI API.
func parseChat(body []byte) (*chatBody, error) {
	if !utf8.Valid(body) {
		return nil, errors.New("body: not valid UTF-8")
	}
	b := &chatBody{N: 1}
	if err := json.Unmarshal(body, &b.fields); err != nil {
		return nil, errors.Wrap(err, "body: not a JSON object")
	}
	targets := []struct {
		name string
		to   any
	}{
		{"model", &b.Model},
		{"stream", &b.Stream},
		{"n", &b.N},
		{"messages", &b.Messages},
	}
	for _, t := range targets {
		raw, ok := b.fields[t.name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, t.to); err != nil {
			return nil, errors.Wrapf(err, "body: field %s", t.name)
		}
	}
	if b.Model == "" {
		return nil, errors.New("body: field model is missing")
	}
	if len(b.Messages) == 0 {
		return nil, errors.New("body: field messages is missing or empty")
	}
	return b, nil
}

// encode returns the request for the engine, with priority in place of any
// value that the caller sent.
func (b *chatBody) encode(priority int) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(b.fields)+1)
	for name, raw := range b.fields {
		fields[name] = raw
	}
	fields["priority"] = json.RawMessage(strconv.Itoa(priority))
	out, err := json.Marshal(fields)
	return out, errors.Wrap(err, "router: encode chat request")
}

// chatKey returns a chat identifier for callers that send none. It is derived
// from the customer and the first messages, which stay the same in later
// requests of the chat.
func (b *chatBody) chatKey(customer string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(customer))
	for _, m := range b.Messages[:min(2, len(b.Messages))] {
		_, _ = h.Write(m)
	}
	return "prefix-" + strconv.FormatUint(h.Sum64(), 16)
}

// serveChat handles a chat completion request, streamed or not.
func (r *Router) serveChat(w http.ResponseWriter, req *http.Request, c caller) {
	token, err := r.chatToken(req, c)
	if err != nil {
		r.badRequest(w, err)
		return
	}
	if last := req.Header.Get(HeaderLastEventID); last != "" {
		r.resumeStream(w, req, c, token, last)
		return
	}
	raw, ok := r.readBody(w, req)
	if !ok {
		return
	}
	defer raw.Release()
	body, err := parseChat(raw.Bytes())
	if err != nil {
		r.badRequest(w, err)
		return
	}
	q, ok := r.chatRequest(w, req, c, body)
	if !ok {
		return
	}
	upstreams := r.newUpstreamIterator(q, token.host)
	if body.Stream {
		r.streamChat(w, req, q, body, upstreams)
		return
	}
	r.serveIdempotent(req.Context(), w, q, upstreams, true)
}

// chatToken decodes the caller's chat token. It returns an empty handle if
// there is none, and an error for a token of another customer or fleet.
func (r *Router) chatToken(req *http.Request, c caller) (handle, error) {
	encoded := req.Header.Get(HeaderChatToken)
	if encoded == "" {
		return handle{}, nil
	}
	h, err := r.openToken(encoded)
	if err != nil || h.customer != c.customer.ID {
		return handle{}, errors.Newf("header %s: not a chat token of this customer", HeaderChatToken)
	}
	return h, nil
}

// chatRequest checks the chat request against the configuration and builds the
// request for the engine. On failure it writes the problem response and
// returns false.
func (r *Router) chatRequest(w http.ResponseWriter, req *http.Request, c caller, body *chatBody) (*request, bool) {
	service, ok := c.adopted.Index.ServiceForModel(body.Model)
	if !ok {
		r.writeProblem(w, problem.Problem{
			Status: http.StatusNotFound, Code: problem.CodeUnknownModel, Outcome: problem.OutcomeNotRun,
			Detail: "no service offers model " + strconv.Quote(body.Model),
		})
		return nil, false
	}
	chat := req.Header.Get(HeaderChat)
	if !validID(chat) {
		r.badRequest(w, errors.Newf("header %s: printable ASCII of at most %d bytes", HeaderChat, maxIDBytes))
		return nil, false
	}
	if chat == "" {
		chat = body.chatKey(c.customer.ID)
	}
	priority, ok := servicePriority(c, service.ID)
	if !ok {
		r.forbidden(w, service.ID)
		return nil, false
	}
	encoded, err := body.encode(priority)
	if err != nil {
		r.badRequest(w, err)
		return nil, false
	}
	return &request{
		adopted:    c.adopted,
		customer:   c.customer,
		service:    service,
		chat:       c.customer.ID + "/" + chat,
		priority:   priority,
		method:     http.MethodPost,
		path:       "/v1/chat/completions",
		header:     map[string][]string{"Content-Type": {"application/json"}},
		body:       encoded,
		idempotent: true,
	}, true
}

// servicePriority returns the highest priority that any rule gives the
// customer on the service. It returns false if no rule allows the customer
// there.
func servicePriority(c caller, service string) (priority int, ok bool) {
	for _, rule := range c.adopted.Config.Rules {
		if !ruleMatches(rule.Customer, c.customer.ID) || !ruleMatches(rule.Service, service) {
			continue
		}
		if !ok || rule.Priority > priority {
			priority = rule.Priority
		}
		ok = true
	}
	return priority, ok
}

// serveIdempotent runs idempotent work, with retries, and writes the complete
// answer to the caller.
func (r *Router) serveIdempotent(ctx context.Context, w http.ResponseWriter, q *request, upstreams *upstreamIterator, chat bool) {
	var answer []byte
	var rd *answerReader
	err := r.tryUpstreams(ctx, q, upstreams, func(c place.Candidate, mayQueue bool) error {
		var err error
		if rd, err = r.submitIdempotent(ctx, q, c, mayQueue); err != nil {
			return err
		}
		if answer, err = rd.readAll(ctx); err != nil {
			go r.release(rd.handle, "Cancel")
		}
		return err
	})
	if err != nil {
		r.writeProblem(w, r.idempotentProblem(err, false))
		return
	}
	go r.release(rd.handle, "Confirm")
	if chat {
		r.setToken(w, rd.handle)
	}
	r.writeAnswer(w, rd.handle.request, &completeAnswer{status: rd.status, header: rd.header, body: answer})
}

func (r *Router) setToken(w http.ResponseWriter, h handle) {
	token, err := r.sealToken(h)
	if err != nil {
		counters.Add("token_errors", 1)
		return
	}
	w.Header().Set(HeaderChatToken, token)
}

// writeModels writes the list of models that the customer's rules allow.
func writeModels(w http.ResponseWriter, c caller) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, svc := range c.adopted.Config.Services {
		if _, ok := servicePriority(c, svc.ID); !ok {
			continue
		}
		for _, name := range svc.Models {
			list.Data = append(list.Data, model{ID: name, Object: "model"})
		}
	}
	slices.SortFunc(list.Data, func(a, b model) int { return strings.Compare(a.ID, b.ID) })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
