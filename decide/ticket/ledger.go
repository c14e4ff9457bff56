package ticket

// Decision is the result of submitting a ticket to a ledger or revoking it there.
type Decision uint8

// Possible decisions.
const (
	DecisionInvalid        Decision = iota // the window is zero or later than the open one
	DecisionAccepted                       // Submit: new and now pending; call Start or Refuse next
	DecisionKnown                          // Submit: already pending, started or finished; Revoke: already started or finished
	DecisionDigestMismatch                 // the ticket is bound to a different request
	DecisionMayHaveRun                     // another incarnation or an expired window: this ledger has no record of it and will not start it
	DecisionNotRun                         // never started and never will be
	DecisionFull                           // Submit: like DecisionNotRun, because the ledger is full or has sealed the window
)

// Phase is the state of a ticket in a ledger.
type Phase uint8

// Possible phases.
const (
	PhaseUnknown Phase = iota
	PhasePending       // submitted, not started
	PhaseStarted       // handed to the upstream, outcome not known yet
	PhaseAnswered
	PhaseLost   // started, and its outcome cannot be determined
	PhaseNotRun // refused or revoked before it started: final
)

// Outcome is the result of a started request.
type Outcome uint8

// Possible outcomes.
const (
	OutcomeAnswered Outcome = iota + 1
	OutcomeLost
)

// Defaults of Options.
const (
	DefaultWindows    = 3
	DefaultMaxRecords = 100_000
)

// Options configures a ledger.
type Options struct {
	Incarnation string
	Windows     int // windows retained, including the open one; DefaultWindows if not positive
	MaxRecords  int // most records retained; DefaultMaxRecords if not positive
}

type record struct {
	digest string
	phase  Phase
}

// Ledger records the tickets of one agent incarnation. A record is retained until
// its window expires and is never evicted earlier. It is not safe for concurrent use.
type Ledger struct {
	opts          Options
	window        uint64
	sealedThrough uint64 // no unknown ticket of this window or an earlier one is ever accepted
	records       map[string]*record
	nonces        map[uint64][]string // by window
}

// NewLedger returns an empty ledger with window 1 open.
func NewLedger(opts Options) *Ledger {
	if opts.Windows <= 0 {
		opts.Windows = DefaultWindows
	}
	if opts.MaxRecords <= 0 {
		opts.MaxRecords = DefaultMaxRecords
	}
	return &Ledger{
		opts:    opts,
		window:  1,
		records: make(map[string]*record),
		nonces:  make(map[uint64][]string),
	}
}

// Window returns the number of the open window, in which new tickets are issued.
func (l *Ledger) Window() uint64 { return l.window }

// Records returns the number of records in the ledger.
func (l *Ledger) Records() int { return len(l.records) }

// Phase returns the phase of the ticket with the nonce; PhaseUnknown if the ledger
// has no record of it.
func (l *Ledger) Phase(nonce string) Phase {
	if r := l.records[nonce]; r != nil {
		return r.phase
	}
	return PhaseUnknown
}

// Forgotten reports whether the ledger has no record of t regardless of whether t
// started, because t belongs to another incarnation or to an expired window.
func (l *Ledger) Forgotten(t Ticket) bool {
	d, _ := l.decideWithoutRecord(t)
	return d == DecisionMayHaveRun
}

// Advance opens the next window and deletes the records of the window that expires.
// Pending tickets of that window can no longer start.
func (l *Ledger) Advance() {
	l.window++
	if l.window <= uint64(l.opts.Windows) {
		return
	}
	expired := l.window - uint64(l.opts.Windows)
	for _, nonce := range l.nonces[expired] {
		delete(l.records, nonce)
	}
	delete(l.nonces, expired)
}

// Submit decides on a request that arrives with the ticket t and has the BodyDigest
// digest. The caller must have checked that the customer and the service of the
// ticket match the request.
func (l *Ledger) Submit(t Ticket, digest string) Decision {
	if d, ok := l.decideWithoutRecord(t); ok {
		return d
	}
	if t.Digest != "" && t.Digest != digest {
		return DecisionDigestMismatch
	}
	if r := l.records[t.Nonce]; r != nil {
		return r.resubmit(digest)
	}
	if !l.add(t, &record{digest: digest, phase: PhasePending}) {
		return DecisionFull
	}
	return DecisionAccepted
}

func (r *record) resubmit(digest string) Decision {
	if r.digest != "" && r.digest != digest {
		return DecisionDigestMismatch
	}
	if r.phase == PhaseNotRun {
		return DecisionNotRun
	}
	return DecisionKnown
}

// Revoke ensures that the ticket never starts, unless it has already started
// (DecisionKnown) or may have (DecisionMayHaveRun).
func (l *Ledger) Revoke(t Ticket) Decision {
	if d, ok := l.decideWithoutRecord(t); ok {
		return d
	}
	r := l.records[t.Nonce]
	if r == nil {
		l.add(t, &record{digest: t.Digest, phase: PhaseNotRun}) // if the ledger is full, add seals the window instead
		return DecisionNotRun
	}
	l.Refuse(t.Nonce)
	if r.phase == PhaseNotRun {
		return DecisionNotRun
	}
	return DecisionKnown
}

// decideWithoutRecord returns true and the decision for tickets of which this ledger
// cannot have a record: those of another incarnation, of an expired window or of one
// that is not open yet.
func (l *Ledger) decideWithoutRecord(t Ticket) (Decision, bool) {
	switch {
	case t.Incarnation != l.opts.Incarnation:
		return DecisionMayHaveRun, true
	case t.Window > l.window || t.Window == 0:
		return DecisionInvalid, true
	case t.Window+uint64(l.opts.Windows) <= l.window:
		return DecisionMayHaveRun, true
	}
	return 0, false
}

// add stores a record. If the ledger is full, it seals the open window and all
// earlier ones instead, so that the unknown ticket is never accepted later. Sealing
// does not waste capacity: only Advance frees records, and it also opens an unsealed
// window.
func (l *Ledger) add(t Ticket, r *record) bool {
	if len(l.records) >= l.opts.MaxRecords {
		l.sealedThrough = l.window
	}
	if t.Window <= l.sealedThrough {
		return false
	}
	l.records[t.Nonce] = r
	l.nonces[t.Window] = append(l.nonces[t.Window], t.Nonce)
	return true
}

// Start marks a pending ticket as started and reports whether the request may run.
// It returns true at most once per nonce, and never after a refusal or revocation.
func (l *Ledger) Start(nonce string) bool {
	return l.transition(nonce, PhasePending, PhaseStarted)
}

// Refuse marks a pending ticket as not run, permanently.
func (l *Ledger) Refuse(nonce string) bool {
	return l.transition(nonce, PhasePending, PhaseNotRun)
}

// Finish records the outcome of a started ticket.
func (l *Ledger) Finish(nonce string, o Outcome) {
	if o == OutcomeAnswered {
		l.transition(nonce, PhaseStarted, PhaseAnswered)
		return
	}
	l.transition(nonce, PhaseStarted, PhaseLost)
}

func (l *Ledger) transition(nonce string, from, to Phase) bool {
	r := l.records[nonce]
	if r == nil || r.phase != from {
		return false
	}
	r.phase = to
	return true
}
