package logging

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"
)

func TestNew(t *testing.T) {
	var b bytes.Buffer
	l, err := New(Options{Level: "warn", Output: &b, Process: "r1/router"})
	must.NoError(t, err)
	l.Info("hidden")
	l.WithField("version", 3).Warn("adopted\nforged")
	var line struct {
		Message string
		Level   string
		Fields  map[string]any
	}
	must.NoError(t, json.Unmarshal(b.Bytes(), &line))
	must.Eq(t, "warn", line.Level)
	must.Eq(t, "r1/router", line.Fields["process"].(string))
	must.Eq(t, 1, bytes.Count(b.Bytes(), []byte("\n")))
	_, err = New(Options{Level: "loud"})
	must.ErrorContains(t, err, `"loud"`)
}
