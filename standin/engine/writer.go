package engine

import (
	"encoding/json"
	"net/http"
	"strings"

	"dandelionrill.example/standin/internal/control"
)

// completionID is the id of every answer; callers distinguish requests by their
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

// writer writes an answer, either as one JSON body or as a stream of events.
type writer interface {
	writeToken(text string) error
	finish(finishReason string, u usage) error
	flush()        // sends what is buffered
	writeGarbage() // writes invalid JSON
}

func newWriter(w http.ResponseWriter, name string, r request) writer {
	template := completion{ID: completionID, Model: r.Model, Fingerprint: name}
	if !r.Stream {
		template.Object = "chat.completion"
		return &jsonWriter{w: w, template: template}
	}
	template.Object = "chat.completion.chunk"
	return &streamWriter{
		w: w, flusher: http.NewResponseController(w), template: template,
		role: "assistant", includeUsage: r.StreamOptions.IncludeUsage,
	}
}

// jsonWriter writes the answer as one JSON body.
type jsonWriter struct {
	w        http.ResponseWriter
	template completion
	text     strings.Builder
}

func (o *jsonWriter) writeToken(text string) error {
	o.text.WriteString(text)
	return nil
}

func (o *jsonWriter) finish(finishReason string, u usage) error {
	o.template.Choices = []choice{{
		Message:      &Message{Role: "assistant", Content: o.text.String()},
		FinishReason: &finishReason,
	}}
	o.template.Usage = &u
	control.WriteJSON(o.w, http.StatusOK, o.template)
	return nil
}

func (o *jsonWriter) flush() {}

func (o *jsonWriter) writeGarbage() { _, _ = o.w.Write([]byte("{\"choices\": \x00\xff")) }

// streamWriter writes the answer as server-sent events, one per token.
type streamWriter struct {
	w            http.ResponseWriter
	flusher      *http.ResponseController
	template     completion
	role         string // set only until the first event is sent
	includeUsage bool
	started      bool
}

func (o *streamWriter) writeToken(text string) error {
	o.template.Choices = []choice{{Delta: &delta{Role: o.role, Content: text}}}
	o.role = ""
	return o.writeEvent()
}

func (o *streamWriter) finish(finishReason string, u usage) error {
	o.template.Choices = []choice{{Delta: &delta{}, FinishReason: &finishReason}}
	if err := o.writeEvent(); err != nil {
		return err
	}
	if o.includeUsage {
		o.template.Choices, o.template.Usage = []choice{}, &u
		if err := o.writeEvent(); err != nil {
			return err
		}
	}
	return o.write([]byte("data: [DONE]\n\n"))
}

func (o *streamWriter) writeEvent() error {
	encoded, err := json.Marshal(o.template)
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

func (o *streamWriter) writeGarbage() { _ = o.write([]byte("data: {\"choices\": \x00\xff\n\n")) }
