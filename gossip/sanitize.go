package gossip

import (
	"slices"

	"dandelionrill.example/fleet/catalog"
	"dandelionrill.example/fleet/decide/limit"
	"dandelionrill.example/fleet/feed"
	"dandelionrill.example/fleet/gateway"
	"dandelionrill.example/fleet/store"
)

// maxTally limits the answers of one upstream that are accepted from a peer's report. Counts
// decay within seconds.
const maxTally = 1 << 20

// sanitize removes from a report the values that no router reports: they would be kept, and
// make this router decide wrongly for other requests.
func (r *Report) sanitize() {
	if r.Era > store.MaxEra {
		r.Era = 0
	}
	r.EraAge = max(0, r.EraAge)
	if r.EraFirst > store.MaxRevision {
		r.EraFirst = 0
	}
	if r.RestoredEra > store.MaxEra {
		r.RestoredEra, r.Restored = 0, nil
	}
	r.Restored = slices.DeleteFunc(r.Restored[:min(len(r.Restored), catalog.MaxReportedRestored)], func(e catalog.RestoredEntry) bool {
		return e.Revision == 0 || e.Revision > store.MaxRevision
	})
	for i := range r.Stamps {
		sanitizeStamp(&r.Stamps[i])
	}
	sanitizeTallies(r.Tallies)
	for i := range r.Sums {
		r.Sums[i].Age = max(0, r.Sums[i].Age)
		sanitizeTallies(r.Sums[i].Tallies)
	}
}

// sanitizeStamp clears a stamp whose position no store has. Content that is said to be
// confirmed in the future is confirmed now.
func sanitizeStamp(s *feed.Stamp) {
	if !s.Position().IsValid() {
		*s = feed.Stamp{}
	}
	s.Age, s.Steady = max(0, s.Age), max(0, s.Steady)
}

func sanitizeTallies(tallies []gateway.Tally) {
	for i := range tallies {
		t := &tallies[i]
		if !(t.Answers >= 0 && t.Answers <= maxTally && t.Failures >= 0 && t.Failures <= t.Answers) {
			*t = gateway.Tally{}
		}
	}
}

// isRate reports whether a rate in a call, in requests a second, is that of a limit.
func isRate(rate float64) bool { return rate >= 0 && rate < limit.MaxRate }
