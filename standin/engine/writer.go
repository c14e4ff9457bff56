package engine

import (
	"encoding/json"
	"net/http"
	"strings"

	"dandelionrill.example/standin/internal/control"
)

// completionID is the id of every answer; callers hold requests apart by their
// connections.
const completionID = "chatcmpl-standin"

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    promptDetails `json:"prompt_tokens_details"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *delta   `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type completion struct {
	ID          string   `json:"id"`
	Object      string   `json:"object"`
	Created     int64    `json:"created"`
	Model       string   `json:"model"`
	Fingerprint string   `json:"system_fingerprint"`
	Choices     []choice `json:"choices"`
	Usage       *usage   `json:"usage,omitempty"`
}

// writer writes an answer in one of the two shapes.
type writer interface {
	token(text string) error
	end(finishReason string, u usage) error
	flush()   // sends what there is
	garbage() // breaks the answer's syntax
}

func newWriter(w http.ResponseWriter, name string, r request) writer {
	shape := completion{ID: completionID, Model: r.Model, Fingerprint: name}
	if !r.Stream {
		shape.Object = "chat.completion"
		return &wholeWriter{w: w, shape: shape}
	}
	shape.Object = "chat.completion.chunk"
	return &streamWriter{
		w: w, flusher: http.NewResponseController(w), shape: shape,
		role: "assistant", includeUsage: r.StreamOptions.IncludeUsage,
	}
}

// wholeWriter writes the answer in one piece.
type wholeWriter struct {
	w     http.ResponseWriter
	shape completion
	text  strings.Builder
}

func (o *wholeWriter) token(text string) error {
	o.text.WriteString(text)
	return nil
}

func (o *wholeWriter) end(finishReason string, u usage) error {
	o.shape.Choices = []choice{{
		Message:      &Message{Role: "assistant", Content: o.text.String()},
		FinishReason: &finishReason,
	}}
	o.shape.Usage = &u
	control.WriteJSON(o.w, http.StatusOK, o.shape)
	return nil
}

func (o *wholeWriter) flush() {}

func (o *wholeWriter) garbage() { _, _ = o.w.Write([]byte("{\"choices\": \x00\xff")) }

// streamWriter writes the answer as server-sent events, one a token.
type streamWriter struct {
	w            http.ResponseWriter
	flusher      *http.ResponseController
	shape        completion
	role         string // for the first event
	includeUsage bool
	started      bool
}

func (o *streamWriter) token(text string) error {
	o.shape.Choices = []choice{{Delta: &delta{Role: o.role, Content: text}}}
	o.role = ""
	return o.event()
}

func (o *streamWriter) end(finishReason string, u usage) error {
	o.shape.Choices = []choice{{Delta: &delta{}, FinishReason: &finishReason}}
	if err := o.event(); err != nil {
		return err
	}
	if o.includeUsage {
		o.shape.Choices, o.shape.Usage = []choice{}, &u
		if err := o.event(); err != nil {
			return err
		}
	}
	return o.write([]byte("data: [DONE]\n\n"))
}

func (o *streamWriter) event() error {
	encoded, err := json.Marshal(o.shape)
	if err != nil {
		return err
	}
	line := append([]byte("data: "), encoded...)
	return o.write(append(line, '\n', '\n'))
}

func (o *streamWriter) write(data []byte) error {
	o.start()
	if _, err := o.w.Write(data); err != nil {
		return err
	}
	return o.flusher.Flush()
}

func (o *streamWriter) start() {
	if o.started {
		return
	}
	o.started = true
	o.w.Header().Set("Content-Type", "text/event-stream")
	o.w.Header().Set("Cache-Control", "no-cache")
}

func (o *streamWriter) flush() {
	o.start()
	_ = o.flusher.Flush()
}

func (o *streamWriter) garbage() { _ = o.write([]byte("data: {\"choices\": \x00\xff\n\n")) }
