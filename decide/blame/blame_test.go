package blame

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var testOptions = Options{Crashes: 3, Settle: 300 * time.Millisecond, Quiet: 2 * time.Second}

const now = time.Minute

// crashes returns the ends of the upstreams, 10 ms apart, the last one a second ago.
func crashes(upstreams ...uint32) []Crash {
	var out []Crash
	for i, u := range upstreams {
		out = append(out, Crash{Upstream: u, At: now - time.Second - time.Duration(len(upstreams)-i)*10*time.Millisecond})
	}
	return out
}

func blamed(parts ...Part) []uint64 {
	var out []uint64
	for _, v := range Blamed(testOptions, now, parts) {
		out = append(out, v.Key)
	}
	slices.Sort(out)
	return out
}

func answered(p Part, ago time.Duration) Part {
	p.Answered, p.IsAnswered = now-ago, true
	return p
}

func TestPartOfAllCrashesIsBlamed(t *testing.T) {
	bad := Part{Key: 1, Crashes: crashes(1, 2, 3)}
	must.Eq(t, []uint64{1}, blamed(bad))
	must.Nil(t, blamed(Part{Key: 1, Crashes: crashes(1, 2)}))
}

// The first part of the prompts and their customer's are shared with sound requests: they
// must not be blamed for the crashes of the part between them.
func TestPartThatIsAnsweredElsewhereIsNotBlamed(t *testing.T) {
	first := answered(Part{Key: 7, Crashes: crashes(1, 2, 3, 4, 5)}, 500*time.Millisecond)
	must.Eq(t, []uint64{1}, blamed(first, Part{Key: 1, Crashes: crashes(1, 2, 3, 4, 5)}))
	must.Nil(t, blamed(first))
}

// A bystander that has ended with several upstreams has an explanation.
func TestBystanderIsNotBlamedForExplainedCrashes(t *testing.T) {
	bad := Part{Key: 1, Crashes: crashes(1, 2, 3, 4, 5)}
	bystander := Part{Key: 2, Crashes: crashes(2, 3, 5)}
	must.Eq(t, []uint64{1}, blamed(bystander, bad))
	must.Eq(t, []uint64{1}, blamed(bad, answered(Part{Key: 3, Crashes: crashes(1, 2, 3, 4, 5, 6)}, 5*time.Second)))
	other := Part{Key: 4, Crashes: crashes(6, 7, 8)}
	must.Eq(t, []uint64{1, 4}, blamed(bystander, bad, other))
}

// Parts that are never seen apart cannot be told apart: both are kept from upstreams.
func TestPartsThatExplainTheSameAreAllBlamed(t *testing.T) {
	one, two := Part{Key: 1, Crashes: crashes(1, 2, 3)}, Part{Key: 2, Crashes: crashes(1, 2, 3)}
	must.Eq(t, []uint64{1, 2}, blamed(one, two))
	must.Eq(t, []Verdict{{1, true}, {2, true}}, Blamed(testOptions, now, []Part{one, two}))
	must.Eq(t, []Verdict{{1, false}}, Blamed(testOptions, now, []Part{one}))
}

// A part can begin to crash upstreams, such as new ones.
func TestPartThatWasAnsweredBeforeIsBlamedAfterAQuietTime(t *testing.T) {
	must.Eq(t, []uint64{1}, blamed(answered(Part{Key: 1, Crashes: crashes(1, 2, 3)}, 3*time.Second)))
	must.Nil(t, blamed(answered(Part{Key: 1, Crashes: crashes(1, 2, 3)}, 1900*time.Millisecond)))
}

// Several upstreams may end at once, for another reason: what shows that their parts are
// sound may still be on the way.
func TestCrashesMustHaveSettled(t *testing.T) {
	fresh := Part{Key: 1}
	for i := range uint32(3) {
		fresh.Crashes = append(fresh.Crashes, Crash{Upstream: i, At: now - 200*time.Millisecond})
	}
	must.Nil(t, blamed(fresh))
}

// Random traffic of many routes and subjects at nine upstreams, one part of which crashes
// the upstream: it alone is blamed, after a few crashes, whatever else its requests hold.
func TestOnlyTheCrashingPartIsBlamed(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		const bad, subjects, upstreams = 1000, 60, 9
		parts := make(map[uint64]*Part)
		part := func(key uint64) *Part {
			if parts[key] == nil {
				parts[key] = &Part{Key: key}
			}
			return parts[key]
		}
		running := make([][]uint64, upstreams) // subjects being read, by upstream
		at, count := time.Duration(0), uint32(0)
		for step := 0; step < 4000 && count < 5; step++ {
			at += 20 * time.Millisecond
			u, subject := random.IntN(upstreams), uint64(random.IntN(subjects))
			if random.IntN(30) > 0 {
				running[u] = append(running[u], subject)
				if len(running[u]) > 3 { // the oldest one is answered
					for _, key := range []uint64{running[u][0], 2000 + running[u][0]%3} {
						p := part(key)
						p.Answered, p.IsAnswered = at, true
					}
					running[u] = running[u][1:]
				}
				continue
			}
			count++
			involved := map[uint64]bool{bad: true, subject: true, 2000 + subject%3: true}
			for _, s := range running[u] {
				involved[s], involved[2000+s%3] = true, true
			}
			for key := range involved {
				part(key).Crashes = append(part(key).Crashes, Crash{Upstream: count, At: at})
			}
			running[u] = nil
		}
		var all []Part
		for _, p := range parts {
			all = append(all, *p)
		}
		must.Eq(t, []Verdict{{Key: bad}}, Blamed(testOptions, at+time.Second, all), must.Sprint("seed ", seed))
	}
}

// A request that always has the same parts explains the same as they do: it alone is blamed,
// since others may have a part of it. A part with further crashes explains more.
func TestRequestIsBlamedBeforeItsParts(t *testing.T) {
	request := Part{Key: 1, Crashes: crashes(1, 2, 3), IsRequest: true}
	must.Eq(t, []uint64{1}, blamed(Part{Key: 2, Crashes: crashes(1, 2, 3)}, request))
	must.Eq(t, []uint64{1}, blamed(request, Part{Key: 2, Crashes: crashes(1, 2, 3)}))
	must.Eq(t, []uint64{2}, blamed(request, Part{Key: 2, Crashes: crashes(1, 2, 3, 4)}))
	must.Eq(t, []uint64{2}, blamed(answered(request, 5*time.Second), Part{Key: 2, Crashes: crashes(1, 2, 3)}))
}
