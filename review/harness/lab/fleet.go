package lab

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Fleet is a store and a few routers with a platform that starts routers again which have ended,
// and kills those that exceed their memory.
type Fleet struct {
	Store    *Store
	Routers  []*Router
	Restarts atomic.Int64

	dir         string
	record      *Record
	memoryMb    int
	stop        chan struct{}
	stopOnce    sync.Once
	supervisors sync.WaitGroup
}

// FleetOptions say what a fleet is like.
type FleetOptions struct {
	Root      string // of the repository
	Routers   int
	MemoryMb  int
	Contracts string
	Bounds    string
	Record    *Record
	// Later is true if this is not the first start of the whole system.
	Later bool
}

// Zones are the zones of a fleet.
var Zones = []string{"zone-a", "zone-b", "zone-c"}

// NewFleet starts a store. Start starts the routers.
func NewFleet(o FleetOptions) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{dir: dir, record: o.Record, memoryMb: o.MemoryMb, stop: make(chan struct{})}
	if f.Store, err = NewStore(); err != nil {
		return nil, err
	}
	var addresses []Addresses
	var seeds []string
	for i := range o.Routers {
		a, err := NewAddresses(fmt.Sprintf("127.88.%d.%d", os.Getpid()%200+1, i+1))
		if err != nil {
			return nil, err
		}
		addresses, seeds = append(addresses, a), append(seeds, a.Control)
	}
	for i, a := range addresses {
		r, err := NewRouter(RouterOptions{
			Root: o.Root, Dir: dir, Name: fmt.Sprintf("edge-%d", i), Zone: Zones[i%len(Zones)], Store: f.Store.Address,
			Seeds: seeds[:min(len(seeds), 3)], IP: strings.Split(a.Frontend, ":")[0], MemoryMb: o.MemoryMb, First: !o.Later,
			Contracts: o.Contracts, Bounds: o.Bounds,
		}, a)
		if err != nil {
			return nil, err
		}
		f.Routers = append(f.Routers, r)
	}
	return f, nil
}

// Start starts the routers and waits until they are ready.
func (f *Fleet) Start() error {
	for _, r := range f.Routers {
		if err := r.Start(); err != nil {
			return err
		}
		f.supervisors.Add(1)
		go func() {
			defer f.supervisors.Done()
			f.supervise(r)
		}()
	}
	for _, r := range f.Routers {
		if err := r.AwaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	f.record.Logf("all routers are ready")
	return nil
}

// supervise does what the platform does with one process.
func (f *Fleet) supervise(r *Router) {
	for {
		select {
		case <-f.stop:
			return
		case <-r.Exited():
			f.Restarts.Add(1)
			f.record.Logf("%s has ended and is started again", r.Name)
			select {
			case <-f.stop:
				return
			case <-time.After(500 * time.Millisecond):
			}
			if err := r.Start(); err != nil {
				f.record.Logf("%s: %v", r.Name, err)
				return
			}
		case <-time.After(2 * time.Millisecond):
			if used := MemoryMb(r.PID()); used > f.memoryMb {
				f.record.Logf("%s has used %d MB of %d and is killed", r.Name, used, f.memoryMb)
				r.Signal(syscall.SIGKILL)
				<-r.Exited()
			}
		}
	}
}

// KeepLogs copies the routers' logs into a folder.
func (f *Fleet) KeepLogs(dir string) {
	for _, r := range f.Routers {
		if data, err := os.ReadFile(r.log); err == nil {
			_ = os.WriteFile(dir+"/"+r.Name+".log", data, 0o600)
		}
	}
}

// Close ends all processes.
func (f *Fleet) Close() {
	f.stopOnce.Do(func() { close(f.stop) })
	f.supervisors.Wait()
	for _, r := range f.Routers {
		r.Kill()
	}
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		f.KeepLogs(dir)
	}
	_ = os.RemoveAll(f.dir)
}

// Main plays a case and exits: 1 if the rule was broken, 0 if it held, 2 if it could not run.
// The arguments are the root of the repository and the path of the record.
func Main(play func(root string, trouble bool, record *Record) (broken bool, err error)) {
	record, err := NewRecord(os.Args[2])
	if err != nil {
		fmt.Println("cannot run:", err)
		os.Exit(2)
	}
	broken, err := play(os.Args[1], os.Getenv("TROUBLE") != "0", record)
	record.Close()
	switch {
	case err != nil:
		fmt.Println("cannot run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

// Limits are those of the example of a configuration.
var Limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
