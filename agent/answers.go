package agent

import (
	"cmp"
	"hash/maphash"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const answerShards = 16

// answers stores the answers that readers may still ask for, up to a byte limit.
// It is sharded by request; each shard has its own lock.
type answers struct {
	maxBytes       int64 // limit for all answers together
	maxAnswerBytes int64 // limit for one answer
	used           atomic.Int64
	seed           maphash.Seed
	shards         [answerShards]answerShard
}

type answerShard struct {
	mu sync.Mutex
	m  map[string]*answer
}

func newAnswers(maxBytes, maxAnswerBytes int64) *answers {
	s := &answers{maxBytes: maxBytes, maxAnswerBytes: maxAnswerBytes, seed: maphash.MakeSeed()}
	for i := range s.shards {
		s.shards[i].m = make(map[string]*answer)
	}
	return s
}

func (s *answers) shard(request string) *answerShard {
	return &s.shards[maphash.String(s.seed, request)%answerShards]
}

// get returns the answer to request, or nil.
func (s *answers) get(request string) *answer {
	sh := s.shard(request)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.m[request]
}

// add stores a and returns it and true. If the request already has an answer, it
// returns that answer and false.
func (s *answers) add(a *answer) (*answer, bool) {
	sh := s.shard(a.request)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if old, ok := sh.m[a.request]; ok {
		return old, false
	}
	sh.m[a.request] = a
	return a, true
}

// write appends p to a. It returns false and writes nothing if a was dropped or
// p would exceed a byte limit.
func (s *answers) write(a *answer, p []byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dropped {
		return false
	}
	n := int64(len(p))
	if int64(len(a.data))+n > s.maxAnswerBytes {
		return false
	}
	if s.used.Add(n) > s.maxBytes {
		s.used.Add(-n)
		return false
	}
	a.data = append(a.data, p...)
	a.sum.Write(p)
	a.notify()
	return true
}

// full reports whether the byte limit for all answers is reached.
func (s *answers) full() bool {
	return s.used.Load() >= s.maxBytes
}

// evict drops ended answers to ticketed requests, the longest unread first,
// until no more than target bytes are stored, and returns the number dropped.
// Their tickets stay in the ledger, so a repeated submission is not run again;
// reading the answer returns VerdictMayHaveRun.
func (s *answers) evict(target int64) int {
	now := time.Now()
	type candidate struct {
		request string
		idle    time.Duration
	}
	var ended []candidate
	s.each(func(a *answer) {
		if idle, done := a.idle(now); done && a.ticketed {
			ended = append(ended, candidate{a.request, idle})
		}
	})
	slices.SortFunc(ended, func(a, b candidate) int { return cmp.Compare(b.idle, a.idle) })
	for i, o := range ended {
		if s.used.Load() <= target {
			return i
		}
		s.drop(o.request)
	}
	return len(ended)
}

// drop deletes the answer to request and cancels the upstream call that
// produces it.
func (s *answers) drop(request string) {
	sh := s.shard(request)
	sh.mu.Lock()
	a := sh.m[request]
	delete(sh.m, request)
	sh.mu.Unlock()
	if a == nil {
		return
	}
	a.cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.dropped {
		a.dropped = true
		s.used.Add(-int64(len(a.data)))
	}
}

// retention is how long answers are kept after they were last read.
type retention struct {
	unread   time.Duration // answers to idempotent requests, ended or not
	ticketed time.Duration // ended answers to ticketed requests
}

// expired returns the requests whose answers are past their retention r. A
// ticketed request in progress never expires.
func (s *answers) expired(now time.Time, r retention) []string {
	var out []string
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for request, a := range sh.m {
			if a.expired(now, r) {
				out = append(out, request)
			}
		}
		sh.mu.Unlock()
	}
	return out
}

// expired reports whether a is past its retention r at now.
func (a *answer) expired(now time.Time, r retention) bool {
	idle, ended := a.idle(now)
	if !a.ticketed {
		return idle > r.unread
	}
	return ended && idle > r.ticketed
}

// unfinished returns the number of answers that have not ended.
func (s *answers) unfinished() int {
	n := 0
	s.each(func(a *answer) {
		if _, ended := a.idle(time.Now()); !ended {
			n++
		}
	})
	return n
}

// awaitingReader returns the number of answers for which a reader is still
// expected.
func (s *answers) awaitingReader(limit time.Duration) int {
	n := 0
	now := time.Now()
	s.each(func(a *answer) {
		if a.awaitingReader(now, limit) {
			n++
		}
	})
	return n
}

func (s *answers) each(f func(*answer)) {
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for _, a := range sh.m {
			f(a)
		}
		sh.mu.Unlock()
	}
}
