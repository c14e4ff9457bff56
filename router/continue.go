package router

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// errNotContinuable reports that no engine can continue the answer: the
// delivered events contain something other than text, or the request itself
// asks to continue a message.
var errNotContinuable = errors.New("router: no engine can continue the answer")

// mayContinue reports whether another engine may continue the answer after
// err.
func (r *Router) mayContinue(ctx context.Context, s *stream, q *request, err error, attempt int) bool {
	if !s.keepDelivered || errors.Is(err, errCallerLeft) || errors.Is(err, errNotContinuable) {
		return false
	}
	return r.shouldRetry(ctx, q, err, attempt)
}

// continueStream submits the rest of the answer to another engine, starting
// after what the caller has received, and relays it. It returns the new answer
// reader, or last if no engine accepted the request.
func (r *Router) continueStream(ctx context.Context, s *stream, q *request, body *chatBody, upstreams *upstreamIterator, last *answerReader) (*answerReader, error) {
	rest, err := remainingRequest(body, s.delivered)
	if err != nil {
		return last, err
	}
	next := *q
	next.resume = true
	if next.body, err = rest.encode(q.priority); err != nil {
		return last, err
	}
	c, ok := upstreams.next()
	if !ok {
		return last, errNoUpstream
	}
	rd, err := r.submitIdempotent(ctx, &next, c, true)
	if err != nil {
		return last, err
	}
	return rd, r.relayContinued(ctx, s, rd)
}

// relayContinued relays the continued answer. Its event identifiers carry the
// sealed handle of the new engine, because the chat token that the caller has
// names the failed one.
func (r *Router) relayContinued(ctx context.Context, s *stream, rd *answerReader) error {
	first, err := rd.next(ctx)
	if err != nil {
		return err
	}
	if !isEventStream(rd) {
		return errTruncated
	}
	prefix, err := r.sealToken(rd.handle)
	if err != nil {
		return err
	}
	counters.Add("streams_continued", 1)
	s.restart(prefix)
	return s.relay(ctx, rd, first)
}

// chunk is the part of a chat completion chunk that is needed to continue an
// answer.
type chunk struct {
	Choices []struct {
		Delta map[string]json.RawMessage `json:"delta"`
	} `json:"choices"`
}

// deliveredText returns the text of the delivered events and the number of
// events that contain text.
func deliveredText(events []byte) (text string, textEvents int, err error) {
	var b strings.Builder
	for line := range bytes.Lines(events) {
		data, found := bytes.CutPrefix(line, []byte("data:"))
		if !found {
			continue
		}
		part, err := chunkText(data)
		if err != nil {
			return "", 0, err
		}
		if part != "" {
			textEvents++
		}
		b.WriteString(part)
	}
	return b.String(), textEvents, nil
}

// chunkText returns the text of one chunk.
func chunkText(data []byte) (string, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return "", errors.Mark(errors.Wrap(err, "router: decode chunk"), errNotContinuable)
	}
	if len(c.Choices) == 0 {
		return "", nil
	}
	for name, raw := range c.Choices[0].Delta {
		if name != "role" && name != "content" && string(raw) != "null" {
			return "", errNotContinuable
		}
	}
	var text string
	raw, ok := c.Choices[0].Delta["content"]
	if !ok || string(raw) == "null" {
		return "", nil
	}
	err := json.Unmarshal(raw, &text)
	return text, errors.Wrap(err, "router: decode chunk text")
}

// remainingRequest returns the request for the rest of an answer: the
// conversation, followed by the delivered text as an unfinished assistant
// message.
func remainingRequest(body *chatBody, events []byte) (*chatBody, error) {
	text, textEvents, err := deliveredText(events)
	if err != nil {
		return nil, err
	}
	if string(body.fields["continue_final_message"]) == "true" {
		return nil, errNotContinuable
	}
	message, err := json.Marshal(struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}{"assistant", text})
	if err != nil {
		return nil, errors.Wrap(err, "router: encode partial answer")
	}
	messages, err := json.Marshal(append(append([]json.RawMessage(nil), body.Messages...), message))
	if err != nil {
		return nil, errors.Wrap(err, "router: encode messages")
	}
	rest := *body
	rest.fields = maps.Clone(body.fields)
	rest.fields["messages"] = messages
	rest.fields["continue_final_message"] = json.RawMessage("true")
	rest.fields["add_generation_prompt"] = json.RawMessage("false")
	reduceTokenLimits(rest.fields, textEvents)
	return &rest, nil
}

// reduceTokenLimits subtracts the tokens already delivered from the token
// limits of the request, which stay at least 1. Each event with text counts as
// one token.
func reduceTokenLimits(fields map[string]json.RawMessage, delivered int) {
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		var limit int
		if err := json.Unmarshal(fields[name], &limit); err == nil && limit > 0 {
			fields[name] = json.RawMessage(strconv.Itoa(max(1, limit-delivered)))
		}
	}
}
