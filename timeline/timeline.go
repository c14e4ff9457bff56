// Package timeline keeps the recent events of a process in ring buffers of
// bounded size and merges the events of several processes in causal order.
package timeline

import (
	"expvar"
	"sync"
	"sync/atomic"
	"time"
)

// Default capacities of the ring buffers, in events.
const (
	DefaultRequestEvents = 4096
	DefaultStateEvents   = 1024
)

// shardCount is the number of independently locked shards of a ring buffer.
const shardCount = 8

// Kind is the type of an event. The values are part of the API.
type Kind string

// Kinds of events that concern a single request.
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

// Kinds of events that record a state change of a process or the fleet.
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

// isStateChange contains the kinds that are kept in a separate ring buffer for
// state changes, so that events of requests cannot evict them.
var isStateChange = map[Kind]bool{
	KindProcessStarted: true, KindProcessStopped: true,
	KindConfigurationAdopted: true, KindConfigurationRefused: true,
	KindConfigurationConflict: true, KindConfigurationPublished: true,
	KindDrainBegun: true, KindDrainEnded: true,
	KindUpstreamJoined: true, KindUpstreamLeaving: true,
	KindUpstreamLost: true, KindUpstreamReturned: true,
	KindPlatformLost: true, KindPlatformReturned: true,
	KindWindowOpened: true, KindOrderIssued: true, KindOrderRefused: true,
}

// Event is an entry of the timeline. Record sets Process, Incarnation and Clock.
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

// Time returns the wall-clock time at which the event was recorded.
func (e Event) Time() time.Time { return Time(e.Clock) }

// Options configures a Timeline. Zero values select the defaults.
type Options struct {
	Process       string // host and role
	Incarnation   string // ID of this start of the process
	Clock         *Clock // also the clock of the messages to other processes
	RequestEvents int    // capacity of the ring buffer for events of requests
	StateEvents   int    // capacity of the ring buffer for state changes
}

// Timeline keeps the recent events of one process. It is safe for concurrent use.
type Timeline struct {
	opts         Options
	clock        *Clock
	requests     ring
	stateChanges ring
}

var eventsRecorded = expvar.NewInt("timeline_events_recorded")

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
	t.stateChanges.init(opts.StateEvents)
	return t
}

// Clock returns the hybrid logical clock of the process.
func (t *Timeline) Clock() *Clock { return t.clock }

// Record adds an event to its ring buffer. If its shard of the ring buffer is
// full, the event replaces the oldest one there.
func (t *Timeline) Record(e Event) {
	e.Process, e.Incarnation, e.Clock = t.opts.Process, t.opts.Incarnation, t.clock.Now()
	eventsRecorded.Add(1)
	if isStateChange[e.Kind] {
		t.stateChanges.add(e)
		return
	}
	t.requests.add(e)
}

// Events returns the stored events that match f, in causal order.
func (t *Timeline) Events(f Filter) []Event {
	events := t.requests.collect(nil, f)
	return Merge(f.Limit, t.stateChanges.collect(events, f))
}

// ring is a sharded ring buffer of events. Consecutive events go to different
// shards, so that goroutines rarely wait for each other's locks.
type ring struct {
	added  atomic.Uint64
	shards [shardCount]ringShard
}

type ringShard struct {
	mu       sync.Mutex
	events   []Event
	capacity int
	oldest   int
}

func (r *ring) init(capacity int) {
	for i := range r.shards {
		r.shards[i].capacity = (capacity + shardCount - 1) / shardCount
	}
}

func (r *ring) add(e Event) {
	s := &r.shards[r.added.Add(1)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.events) < s.capacity {
		s.events = append(s.events, e)
		return
	}
	s.events[s.oldest] = e
	s.oldest = (s.oldest + 1) % s.capacity
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
