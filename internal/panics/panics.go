// Package panics ends a panic of a goroutine, logs and counts it. A panic that nothing
// recovers ends the process, with all requests in progress; net/http recovers only those of
// the goroutines that call its handlers, and net/rpc none.
package panics

import (
	"expvar"
	"fmt"
	"runtime/debug"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

// counters are the panics by where they happened, published by expvar under "panics".
var counters = expvar.NewMap("panics")

// Report logs and counts a value that was recovered. where names the task that ended; the
// fields tell for which request or peer it ran.
func Report(logger log.Interface, where string, value any, fields log.Fields) {
	counters.Add(where, 1)
	logger.WithFields(fields).WithFields(log.Fields{
		"where": where, "panic": fmt.Sprint(value), "stack": string(debug.Stack()),
	}).Error("panic; only this task ends")
}

// Count returns the number of panics reported for where.
func Count(where string) int64 {
	if n, ok := counters.Get(where).(*expvar.Int); ok {
		return n.Value()
	}
	return 0
}

// Recover ends a panic of the goroutine that defers it, and reports it.
func Recover(logger log.Interface, where string, fields log.Fields) {
	if value := recover(); value != nil {
		Report(logger, where, value, fields)
	}
}

// RecoverError is like Recover, and sets the error that the function returns.
func RecoverError(logger log.Interface, where string, err *error) {
	if value := recover(); value != nil {
		Report(logger, where, value, nil)
		*err = errors.Newf("%s: internal error", where)
	}
}
