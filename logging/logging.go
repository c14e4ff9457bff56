// Package logging creates the logger of a process, which writes text to a terminal
// and JSON lines elsewhere. Processes that use New log changes of state only and
// count requests with expvar; NewBounded is for the gateway, which also logs
// requests.
package logging

import (
	"io"
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
	"github.com/cockroachdb/errors"
)

// Levels are the names that Options.Level accepts.
var Levels = []string{"debug", "info", "warn", "error"}

// Options configures a logger.
type Options struct {
	Level   string    // one of Levels; empty means info
	Output  io.Writer // nil means standard error
	Process string    // host and role, added to every line
}

// New returns a logger that is safe for concurrent use.
func New(opts Options) (log.Interface, error) {
	if opts.Level == "" {
		opts.Level = "info"
	}
	level, err := parseLevel(opts.Level)
	if err != nil {
		return nil, err
	}
	if opts.Output == nil {
		opts.Output = os.Stderr
	}
	logger := &log.Logger{Level: level, Handler: newHandler(opts.Output)}
	if opts.Process == "" {
		return logger, nil
	}
	return logger.WithField("process", opts.Process), nil
}

func parseLevel(name string) (log.Level, error) {
	level, err := log.ParseLevel(name)
	if err != nil {
		return level, errors.Newf("log level %q: one of %v", name, Levels)
	}
	return level, nil
}

func newHandler(w io.Writer) log.Handler {
	if isTerminal(w) {
		return escapingHandler{text.New(w)}
	}
	return json.New(w)
}

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
