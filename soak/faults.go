package soak

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Faults are the faults of a soak that are not part of every soak, by name. The zero
// value has none.
type Faults []string

// The faults that Options.Faults may name.
const (
	FaultSilence    = "silence"     // a phase in which upstreams fall silent and go on
	FaultVersions   = "versions"    // upstreams of several versions, and callers that take streams up again
	FaultLeaving    = "leaving"     // upstreams that say in their answers that they leave
	FaultRetryAfter = "retry-after" // upstreams that turn requests away and say for how long
	FaultLimits     = "limits"      // upstreams that name the requests a second that they take
	FaultTrouble    = "trouble"     // upstreams whose answers end inside an event, or never
	FaultParts      = "parts"       // a prompt part that crashes each upstream that answers it
	FaultRequests   = "requests"    // a request that comes again and crashes each upstream that runs it
	FaultStops      = "stops"       // stops of routers with repeated signals, and slow streams meanwhile
	FaultRestart    = "restart"     // all routers killed at once, with upstreams of several versions
	FaultSessions   = "sessions"    // as restart, with streams of sessions, after the upstreams of a version have left
	FaultTurns      = "turns"       // all routers killed at once, with streams of sessions; no upstream leaves
	FaultLoss       = "loss"        // one router killed, with streams of sessions; no upstream leaves
	FaultCold       = "cold"        // new upstreams that are cold for a time
	FaultEvacuation = "evacuation"  // evacuated failure domains
	FaultQueue      = "queue"       // more plain requests than their pool has slots
	FaultCopies     = "copies"      // upstreams that write answers a second time, late
	FaultCrowd      = "crowd"       // callers that do not end their bodies
	FaultEntries    = "entries"     // entries of another writer beside those of the upstreams
)

var knownFaults = Faults{FaultSilence, FaultVersions, FaultLeaving, FaultRetryAfter, FaultLimits, FaultTrouble, FaultParts, FaultRequests, FaultStops, FaultRestart, FaultSessions, FaultTurns, FaultLoss, FaultCold, FaultEvacuation, FaultQueue, FaultCopies, FaultCrowd, FaultEntries}

// ParseFaults reads names separated by commas. It returns an error for a name that is
// not known.
func ParseFaults(text string) (Faults, error) {
	var faults Faults
	for name := range strings.SplitSeq(text, ",") {
		switch {
		case name == "":
		case knownFaults.has(name):
			faults = append(faults, name)
		default:
			return nil, errors.Newf("soak: fault %q is not one of %s", name, strings.Join(knownFaults, ", "))
		}
	}
	return faults, nil
}

// hasVersions reports whether there are upstreams of several versions.
func (f Faults) hasVersions() bool {
	return f.has(FaultVersions) || f.has(FaultRestart) || f.has(FaultSessions) || f.has(FaultTurns) || f.has(FaultLoss)
}

func (f Faults) has(name string) bool { return slices.Contains(f, name) }
