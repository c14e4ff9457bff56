package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"dandelionrill.example/standin/wire"
	"github.com/cockroachdb/errors"
)

// stopLimit is the time between SIGTERM and SIGKILL that the settings name.
const stopLimit = 6 * time.Second

// router is one real router process, started again whenever it ends.
type router struct {
	name     string
	binary   string
	dir      string
	callers  string
	settings string
	store    *Proxy // between this router and the store

	mu          sync.Mutex
	process     *os.Process
	incarnation int
	ended       chan struct{} // closed when the process has ended
	closing     bool
}

// newRouter writes the settings of a router and starts it.
func newRouter(name, binary, dir, store string, seeds []string, own [3]string) (*router, error) {
	proxy, err := NewProxy(store)
	if err != nil {
		return nil, err
	}
	r := &router{
		name: name, binary: binary, dir: dir, callers: own[0], store: proxy,
		settings: filepath.Join(dir, name+".toml"),
	}
	settings := wire.Settings{
		Host: name, Seeds: seeds, Callers: own[0], Ready: own[1], Peers: own[2], Store: proxy.Address(), Stop: stopLimit,
	}
	if err := os.WriteFile(r.settings, []byte(settings.Text()), 0o600); err != nil {
		return nil, errors.Wrap(err, "soak: settings")
	}
	return r, r.start()
}

// start runs the process; it is started again when it ends.
func (r *router) start() error {
	output, err := os.OpenFile(filepath.Join(r.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "soak: log")
	}
	cmd := exec.Command(r.binary, "gateway", "--config", r.settings)
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "soak: start"), output.Close())
	}
	r.mu.Lock()
	r.process, r.ended = cmd.Process, make(chan struct{})
	r.incarnation++
	ended := r.ended
	r.mu.Unlock()
	go func() {
		_ = cmd.Wait() // killed processes end with an error
		_ = output.Close()
		close(ended)
		r.mu.Lock()
		closing := r.closing
		r.mu.Unlock()
		if !closing {
			if err := r.start(); err != nil {
				fmt.Fprintln(os.Stderr, err)
			}
		}
	}()
	return nil
}

// signal sends a signal to the process.
func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.process.Signal(s) // one that has just ended is started again
}

// terminate stops the process as the platform does.
func (r *router) terminate() {
	r.mu.Lock()
	process, ended := r.process, r.ended
	r.mu.Unlock()
	_ = process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(stopLimit):
		_ = process.Kill()
	}
}

func (r *router) close() {
	r.mu.Lock()
	r.closing = true
	process, ended := r.process, r.ended
	r.mu.Unlock()
	_ = process.Signal(syscall.SIGCONT)
	_ = process.Kill()
	<-ended
	r.store.Close()
}

// Ports of routers lie below the range that the kernel gives to outgoing
// connections and to listeners without a port: what is free stays so until the
// router listens, and again while it is restarted.
const (
	firstPort = 21000
	lastPort  = 31000
	// portBlock is the distance between the first ports of two processes.
	portBlock = 500
)

var (
	portLock sync.Mutex
	nextPort = firstPort + os.Getpid()%((lastPort-firstPort)/portBlock)*portBlock
)

// freeAddresses returns n addresses on loopback that nobody listens on. None is
// given out twice by this process.
func freeAddresses(n int) ([]string, error) {
	portLock.Lock()
	defer portLock.Unlock()
	var out []string
	for range lastPort - firstPort {
		if len(out) == n {
			return out, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if nextPort++; nextPort >= lastPort {
			nextPort = firstPort
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // somebody has it
		}
		if err := l.Close(); err != nil {
			return nil, errors.Wrap(err, "soak: ports")
		}
		out = append(out, address)
	}
	return nil, errors.New("soak: no free ports")
}
