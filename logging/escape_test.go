package logging

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/text"
	"github.com/shoenig/test/must"
)

// Guards against texts of other processes that end a log line, or command the terminal that shows
// it: each entry must be one line, without their control bytes.
func TestControlBytesDoNotEndALogLine(t *testing.T) {
	for b := range 128 {
		if b >= 32 && b != 127 {
			continue
		}
		c := string([]byte{byte(b)})
		for _, value := range []string{c + "xy", "x" + c + "y", "xy" + c} {
			for name, handlerTo := range map[string]func(*bytes.Buffer) log.Handler{
				"text": func(out *bytes.Buffer) log.Handler { return escapingHandler{text.New(out)} },
				"json": func(out *bytes.Buffer) log.Handler { return newHandler(out) },
			} {
				var out bytes.Buffer
				logger := &log.Logger{Handler: handlerTo(&out), Level: log.InfoLevel}
				logger.WithError(errors.New(value)).WithField("entry", value).Info(value)
				line, rest, _ := strings.Cut(out.String(), "\n")
				must.Eq(t, "", rest, must.Sprintf("%s %q", name, value))
				if name == "json" {
					var decoded struct{ Fields map[string]string }
					must.NoError(t, json.Unmarshal([]byte(line), &decoded))
					must.Eq(t, value, decoded.Fields["entry"])
					continue
				}
				line = strings.NewReplacer("\x1b[0m", "", "\x1b[34m", "").Replace(line) // the handler's own colors
				must.False(t, strings.Contains(line, c), must.Sprintf("%q", line))
			}
		}
	}
}
