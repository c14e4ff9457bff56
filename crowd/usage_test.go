package crowd

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// usagePollInterval is how often the descriptors of a process are counted.
const usagePollInterval = 20 * time.Millisecond

// usage is the most that a process has used. Its fields may be read after stop.
type usage struct {
	memoryKB int // resident memory
	sockets  int // and pipes

	pid   int
	once  sync.Once
	ended chan struct{}
	done  chan struct{}
}

// watchUsage watches a process until stop is called.
func watchUsage(pid int) *usage {
	u := &usage{pid: pid, ended: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(u.done)
		for {
			u.update()
			select {
			case <-u.ended:
				u.update()
				return
			case <-time.After(usagePollInterval):
			}
		}
	}()
	return u
}

func (u *usage) stop() {
	u.once.Do(func() { close(u.ended) })
	<-u.done
}

func (u *usage) update() {
	u.sockets = max(u.sockets, countSockets(u.pid))
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", u.pid))
	if err != nil {
		return // the process has ended
	}
	for line := range strings.Lines(string(status)) {
		var kB int
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kB); err == nil {
			u.memoryKB = max(u.memoryKB, kB)
		}
	}
}

// countSockets returns the number of sockets and pipes of a process.
func countSockets(pid int) int {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0 // the process has ended
	}
	n := 0
	for _, e := range entries {
		target, err := os.Readlink(dir + "/" + e.Name())
		if err == nil && (strings.HasPrefix(target, "socket:") || strings.HasPrefix(target, "pipe:")) {
			n++
		}
	}
	return n
}

const (
	// quietInterval and quietTicks tell that a process has read what there was to read.
	quietInterval = 300 * time.Millisecond
	quietTicks    = 3
)

// awaitQuiet waits until the process uses hardly any processor time, at most for a minute.
func (u *usage) awaitQuiet() {
	last := processorTicks(u.pid)
	for range int(time.Minute / quietInterval) {
		time.Sleep(quietInterval)
		ticks := processorTicks(u.pid)
		if ticks-last <= quietTicks {
			return
		}
		last = ticks
	}
}

// processorTicks returns the processor time that a process has used.
func processorTicks(pid int) int {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0 // the process has ended
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	var user, system int
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	_, _ = fmt.Sscan(fields[11], &user)
	_, _ = fmt.Sscan(fields[12], &system)
	return user + system
}

// connections are those of a crowd, which stay open until the end of the test.
type connections struct {
	mu   sync.Mutex
	open []net.Conn
}

func (c *connections) add(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = append(c.open, conn)
}

func (c *connections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.open {
		_ = conn.Close()
	}
}
