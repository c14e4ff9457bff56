package gossip

import (
	"dandelionrill.example/fleet/internal/panics"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

// errPanicked means that a panic ended an exchange with a peer.
var errPanicked = errors.New("gossip: panic")

// recoverCall ends a panic of the method that defers it, which another router has called, and
// sets the error that this one gets.
func (m *Mesh) recoverCall(method string, err *error) {
	if value := recover(); value != nil {
		m.reportPanic(service+"."+method, "", value)
		*err = errPanicked
	}
}

// recoverPanic ends a panic of the goroutine that defers it, which works for a peer.
func (m *Mesh) recoverPanic(where, peer string) {
	if value := recover(); value != nil {
		m.reportPanic(where, peer, value)
	}
}

func (m *Mesh) reportPanic(where, peer string, value any) {
	panics.Report(m.opts.Log, where, value, log.Fields{"peer": peer})
}
