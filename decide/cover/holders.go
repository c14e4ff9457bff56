package cover

import "time"

// Holders are the routers to which this router has promised to tell of each stream before its first event.
type Holders struct{ routers map[string]Holder }

// Holder is a router to which a promise was made.
type Holder struct {
	Address     string
	Incarnation uint64
	Until       time.Time // end of the promise
}

// NewHolders returns Holders without any promise.
func NewHolders() *Holders { return &Holders{routers: make(map[string]Holder)} }

// Promise makes a promise to an incarnation of a router. Streams that are recorded before the call are
// to be in the answer that carries the promise.
func (h *Holders) Promise(now time.Time, address string, incarnation uint64, validity time.Duration) {
	h.routers[address] = Holder{Address: address, Incarnation: incarnation, Until: now.Add(validity)}
}

// Current returns the routers to be told of a stream that is about to begin.
func (h *Holders) Current(now time.Time) []Holder {
	var current []Holder
	for address, holder := range h.routers {
		if now.After(holder.Until) {
			delete(h.routers, address)
			continue
		}
		current = append(current, holder)
	}
	return current
}

// Drop ends the promise to a holder whose process has ended.
func (h *Holders) Drop(ended Holder) {
	if h.routers[ended.Address].Incarnation == ended.Incarnation {
		delete(h.routers, ended.Address)
	}
}
