package board

import (
	"slices"
	"time"

	"dandelionrill.example/fleet/store"
	"dandelionrill.example/fleet/wire"
)

const (
	// minBackoff and maxBackoff limit the time for which a host is not chosen
	// after it refused a connection, did not answer in time or reported that
	// its upstream is down. The time doubles with each consecutive failure.
	minBackoff = 2 * time.Second
	maxBackoff = 30 * time.Second
	// leavingReportTTL is the time for which a host is not chosen after it
	// reported that it is leaving. Each refusal of the host renews the report.
	// When the time has passed, a new process at the same address is found.
	leavingReportTTL = 10 * time.Second
	// unlistedRetention is the time for which the state of a host is kept after
	// the host was last listed or heard from.
	unlistedRetention = 2 * time.Minute
	// maxPastIncarnations is the number of past incarnations of a host that are
	// kept.
	maxPastIncarnations = 4
)

// EvidenceKind is the kind of a first-hand observation of a peer.
type EvidenceKind uint8

// Kinds of evidence.
const (
	EvidenceAlive        EvidenceKind = iota + 1 // it accepted or answered work
	EvidenceReachable                            // it answered a message: the process runs, but its upstream may be down
	EvidenceLeaving                              // it reported that it is leaving
	EvidenceRefused                              // it refused the connection; nothing was sent
	EvidenceTimeout                              // it did not answer in time
	EvidenceUpstreamDown                         // it reported that its upstream is down
)

// Evidence is one first-hand observation of a peer.
type Evidence struct {
	Host          string
	Address       string // at which the peer was contacted; empty if not known
	Kind          EvidenceKind
	Incarnation   string     // of the process that answered; empty if there was no answer
	ConfigVersion uint64     // in the answer; 0 if none
	Load          *wire.Load // in the answer; nil if none
}

// selfReport is what a peer reported about itself.
type selfReport struct {
	incarnation   string
	leavingUntil  time.Duration
	configVersion uint64
}

// hostEntry is the state of one host. It is guarded by the lock of its shard.
type hostEntry struct {
	listed           Entry[store.Host]
	inLastList       bool          // the last host list contains the host
	unlistedAt       time.Duration // since when it does not, if inLastList is false
	reported         Entry[selfReport]
	pastIncarnations []string // their late answers are ignored
	load             Entry[*wire.Load]
	backoffUntil     time.Duration
	backoff          time.Duration // duration of the last backoff, doubled for the next one
	backoffCause     EvidenceKind
	wasAvailable     bool // value of available at the last update or expiry
}

func (e *hostEntry) recordListed(h store.Host, version uint64, at time.Duration) {
	if e.listed.Value.Address != h.Address {
		e.resetProcessState()
	}
	e.inLastList = true
	e.listed = Entry[store.Host]{Value: h, Origin: OriginHostList, Version: version, At: at}
}

func (e *hostEntry) recordUnlisted(at time.Duration) {
	if e.inLastList {
		e.inLastList, e.unlistedAt = false, at
	}
}

// resetProcessState discards the state that belongs to a previous process of
// the same host name.
func (e *hostEntry) resetProcessState() {
	if e.reported.Value.incarnation != "" {
		e.addPastIncarnation(e.reported.Value.incarnation)
	}
	e.reported.Value = selfReport{}
	e.load = Entry[*wire.Load]{}
	e.clearBackoff()
}

func (e *hostEntry) addPastIncarnation(incarnation string) {
	e.pastIncarnations = append(e.pastIncarnations, incarnation)
	e.pastIncarnations = e.pastIncarnations[max(0, len(e.pastIncarnations)-maxPastIncarnations):]
}

func (e *hostEntry) clearBackoff() { e.backoff, e.backoffUntil = 0, 0 }

func (e *hostEntry) observe(evidence Evidence, at time.Duration) {
	if evidence.Address != "" && e.inLastList && evidence.Address != e.listed.Value.Address {
		return // about another process of the same host name
	}
	if evidence.Incarnation != "" && !e.acceptIncarnation(evidence.Incarnation) {
		return
	}
	switch evidence.Kind {
	case EvidenceAlive:
		e.clearBackoff()
	case EvidenceReachable:
		if e.backoffCause != EvidenceUpstreamDown {
			e.clearBackoff()
		}
	case EvidenceLeaving:
		e.reported.Value.leavingUntil = at + leavingReportTTL
	case EvidenceRefused, EvidenceTimeout, EvidenceUpstreamDown:
		e.startBackoff(at, evidence.Kind)
	}
	if evidence.Incarnation == "" {
		return
	}
	e.reported.At, e.reported.Origin = at, Origin(evidence.Host)
	e.reported.Version++
	e.reported.Value.configVersion = max(e.reported.Value.configVersion, evidence.ConfigVersion)
	if evidence.Load != nil {
		load := *evidence.Load
		e.load = Entry[*wire.Load]{Value: &load, Origin: Origin(evidence.Host), Version: e.load.Version + 1, At: at}
	}
}

// acceptIncarnation makes incarnation the current one and reports whether the
// evidence is to be used. It returns false for a past incarnation. A new
// incarnation starts without the state of the previous one.
func (e *hostEntry) acceptIncarnation(incarnation string) bool {
	if incarnation == e.reported.Value.incarnation {
		return true
	}
	if slices.Contains(e.pastIncarnations, incarnation) {
		return false
	}
	e.resetProcessState()
	e.reported.Value.incarnation = incarnation
	return true
}

// startBackoff starts a backoff unless one is in progress, so that many
// requests that meet the same failure count once.
func (e *hostEntry) startBackoff(at time.Duration, cause EvidenceKind) {
	if at < e.backoffUntil {
		return
	}
	e.backoff = min(max(2*e.backoff, minBackoff), maxBackoff)
	e.backoffUntil = at + e.backoff
	e.backoffCause = cause
}

func (e *hostEntry) leaving(now time.Duration) bool {
	return !e.inLastList || e.listed.Value.State != store.HostLive || now < e.reported.Value.leavingUntil
}

func (e *hostEntry) available(now time.Duration) bool {
	return !e.leaving(now) && now >= e.backoffUntil
}

func (e *hostEntry) removable(now time.Duration) bool {
	return !e.inLastList && now-max(e.unlistedAt, e.reported.At) > unlistedRetention
}

// HostView is the state of a host at one moment.
type HostView struct {
	store.Host
	Listed           bool          // the last host list contains the host
	Leaving          bool          // according to the host list, the host itself, or its absence from the list
	ListedLive       bool          // the last host list contains the host as live
	BackoffRemaining time.Duration // remaining backoff, during which the host is not chosen; 0 if none
	Incarnation      string        // of the process that answered last; empty if none did
	ConfigVersion    uint64        // last version that the host reported; 0 if none
	ListAge          time.Duration // age of the row in the host list
	PeerAge          time.Duration // age of the last answer of the host; valid if Incarnation is set
	Load             *Load         // nil if the host reported none
}

// Available reports whether new work may be sent to the host.
func (v HostView) Available() bool { return !v.Leaving && v.BackoffRemaining == 0 }

func (e *hostEntry) view(name string, now time.Duration) HostView {
	v := HostView{
		Host:             e.listed.Value,
		Listed:           e.inLastList,
		Leaving:          e.leaving(now),
		ListedLive:       e.inLastList && e.listed.Value.State == store.HostLive,
		BackoffRemaining: max(0, e.backoffUntil-now),
		Incarnation:      e.reported.Value.incarnation,
		ConfigVersion:    e.reported.Value.configVersion,
		ListAge:          now - e.listed.At,
		PeerAge:          now - e.reported.At,
	}
	v.Name = name
	if e.load.Value != nil {
		v.Load = &Load{Load: *e.load.Value, Age: now - e.load.At}
	}
	return v
}
