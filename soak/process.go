package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"dandelionrill.example/standin/wire"
	"github.com/cockroachdb/errors"
)

// shutdownTimeout is the time between SIGTERM and SIGKILL. It is also written to
// the routers' settings.
const shutdownTimeout = 6 * time.Second

// router is one real router process, restarted whenever it exits.
type router struct {
	name          string
	binary        string
	dir           string
	callerAddress string
	settingsPath  string
	storeProxy    *Proxy // between this router and the store

	mu          sync.Mutex
	process     *os.Process
	incarnation int
	exited      chan struct{} // closed when the process has exited
	closing     bool
}

// newRouter writes the settings file of a router and starts it. addresses are
// those of the caller, readiness and peer listeners, in this order.
func newRouter(name, failureDomain, binary, dir, storeAddress string, seeds []string, addresses [3]string, faults Faults) (*router, error) {
	proxy, err := NewProxy(storeAddress)
	if err != nil {
		return nil, err
	}
	r := &router{
		name: name, binary: binary, dir: dir, callerAddress: addresses[0], storeProxy: proxy,
		settingsPath: filepath.Join(dir, name+".toml"),
	}
	settings := wire.Settings{
		Host: name, FailureDomain: failureDomain, Seeds: seeds, FrontendAddress: addresses[0], ReadyAddress: addresses[1], ControlPlaneAddress: addresses[2],
		PlatformAddress: proxy.Address(), DrainTimeout: shutdownTimeout, RetryExtra: usualRetryExtra,
		Pressure: faults.has(FaultQueue),
	}
	if faults.has(FaultTrouble) {
		settings.RetryExtra = ampleRetryExtra
	}
	if faults.has(FaultEvacuation) {
		settings.Evacuation = evacuationBound
	}
	if err := os.WriteFile(r.settingsPath, []byte(settings.Text()), 0o600); err != nil {
		return nil, errors.Wrap(err, "soak: settings")
	}
	return r, r.start()
}

// start starts the process. Unless the router is closing, a process that exits
// is restarted.
func (r *router) start() error {
	output, err := os.OpenFile(filepath.Join(r.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "soak: log")
	}
	cmd := exec.Command(r.binary, "gateway", "--config", r.settingsPath)
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "soak: start"), output.Close())
	}
	r.mu.Lock()
	r.process, r.exited = cmd.Process, make(chan struct{})
	r.incarnation++
	exited := r.exited
	r.mu.Unlock()
	go func() {
		_ = cmd.Wait() // a killed process returns an error
		_ = output.Close()
		close(exited)
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

// signal sends s to the process.
func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.process.Signal(s) // fails if the process has just exited, and then it is restarted
}

// terminate stops the process as the platform does: SIGTERM, then SIGKILL if it
// has not exited after shutdownTimeout.
func (r *router) terminate() {
	r.mu.Lock()
	process, exited := r.process, r.exited
	r.mu.Unlock()
	_ = process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(shutdownTimeout):
		_ = process.Kill()
	}
}

// close kills the process without restarting it, and waits until it has exited.
func (r *router) close() {
	r.mu.Lock()
	r.closing = true
	process, exited := r.process, r.exited
	r.mu.Unlock()
	_ = process.Signal(syscall.SIGCONT)
	_ = process.Kill()
	<-exited
	r.storeProxy.Close()
}
