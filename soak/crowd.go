package soak

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"dandelionrill.example/standin/wire"
)

const (
	// crowdMembers is the number of callers at each router that do not end their bodies.
	// Together they send more than a router may hold for its callers.
	crowdMembers = 320
	// crowdHold is how long a member stays whose connection the router does not close.
	crowdHold = 8 * time.Second
	// crowdPause is the time between two requests of a member.
	crowdPause = 500 * time.Millisecond
	// crowdChunk is the size of the chunks of most members; the others send single bytes.
	crowdChunk       = 64 << 10
	crowdSingleBytes = 64 << 10
)

// runCrowd lets callers at each router send bodies in chunks which stop short of their end, until
// stop is closed.
func (s *Soak) runCrowd(stop <-chan struct{}) {
	var members sync.WaitGroup
	for i, r := range s.fleet.routers {
		for member := range crowdMembers {
			members.Go(func() {
				for n := 0; ; n++ {
					s.sendUnfinishedBody(r, fmt.Sprintf("s%d-crowd-%d-%d-%d", s.opts.Seed, i, member, n), member%4 == 0, stop)
					select {
					case <-stop:
						return
					case <-time.After(crowdPause):
					}
				}
			})
		}
	}
	members.Wait()
}

// sendUnfinishedBody sends a request without the end of its body, and stays until the router closes
// the connection, for crowdHold, or until stop is closed.
func (s *Soak) sendUnfinishedBody(r *router, attempt string, singleBytes bool, stop <-chan struct{}) {
	c, err := net.DialTimeout("tcp", r.callerAddress, time.Second)
	if err != nil {
		return // the router is away, or allows no further connections
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(crowdHold)) // fails only if the connection is closed
	closed := make(chan struct{})
	go func() { // also ends the writes of a member whose request was refused
		defer close(closed)
		_, _ = io.Copy(io.Discard, c)
		_ = c.SetWriteDeadline(time.Now())
	}()
	head := fmt.Sprintf("POST /once/x HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
		host, apiKey, wire.HeaderAttempt, attempt)
	chunk, chunks := fmt.Sprintf("%x\r\n%s\r\n", crowdChunk, strings.Repeat("c", crowdChunk)), wire.MaxBodyBytes/crowdChunk
	if singleBytes {
		const block = 1024
		chunk, chunks = strings.Repeat("1\r\nc\r\n", block), crowdSingleBytes/block
	}
	if _, err := io.WriteString(c, head); err != nil {
		return
	}
	for range chunks {
		if _, err := io.WriteString(c, chunk); err != nil {
			return
		}
	}
	select {
	case <-stop:
	case <-closed:
	}
}

// checkMemory checks that no router has exceeded the memory of its settings since its start.
func (s *Soak) checkMemory() {
	for _, r := range s.fleet.routers {
		r.mu.Lock()
		id := r.process.Pid
		r.mu.Unlock()
		if kb := peakMemoryKB(id); kb > wire.DefaultMemoryMb<<10 {
			s.addViolation("MEMORY", r.name, "held %d kB at most, %d are allowed", kb, wire.DefaultMemoryMb<<10)
		}
	}
}

// peakMemoryKB returns the most memory that a process has had resident; 0 if it has ended.
func peakMemoryKB(id int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", id))
	if err != nil {
		return 0
	}
	kb := 0
	for line := range strings.SplitSeq(string(status), "\n") {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			_, _ = fmt.Sscan(value, &kb) // stays 0 if it is no number
		}
	}
	return kb
}
