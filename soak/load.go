package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// startLoad starts callers that send requests beside those of the whole soak, with pauses of
// up to a time. It returns a function that ends them, and returns when all are answered.
func (s *Soak) startLoad(callers int, pause time.Duration, request func(random *rand.Rand) outcome) (end func()) {
	stop := make(chan struct{})
	var running sync.WaitGroup
	s.loads++
	load := s.loads
	for i := range callers {
		c := &caller{soak: s, random: rand.New(rand.NewPCG(s.opts.Seed, uint64(1000*load+i)))}
		c.client.Transport = &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2}
		running.Go(func() {
			defer c.client.CloseIdleConnections()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(c.random.Int64N(int64(pause)))):
				}
				o := request(c.random)
				o.attempt = fmt.Sprintf("s%d-load%d-%d-%d", s.opts.Seed, load, i, n)
				o.first, o.path, o.router = o.attempt, "x", c.random.IntN(len(s.fleet.routers))
				c.send(&o)
				s.record(o)
			}
		})
	}
	return func() {
		close(stop)
		running.Wait()
	}
}

// restartOne kills a router or stops it gracefully, after up to a time, in two of three cases.
// It returns the router, or -1 if there is none.
func (s *Soak) restartOne(within time.Duration) (index int) {
	kind, index, after := s.random.IntN(3), s.random.IntN(len(s.fleet.routers)), time.Duration(s.random.Int64N(int64(within)))
	r := s.fleet.routers[index]
	switch kind {
	case 0:
		return -1
	case 1:
		time.AfterFunc(after, func() { r.signal(syscall.SIGKILL) })
	default:
		time.AfterFunc(after, r.terminate)
	}
	s.logf("router-%d restarts after %v, killed: %v", index, after, kind == 1)
	return index
}
