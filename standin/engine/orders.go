package engine

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dandelionrill.example/standin/internal/control"
)

// maxEvents is the number of cache events kept.
const maxEvents = 1 << 16

// Event says that a block of the prefix cache was stored or evicted.
type Event struct {
	Sequence uint64 `json:"seq"`
	Kind     string `json:"kind"`   // stored or evicted
	Prefix   string `json:"prefix"` // digest of the tokens up to the block's end

	at time.Time
}

// eventLog stores cache events. They become visible after lag, and every
// gapEvery-th is dropped.
type eventLog struct {
	lag      time.Duration
	gapEvery int

	mu       sync.Mutex
	sequence uint64
	events   []Event
}

func (l *eventLog) add(stored, evicted []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, digest := range stored {
		l.append("stored", digest)
	}
	for _, digest := range evicted {
		l.append("evicted", digest)
	}
	if excess := len(l.events) - maxEvents; excess > 0 {
		l.events = append([]Event(nil), l.events[excess:]...)
	}
}

// append assigns the next sequence number to an event and stores it unless it is
// to be dropped. The caller holds mu.
func (l *eventLog) append(kind string, digest uint64) {
	l.sequence++
	if l.gapEvery > 0 && l.sequence%uint64(l.gapEvery) == 0 {
		return
	}
	l.events = append(l.events, Event{
		Sequence: l.sequence, Kind: kind, Prefix: fmt.Sprintf("%016x", digest), at: time.Now(),
	})
}

func (l *eventLog) serve(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "bad after", http.StatusBadRequest)
		return
	}
	visible := make([]Event, 0)
	latest := time.Now().Add(-l.lag)
	l.mu.Lock()
	for _, event := range l.events {
		if event.Sequence > after && !event.at.After(latest) {
			visible = append(visible, event)
		}
	}
	l.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, visible)
}

// Order is a command to load a model or an adapter or to change the engine's role.
type Order struct {
	Kind    string `json:"kind"` // load_model, load_adapter or role
	Name    string `json:"name"`
	Version string `json:"version"`
	Fencing uint64 `json:"fencing"`
}

// orderLog records accepted orders. With checksFencing it refuses an order whose
// fencing number is lower than the highest accepted one.
type orderLog struct {
	checksFencing bool

	mu             sync.Mutex
	highestFencing uint64
	accepted       []Order
}

func (b *orderLog) serve(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := control.ReadJSON(w, r, &order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch order.Kind {
	case "load_model", "load_adapter", "role":
	default:
		http.Error(w, "unknown kind of order", http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.checksFencing && order.Fencing < b.highestFencing {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	b.highestFencing = max(b.highestFencing, order.Fencing)
	b.accepted = append(b.accepted, order)
	w.WriteHeader(http.StatusOK)
}
