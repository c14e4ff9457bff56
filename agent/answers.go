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

// answers holds the answers that readers may still ask for, within a limit of
// bytes. State is sharded by request, each shard under its own lock.
type answers struct {
	limit  int64 // bytes of all answers
	most   int64 // bytes of one answer
	used   atomic.Int64
	seed   maphash.Seed
	shards [answerShards]answerShard
}

type answerShard struct {
	mu sync.Mutex
	m  map[string]*answer
}

func newAnswers(limit, most int64) *answers {
	s := &answers{limit: limit, most: most, seed: maphash.MakeSeed()}
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

// add stores a and returns true, or returns the answer already there and false.
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

// write appends p to a. It returns false, and writes nothing, where a was
// dropped or a limit of bytes would be passed.
func (s *answers) write(a *answer, p []byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.released {
		return false
	}
	n := int64(len(p))
	if int64(len(a.data))+n > s.most {
		return false
	}
	if s.used.Add(n) > s.limit {
		s.used.Add(-n)
		return false
	}
	a.data = append(a.data, p...)
	a.sum.Write(p)
	a.notify()
	return true
}

// full tells whether the limit of bytes is reached.
func (s *answers) full() bool {
	return s.used.Load() >= s.limit
}

// evict forgets ended answers to ticketed requests, the longest unread first,
// until no more than target bytes are held, and returns how many. Their tickets
// stay in the ledger: a repeat is told that the call may have run.
func (s *answers) evict(target int64) int {
	now := time.Now()
	type old struct {
		request string
		idle    time.Duration
	}
	var ended []old
	s.each(func(a *answer) {
		if idle, done := a.idle(now); done && a.ticketed {
			ended = append(ended, old{a.request, idle})
		}
	})
	slices.SortFunc(ended, func(a, b old) int { return cmp.Compare(b.idle, a.idle) })
	for i, o := range ended {
		if s.used.Load() <= target {
			return i
		}
		s.drop(o.request)
	}
	return len(ended)
}

// drop forgets the answer to request and stops the work behind it.
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
	if !a.released {
		a.released = true
		s.used.Add(-int64(len(a.data)))
	}
}

// retention says how long answers are kept.
type retention struct {
	unread   time.Duration // an idempotent answer that nobody reads
	recorded time.Duration // the ended answer to a ticketed request
}

// expired returns the requests whose answers have outlived r. Work of a
// ticketed request that is under way never expires.
func (s *answers) expired(now time.Time, r retention) []string {
	var out []string
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		for request, a := range sh.m {
			if a.outlived(now, r) {
				out = append(out, request)
			}
		}
		sh.mu.Unlock()
	}
	return out
}

// outlived tells whether a may be forgotten at now.
func (a *answer) outlived(now time.Time, r retention) bool {
	idle, ended := a.idle(now)
	if !a.ticketed {
		return idle > r.unread
	}
	return ended && idle > r.recorded
}

// open returns how many answers have not ended.
func (s *answers) open() int {
	n := 0
	s.each(func(a *answer) {
		if _, ended := a.idle(time.Now()); !ended {
			n++
		}
	})
	return n
}

// awaited returns how many answers readers may still come for.
func (s *answers) awaited(limit time.Duration) int {
	n := 0
	now := time.Now()
	s.each(func(a *answer) {
		if a.awaited(now, limit) {
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
