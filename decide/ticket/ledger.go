package ticket

// Decision is a ledger's answer to a submitted or revoked ticket.
type Decision uint8

// The decisions.
const (
	DecisionInvalid        Decision = iota // the window is greater than the open one
	DecisionHold                           // Submit: new, now held; Start or Refuse it
	DecisionKnown                          // held, started or finished before; Revoke: started or finished
	DecisionDigestMismatch                 // the ticket belongs to another body
	DecisionMayHaveRun                     // another incarnation or a passed window: forgotten here, never started here
	DecisionNotRun                         // never started and never will be
	DecisionFull                           // Submit: as DecisionNotRun, because no record is free
)

// Phase is the state of one ticket in a ledger.
type Phase uint8

// The phases.
const (
	PhaseUnknown Phase = iota
	PhaseHeld          // submitted, not started
	PhaseStarted       // handed to the upstream, no outcome yet
	PhaseAnswered
	PhaseLost   // started, and its outcome cannot be learned
	PhaseNotRun // refused or revoked before it started: final
)

// Outcome is how a started request ended.
type Outcome uint8

// The outcomes.
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
	Windows     int // windows kept, the open one included; DefaultWindows if not positive
	MaxRecords  int // records kept at most; DefaultMaxRecords if not positive
}

type record struct {
	digest string
	phase  Phase
}

// Ledger remembers the tickets of one agent incarnation. A record lives until
// its window passes; it is never evicted before. It is not safe for
// concurrent use.
type Ledger struct {
	opts    Options
	window  uint64
	sealed  uint64 // no unknown ticket of this window or an earlier one is ever held
	records map[string]*record
	nonces  map[uint64][]string // by window
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

// Window returns the number of the open window, which new tickets carry.
func (l *Ledger) Window() uint64 { return l.window }

// Records returns the number of records kept.
func (l *Ledger) Records() int { return len(l.records) }

// Phase returns the phase of the ticket with the nonce.
func (l *Ledger) Phase(nonce string) Phase {
	if r := l.records[nonce]; r != nil {
		return r.phase
	}
	return PhaseUnknown
}

// Forgotten tells whether the ledger keeps no record of t whether or not t
// started: t is of another incarnation or of a passed window.
func (l *Ledger) Forgotten(t Ticket) bool {
	d, _ := l.foreign(t)
	return d == DecisionMayHaveRun
}

// Advance opens the next window and forgets the records of the window that
// passes. A ticket held in it can no longer start.
func (l *Ledger) Advance() {
	l.window++
	if l.window <= uint64(l.opts.Windows) {
		return
	}
	passed := l.window - uint64(l.opts.Windows)
	for _, nonce := range l.nonces[passed] {
		delete(l.records, nonce)
	}
	delete(l.nonces, passed)
}

// Submit decides on a request that arrives with the ticket and whose
// BodyDigest is digest. The caller has checked that the ticket's customer and
// service are those of the request.
func (l *Ledger) Submit(t Ticket, digest string) Decision {
	if d, ok := l.foreign(t); ok {
		return d
	}
	if t.Digest != "" && t.Digest != digest {
		return DecisionDigestMismatch
	}
	if r := l.records[t.Nonce]; r != nil {
		return r.resubmit(digest)
	}
	if !l.add(t, &record{digest: digest, phase: PhaseHeld}) {
		return DecisionFull
	}
	return DecisionHold
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

// Revoke makes sure that the ticket never starts from now on, or tells that it
// has started already (DecisionKnown) or may have (DecisionMayHaveRun).
func (l *Ledger) Revoke(t Ticket) Decision {
	if d, ok := l.foreign(t); ok {
		return d
	}
	r := l.records[t.Nonce]
	if r == nil {
		l.add(t, &record{digest: t.Digest, phase: PhaseNotRun}) // when full, its window is sealed
		return DecisionNotRun
	}
	l.Refuse(t.Nonce)
	if r.phase == PhaseNotRun {
		return DecisionNotRun
	}
	return DecisionKnown
}

// foreign decides on tickets about which this ledger holds no record.
func (l *Ledger) foreign(t Ticket) (Decision, bool) {
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

// add keeps a record. Without a free record it seals the open window and all
// before it, so that the unknown ticket is never held later. Sealing costs no
// room: only Advance frees records, and it opens an unsealed window.
func (l *Ledger) add(t Ticket, r *record) bool {
	if len(l.records) >= l.opts.MaxRecords {
		l.sealed = l.window
	}
	if t.Window <= l.sealed {
		return false
	}
	l.records[t.Nonce] = r
	l.nonces[t.Window] = append(l.nonces[t.Window], t.Nonce)
	return true
}

// Start lets a held ticket run. It returns true at most once for a nonce, and
// never after a refusal or a revocation.
func (l *Ledger) Start(nonce string) bool {
	return l.move(nonce, PhaseHeld, PhaseStarted)
}

// Refuse ends a held ticket as not run, for good.
func (l *Ledger) Refuse(nonce string) bool {
	return l.move(nonce, PhaseHeld, PhaseNotRun)
}

// Finish records the outcome of a started ticket.
func (l *Ledger) Finish(nonce string, o Outcome) {
	if o == OutcomeAnswered {
		l.move(nonce, PhaseStarted, PhaseAnswered)
		return
	}
	l.move(nonce, PhaseStarted, PhaseLost)
}

func (l *Ledger) move(nonce string, from, to Phase) bool {
	r := l.records[nonce]
	if r == nil || r.phase != from {
		return false
	}
	r.phase = to
	return true
}
