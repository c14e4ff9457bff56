// Package cold decides until when an upstream is cold, which makes it serve few requests a
// second, and how the permits to send to it are shared out among routers.
package cold

import "time"

const (
	// PermitLife is the longest time from the request for a permit until the send that uses
	// it is written.
	PermitLife = 300 * time.Millisecond
	// transitTime is by how much sends may be closer together at the upstream than when they
	// were written.
	transitTime = 100 * time.Millisecond
	// Standbys is the number of routers that grant permits beside the owner, for routers that
	// do not reach it.
	Standbys = 2
	// ownerBurst and standbyBurst are the most permits that the owner and a standby save.
	ownerBurst, standbyBurst = 1.5, 1.0
	// minReportedGain is by how much longer an upstream must be cold by the report of another
	// router than known for the report to count: reports that return would prolong it.
	minReportedGain = time.Second
	// minWeight is the weight of a cold upstream as the home of prompts.
	minWeight = 0.25
)

// Share is the part of the permits of a cold upstream that one router may grant.
type Share struct {
	Rate  float64 // permits a second
	Burst float64 // most permits saved
}

// Shares returns the shares of the owner and of each standby for an upstream that may get
// perSecond x overrun + tolerance requests in any one second. Sends that arrive within a
// second have permits of a second, PermitLife and transitTime. In that time the shares
// together grant at most the bound, and the owner no more than perSecond a second.
func Shares(perSecond, overrun, tolerance float64) (owner, standby Share) {
	span := (time.Second + PermitLife + transitTime).Seconds()
	left := perSecond*overrun + tolerance - ownerBurst - Standbys*standbyBurst
	owner = Share{Rate: min(perSecond, max(0, left)/span), Burst: ownerBurst}
	standby = Share{Rate: max(0, left-owner.Rate*span) / (Standbys * span), Burst: standbyBurst}
	return owner, standby
}

// Source is what said until when an upstream is cold.
type Source string

// Sources, as logged.
const (
	SourceEntry      Source = "entry"
	SourceAnswer     Source = "answer"
	SourcePeer       Source = "peer"
	SourceNew        Source = "new-entry"
	SourceEvacuation Source = "evacuation"
)

// State is what a router knows of whether an upstream is cold. All times are monotonic. The
// zero value is that of an upstream of which nothing was said.
type State struct {
	Until    time.Duration // end of the last known cold time; 0 if there was none
	Source   Source        // of Until
	At       time.Duration // when Until was stated
	revision uint64        // of the entry last seen
	entered  bool          // an entry was seen
	answered time.Duration // when an answer last stated it
	answers  bool          // an answer stated it
}

// IsCold reports whether the upstream is cold.
func (s State) IsCold(now time.Duration) bool { return now < s.Until }

// Entry returns the state after a list with the upstream's entry arrived. The age of an
// entry is not known, so its statement counts from the arrival. One of a later revision
// replaces what earlier entries stated, but not what an answer did; any other can only
// prolong the time.
func (s State) Entry(now time.Duration, revision uint64, remaining time.Duration) State {
	if s.entered && revision == s.revision {
		return s
	}
	replaces := s.Source == SourceEntry && revision > s.revision
	s.entered, s.revision = true, max(s.revision, revision)
	if until := now + remaining; remaining > 0 && (replaces || until > s.Until) {
		s.Until, s.Source, s.At = until, SourceEntry, now
	} else if replaces && remaining <= 0 {
		s.Until, s.At = min(s.Until, now), now
	}
	return s
}

// Answer returns the state after an answer of the upstream stated the remaining time. It is
// the newest statement.
func (s State) Answer(now, remaining time.Duration) State {
	s.answers, s.answered = true, now
	s.Until, s.Source, s.At = now+max(0, remaining), SourceAnswer, now
	return s
}

// Report returns the state after another router reported the remaining time, which was
// stated age ago. It does not count if an answer stated something later.
func (s State) Report(now, remaining, age time.Duration) State {
	at := now - max(0, age)
	if until := now + remaining; until > max(s.Until, now)+minReportedGain && (!s.answers || at > s.answered) {
		s.Until, s.Source, s.At = until, SourcePeer, at
	}
	return s
}

// Start returns the state of an upstream that is cold for a time from now on at least, since
// its entry is new or an evacuation of its failure domain has ended.
func (s State) Start(now, coldTime time.Duration, source Source) State {
	if until := now + coldTime; until > s.Until {
		s.Until, s.Source, s.At = until, source, now
	}
	return s
}

// Weight returns the weight of an upstream as the home of prompts: it rises to 1 over
// rampTime after the end of the cold time.
func (s State) Weight(now, rampTime time.Duration) float64 {
	if s.Until == 0 {
		return 1
	}
	if now < s.Until {
		return minWeight
	}
	if since := now - s.Until; since < rampTime {
		return minWeight + (1-minWeight)*float64(since)/float64(rampTime)
	}
	return 1
}
