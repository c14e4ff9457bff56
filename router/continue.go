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

// errNoText says that delivered events hold something other than text, which
// no engine continues.
var errNoText = errors.New("router: the delivered part is not plain text")

// mayContinue tells whether another engine may continue the answer after err.
func (r *Router) mayContinue(ctx context.Context, s *stream, q *request, err error, made int) bool {
	if !s.keep || errors.Is(err, errCallerLeft) || errors.Is(err, errNoText) {
		return false
	}
	return r.again(ctx, q, err, made)
}

// continueStream lets another engine go on from what the caller has received.
// It returns the reader of the engine's answer, or the last one if no engine
// was found.
func (r *Router) continueStream(ctx context.Context, s *stream, q *request, body *chatBody, ch *chooser, last *reader) (*reader, error) {
	rest, err := remainder(body, s.sent)
	if err != nil {
		return last, err
	}
	next := *q
	next.resume = true
	if next.body, err = rest.encode(q.priority); err != nil {
		return last, err
	}
	c, ok := ch.next()
	if !ok {
		return last, errNoUpstream
	}
	rd, err := r.handOver(ctx, &next, c, true)
	if err != nil {
		return last, err
	}
	return rd, r.relayContinued(ctx, s, rd)
}

// relayContinued passes on the answer of the engine that continues. Its event
// identifiers carry the sealed handle, since the chat token that the caller
// holds names the engine that was lost.
func (r *Router) relayContinued(ctx context.Context, s *stream, rd *reader) error {
	first, err := rd.next(ctx)
	if err != nil {
		return err
	}
	if !isEventStream(rd) {
		return errCut
	}
	prefix, err := r.sealToken(rd.handle)
	if err != nil {
		return err
	}
	counters.Add("streams_continued", 1)
	s.restart(prefix)
	return s.relay(ctx, rd, first)
}

// chunk is the part of a chat completion chunk that continuing needs.
type chunk struct {
	Choices []struct {
		Delta map[string]json.RawMessage `json:"delta"`
	} `json:"choices"`
}

// deliveredText returns the text of delivered events and the number of events
// that carried some.
func deliveredText(events []byte) (text string, count int, err error) {
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
			count++
		}
		b.WriteString(part)
	}
	return b.String(), count, nil
}

// chunkText returns the text of one chunk.
func chunkText(data []byte) (string, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return "", errors.Mark(errors.Wrap(err, "router: decode chunk"), errNoText)
	}
	if len(c.Choices) == 0 {
		return "", nil
	}
	for name, raw := range c.Choices[0].Delta {
		if name != "role" && name != "content" && string(raw) != "null" {
			return "", errNoText
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

// remainder returns the request for the rest of an answer: the conversation
// with the delivered text as the assistant's unfinished message.
func remainder(body *chatBody, events []byte) (*chatBody, error) {
	text, count, err := deliveredText(events)
	if err != nil {
		return nil, err
	}
	if string(body.fields["continue_final_message"]) == "true" {
		return nil, errNoText
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
	lowerLimit(rest.fields, count)
	return &rest, nil
}

// lowerLimit takes the tokens already delivered off the answer's limit.
func lowerLimit(fields map[string]json.RawMessage, count int) {
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		var limit int
		if err := json.Unmarshal(fields[name], &limit); err == nil && limit > 0 {
			fields[name] = json.RawMessage(strconv.Itoa(max(1, limit-count)))
		}
	}
}
