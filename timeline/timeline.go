// Package timeline keeps the recent events of a process in bounded rings and
// merges the events of many processes in causal order.
package timeline

import (
	"expvar"
	"sync"
	"sync/atomic"
	"time"
)

// Defaults of the rings, in events.
const (
	DefaultRequestEvents = 4096
	DefaultStateEvents   = 1024
)

// shardCount is the number of independently locked parts of a ring.
const shardCount = 8

// Kind names what happened. Kinds are part of the API.
type Kind string

// Kinds of events of one request.
const (
	KindRequestAdmitted  Kind = "request-admitted"
	KindRequestRefused   Kind = "request-refused"
	KindRequestQueued    Kind = "request-queued"
	KindRequestRetried   Kind = "request-retried"
	KindRequestContinued Kind = "request-continued" // on another engine
	KindRequestCancelled Kind = "request-cancelled"
	KindRequestOutcome   Kind = "request-outcome"
	KindTicketIssued     Kind = "ticket-issued"
	KindTicketRun        Kind = "ticket-run"
	KindTicketRepeated   Kind = "ticket-repeated"
	KindTicketRevoked    Kind = "ticket-revoked"
	KindKeyClaimed       Kind = "key-claimed"
	KindChatMoved        Kind = "chat-moved"
)

// Kinds of events that change the state of a process or the fleet.
const (
	KindProcessStarted         Kind = "process-started"
	KindProcessStopped         Kind = "process-stopped"
	KindConfigurationAdopted   Kind = "configuration-adopted"
	KindConfigurationRefused   Kind = "configuration-refused"
	KindConfigurationConflict  Kind = "configuration-conflict"
	KindConfigurationPublished Kind = "configuration-published"
	KindDrainBegun             Kind = "drain-begun"
	KindDrainEnded             Kind = "drain-ended"
	KindUpstreamJoined         Kind = "upstream-joined"
	KindUpstreamLeaving        Kind = "upstream-leaving"
	KindUpstreamLost           Kind = "upstream-lost"
	KindUpstreamReturned       Kind = "upstream-returned"
	KindPlatformLost           Kind = "platform-lost"
	KindPlatformReturned       Kind = "platform-returned"
	KindWindowOpened           Kind = "ticket-window-opened"
	KindOrderIssued            Kind = "order-issued"
	KindOrderRefused           Kind = "order-refused"
)

// ofState holds the kinds that go into the ring of state changes, where no
// flow of requests displaces them.
var ofState = map[Kind]bool{
	KindProcessStarted: true, KindProcessStopped: true,
	KindConfigurationAdopted: true, KindConfigurationRefused: true,
	KindConfigurationConflict: true, KindConfigurationPublished: true,
	KindDrainBegun: true, KindDrainEnded: true,
	KindUpstreamJoined: true, KindUpstreamLeaving: true,
	KindUpstreamLost: true, KindUpstreamReturned: true,
	KindPlatformLost: true, KindPlatformReturned: true,
	KindWindowOpened: true, KindOrderIssued: true, KindOrderRefused: true,
}

// Event is one event. Process, Incarnation and Clock are set by Record.
type Event struct {
	Clock       uint64 `json:"clock"`
	Process     string `json:"process"`
	Incarnation string `json:"incarnation"`
	Kind        Kind   `json:"kind"`
	Request     string `json:"request,omitempty"`
	Customer    string `json:"customer,omitempty"`
	Service     string `json:"service,omitempty"`
	Upstream    string `json:"upstream,omitempty"`
	Chat        string `json:"chat,omitempty"`
	Version     uint64 `json:"version,omitempty"` // of the configuration
	Outcome     string `json:"outcome,omitempty"`
	Reason      string `json:"reason,omitempty"`
}

// Time returns the time of day at which the event was recorded.
func (e Event) Time() time.Time { return Time(e.Clock) }

// Options configures a Timeline. Zero values mean the defaults.
type Options struct {
	Process       string // host and role
	Incarnation   string // of this start of the process
	Clock         *Clock // shared with the messages to other processes
	RequestEvents int    // kept events of requests
	StateEvents   int    // kept events of state changes
}

// Timeline keeps the recent events of one process. All methods may be used
// from many goroutines.
type Timeline struct {
	opts     Options
	clock    *Clock
	requests ring
	states   ring
}

var recorded = expvar.NewInt("timeline_events_recorded")

// New returns an empty timeline.
func New(opts Options) *Timeline {
	if opts.RequestEvents <= 0 {
		opts.RequestEvents = DefaultRequestEvents
	}
	if opts.StateEvents <= 0 {
		opts.StateEvents = DefaultStateEvents
	}
	if opts.Clock == nil {
		opts.Clock = NewClock(nil)
	}
	t := &Timeline{opts: opts, clock: opts.Clock}
	t.requests.init(opts.RequestEvents)
	t.states.init(opts.StateEvents)
	return t
}

// Clock returns the clock of the process.
func (t *Timeline) Clock() *Clock { return t.clock }

// Record adds an event, and drops the oldest of its ring if that is full.
func (t *Timeline) Record(e Event) {
	e.Process, e.Incarnation, e.Clock = t.opts.Process, t.opts.Incarnation, t.clock.Now()
	recorded.Add(1)
	if ofState[e.Kind] {
		t.states.add(e)
		return
	}
	t.requests.add(e)
}

// Events returns the kept events that f matches, in causal order.
func (t *Timeline) Events(f Filter) []Event {
	events := t.requests.collect(nil, f)
	return Merge(f.Limit, t.states.collect(events, f))
}

// ring is a bounded list of events. Consecutive events go to different
// shards, so that goroutines rarely wait for each other.
type ring struct {
	next   atomic.Uint64
	shards [shardCount]ringShard
}

type ringShard struct {
	mu     sync.Mutex
	events []Event
	size   int
	next   int
}

func (r *ring) init(size int) {
	for i := range r.shards {
		r.shards[i].size = (size + shardCount - 1) / shardCount
	}
}

func (r *ring) add(e Event) {
	s := &r.shards[r.next.Add(1)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.events) < s.size {
		s.events = append(s.events, e)
		return
	}
	s.events[s.next] = e
	s.next = (s.next + 1) % s.size
}

func (r *ring) collect(into []Event, f Filter) []Event {
	for i := range r.shards {
		into = r.shards[i].collect(into, f)
	}
	return into
}

func (s *ringShard) collect(into []Event, f Filter) []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.events {
		if f.Match(e) {
			into = append(into, e)
		}
	}
	return into
}
