package soak

import (
	"sync"
	"time"
)

const (
	// silenceRepeats is how often in a phase some upstreams fall silent.
	silenceRepeats = 3
	// silencePause is the time between the end of some silences and the next.
	silencePause = 500 * time.Millisecond
	// silenceTail is the time after the last silence in which requests may still end.
	silenceTail = 4 * time.Second
)

// runSilencePhase lets some or all upstreams be silent for 0.8 to 1.8 s, several times,
// while versions of the configuration are published, and records the phase for check.
func (s *Soak) runSilencePhase() {
	from := time.Now()
	slow := s.slowStreams.Swap(true)
	for range silenceRepeats {
		time.Sleep(silencePause)
		s.fleet.publishConfiguration()
		s.silenceSome()
	}
	s.slowStreams.Store(slow)
	time.Sleep(silenceTail)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = append(s.silent, period{from, time.Now()})
}

// silenceSome lets one or more upstreams fall silent, at most 0.4 s apart, and returns
// when all of them go on. In two of three cases the others refuse new requests meanwhile,
// so that no other upstream takes the place of a silent one.
func (s *Soak) silenceSome() {
	active := s.fleet.active()
	s.random.Shuffle(len(active), func(i, j int) { active[i], active[j] = active[j], active[i] })
	n, full := 1+s.random.IntN(len(active)), s.random.IntN(3) > 0
	s.logf("%d of %d upstreams fall silent, the others are full: %v", n, len(active), full)
	setFull(active[n:], full)
	var silences sync.WaitGroup
	for _, u := range active[:n] {
		after := time.Duration(s.random.IntN(400)) * time.Millisecond
		length := time.Duration(800+s.random.IntN(1001)) * time.Millisecond
		silences.Go(func() {
			time.Sleep(after)
			u.proxy.SetMode(ModeSilence)
			time.Sleep(length)
			u.proxy.SetMode(ModePass)
		})
	}
	silences.Wait()
	setFull(active[n:], false)
}

func setFull(upstreams []*upstream, full bool) {
	for _, u := range upstreams {
		u.replica.SetFull(full)
	}
}
