// Package blame finds the prompt parts and requests that crash upstreams, from which parts the
// requests had that were in progress when upstreams ended, and which parts were answered.
//
// A part that crashes each upstream that begins to answer it is in a request at every such
// end, and in none that goes on. Other parts of these requests, and those of bystanders at
// the same upstreams, are answered elsewhere, or their ends are explained by the part. A request
// that crashes upstreams whatever its parts is a part of its own.
package blame

import (
	"cmp"
	"slices"
	"time"
)

// Options configures Blamed.
type Options struct {
	// Crashes is the number of upstreams that must have ended with requests that have a
	// part.
	Crashes int
	// Settle is the age from which a crash counts: what shows that the part was answered
	// meanwhile may still arrive from other routers.
	Settle time.Duration
	// Quiet is how long a part that has been answered must not have been, to be blamed for
	// crashes since.
	Quiet time.Duration
}

// Crash is the end of an upstream with a request that had a part and was not being answered.
type Crash struct {
	Upstream uint32 // short hash of its key
	At       time.Duration
}

// Part is what is known of a prompt part.
type Part struct {
	Key        uint64
	Crashes    []Crash // of different upstreams
	Answered   time.Duration
	IsAnswered bool // whether it has ever been answered
	IsRequest  bool // the part stands for a whole request, which always has the same parts
}

// since returns the crashes after the part was last answered.
func (p *Part) since() []Crash {
	if !p.IsAnswered {
		return p.Crashes
	}
	return slices.DeleteFunc(slices.Clone(p.Crashes), func(c Crash) bool { return c.At <= p.Answered })
}

// suspect is a part with the crashes that no blamed part explains.
type suspect struct {
	part    *Part
	crashes []Crash
}

// compare orders suspects by how well they explain their crashes, the best first: a part
// that was never answered before one that was, then by the number of crashes, then a whole
// request before parts that others may have.
func (s suspect) compare(other suspect) int {
	if s.part.IsAnswered != other.part.IsAnswered {
		if s.part.IsAnswered {
			return 1
		}
		return -1
	}
	if c := cmp.Compare(len(other.crashes), len(s.crashes)); c != 0 || s.part.IsRequest == other.part.IsRequest {
		return c
	}
	if s.part.IsRequest {
		return -1
	}
	return 1
}

// Verdict is a part that is blamed.
type Verdict struct {
	Key uint64
	// Shared is true if other parts explain the same equally well: some of them may be sound.
	Shared bool
}

// Blamed returns the parts that crash upstreams: the one that explains its crashes best,
// then the one that explains best what is left, and so on. Of parts that explain the same
// equally well, all are blamed.
func Blamed(opts Options, now time.Duration, parts []Part) []Verdict {
	var blamed []Verdict
	explained := make(map[uint32]bool)
	for {
		best := suspects(opts, now, parts, explained)
		if len(best) == 0 {
			return blamed
		}
		for _, s := range best {
			blamed = append(blamed, Verdict{Key: s.part.Key, Shared: len(best) > 1})
		}
		for _, s := range best {
			for _, c := range s.part.since() {
				explained[c.Upstream] = true
			}
		}
	}
}

// suspects returns the best suspects for the crashes that are not explained.
func suspects(opts Options, now time.Duration, parts []Part, explained map[uint32]bool) []suspect {
	var best []suspect
	for i := range parts {
		s := suspect{part: &parts[i]}
		if s.part.IsAnswered && now-s.part.Answered < opts.Quiet {
			continue
		}
		settled := 0
		for _, c := range s.part.since() {
			if explained[c.Upstream] {
				continue
			}
			s.crashes = append(s.crashes, c)
			if now-c.At >= opts.Settle {
				settled++
			}
		}
		if settled < opts.Crashes {
			continue
		}
		switch {
		case len(best) == 0 || s.compare(best[0]) < 0:
			best = []suspect{s}
		case s.compare(best[0]) == 0:
			best = append(best, s)
		}
	}
	return best
}
