package board

import (
	"slices"
	"time"

	"dandelionrill.example/fleet/store"
	"dandelionrill.example/fleet/wire"
)

const (
	// minHold and maxHold bound how long a host that refused is not chosen: the
	// hold doubles with each refusal in a row.
	minHold = 2 * time.Second
	maxHold = 30 * time.Second
	// leavingMark is how long a host's own word that it is leaving keeps it from
	// being chosen. It is said again by each refusal; a process that was started
	// anew at the same address is found when the mark ends.
	leavingMark = 10 * time.Second
	// forgetAfter is how long what is known of an unlisted host is kept.
	forgetAfter = 2 * time.Minute
	// retiredCount is how many earlier incarnations of a host are remembered.
	retiredCount = 4
)

// EvidenceKind tells what a process learnt of a peer first-hand.
type EvidenceKind uint8

// The kinds of evidence.
const (
	EvidenceAlive        EvidenceKind = iota + 1 // it took work, or answered it
	EvidenceHeard                                // it answered a message: the process runs, its upstream may not
	EvidenceLeaving                              // it said itself that it is leaving
	EvidenceRefused                              // it refused the connection: nothing was sent
	EvidenceTimeout                              // it did not answer in time
	EvidenceUpstreamDown                         // it answered that its upstream is down
)

// Evidence is one first-hand observation of a peer.
type Evidence struct {
	Host          string
	Address       string // at which it was met; empty if that is not known
	Kind          EvidenceKind
	Incarnation   string     // of the process that answered; empty if none did
	ConfigVersion uint64     // that the answer carried; 0 if none
	Load          *wire.Load // that the answer carried; nil if none
}

// own is what a peer said of itself.
type own struct {
	incarnation   string
	leavingUntil  time.Duration
	configVersion uint64
}

// hostEntry is what is known of one host. Its shard's lock guards it.
type hostEntry struct {
	listed       Entry[store.Host]
	present      bool          // the last host list has the host
	unlistedAt   time.Duration // since when not, if present is false
	own          Entry[own]
	retired      []string // earlier incarnations: late answers of theirs are ignored
	load         Entry[*wire.Load]
	holdUntil    time.Duration
	hold         time.Duration // the last hold, to be doubled
	holdCause    EvidenceKind
	wasChoosable bool // when last announced
}

func (e *hostEntry) list(h store.Host, version uint64, at time.Duration) {
	if e.listed.Value.Address != h.Address {
		e.forgetPredecessor()
	}
	e.present = true
	e.listed = Entry[store.Host]{Value: h, Origin: OriginHostList, Version: version, At: at}
}

func (e *hostEntry) unlist(at time.Duration) {
	if e.present {
		e.present, e.unlistedAt = false, at
	}
}

// forgetPredecessor drops what another process of the same name left behind.
func (e *hostEntry) forgetPredecessor() {
	if e.own.Value.incarnation != "" {
		e.retire(e.own.Value.incarnation)
	}
	e.own.Value = own{}
	e.load = Entry[*wire.Load]{}
	e.clearHold()
}

func (e *hostEntry) retire(incarnation string) {
	e.retired = append(e.retired, incarnation)
	e.retired = e.retired[max(0, len(e.retired)-retiredCount):]
}

func (e *hostEntry) clearHold() { e.hold, e.holdUntil = 0, 0 }

func (e *hostEntry) observe(evidence Evidence, at time.Duration) {
	if evidence.Address != "" && e.present && evidence.Address != e.listed.Value.Address {
		return // of another process of the same name
	}
	if evidence.Incarnation != "" && !e.takeIncarnation(evidence.Incarnation) {
		return
	}
	switch evidence.Kind {
	case EvidenceAlive:
		e.clearHold()
	case EvidenceHeard:
		if e.holdCause != EvidenceUpstreamDown {
			e.clearHold()
		}
	case EvidenceLeaving:
		e.own.Value.leavingUntil = at + leavingMark
	case EvidenceRefused, EvidenceTimeout, EvidenceUpstreamDown:
		e.extendHold(at, evidence.Kind)
	}
	if evidence.Incarnation == "" {
		return
	}
	e.own.At, e.own.Origin = at, Origin(evidence.Host)
	e.own.Version++
	e.own.Value.configVersion = max(e.own.Value.configVersion, evidence.ConfigVersion)
	if evidence.Load != nil {
		load := *evidence.Load
		e.load = Entry[*wire.Load]{Value: &load, Origin: Origin(evidence.Host), Version: e.load.Version + 1, At: at}
	}
}

// takeIncarnation makes incarnation the current one, unless it is an earlier
// one. A new incarnation starts without the marks of its predecessor.
func (e *hostEntry) takeIncarnation(incarnation string) bool {
	if incarnation == e.own.Value.incarnation {
		return true
	}
	if slices.Contains(e.retired, incarnation) {
		return false
	}
	e.forgetPredecessor()
	e.own.Value.incarnation = incarnation
	return true
}

// extendHold starts a hold unless one runs: many requests that meet the same
// refusal count once.
func (e *hostEntry) extendHold(at time.Duration, cause EvidenceKind) {
	if at < e.holdUntil {
		return
	}
	e.hold = min(max(2*e.hold, minHold), maxHold)
	e.holdUntil = at + e.hold
	e.holdCause = cause
}

func (e *hostEntry) leaving(now time.Duration) bool {
	return !e.present || e.listed.Value.State != store.HostLive || now < e.own.Value.leavingUntil
}

func (e *hostEntry) choosable(now time.Duration) bool {
	return !e.leaving(now) && now >= e.holdUntil
}

func (e *hostEntry) forgettable(now time.Duration) bool {
	return !e.present && now-max(e.unlistedAt, e.own.At) > forgetAfter
}

// HostView is what is known of a host at one moment.
type HostView struct {
	store.Host
	Listed        bool          // the last host list has it
	Leaving       bool          // by the list, by its own word, or by its absence from the list
	ListedLive    bool          // the last host list has it as live
	Held          time.Duration // how long it is not to be chosen after it refused; 0 if it may be
	Incarnation   string        // that last answered; empty if none did
	ConfigVersion uint64        // that it last reported; 0 if none
	ListAge       time.Duration // of its row
	PeerAge       time.Duration // of its last own answer; meaningful if Incarnation is set
	Load          *Load         // nil if it reported none
}

// Choosable tells whether new work may be sent to the host.
func (v HostView) Choosable() bool { return !v.Leaving && v.Held == 0 }

func (e *hostEntry) view(name string, now time.Duration) HostView {
	v := HostView{
		Host:          e.listed.Value,
		Listed:        e.present,
		Leaving:       e.leaving(now),
		ListedLive:    e.present && e.listed.Value.State == store.HostLive,
		Held:          max(0, e.holdUntil-now),
		Incarnation:   e.own.Value.incarnation,
		ConfigVersion: e.own.Value.configVersion,
		ListAge:       now - e.listed.At,
		PeerAge:       now - e.own.At,
	}
	v.Name = name
	if e.load.Value != nil {
		v.Load = &Load{Load: *e.load.Value, Age: now - e.load.At}
	}
	return v
}
