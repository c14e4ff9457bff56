package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// zones are the failure domains of the deployment.
var zones = []string{"bkk-a", "bkk-b", "nonthaburi", "ayutthaya"}

// rig starts the processes of a case on loopback and ends them.
type rig struct {
	root, dir string
	began     time.Time
	store     string // address of the store
	routers   []*router

	mu     sync.Mutex
	record io.WriteCloser
	procs  []*process
}

type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// newRig returns a rig for the repository at root that writes its record to a file.
func newRig(root, record string) (*rig, error) {
	for _, name := range []string{"target/dandelionrill", "bin/standin"} {
		if _, err := os.Stat(filepath.Join(root, name)); err != nil {
			return nil, err
		}
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &rig{root: root, dir: dir, record: f, began: time.Now()}, nil
}

// logf writes a line with the time since the start, in seconds, to the record.
func (r *rig) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// run starts a program in the root of the repository; its output goes to a file of the rig.
func (r *rig) run(log string, env []string, name string, args ...string) (*process, error) {
	out, err := os.OpenFile(filepath.Join(r.dir, log), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(r.root, name), args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = r.root, out, out
	cmd.Env = append(os.Environ(), env...)
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(p.exited)
	}()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.procs = append(r.procs, p)
	return p, nil
}

// close ends all processes that the rig started.
func (r *rig) close() {
	r.mu.Lock()
	procs := r.procs
	r.mu.Unlock()
	for _, p := range procs {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	_ = os.RemoveAll(r.dir)
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.record.Close()
	r.record = discard{}
}

// discard drops what stand-ins still write after the end.
type discard struct{ io.Writer }

// Write implements io.Writer.
func (discard) Write(p []byte) (int, error) { return len(p), nil }

// Close implements io.Closer.
func (discard) Close() error { return nil }

// freeAddresses returns n addresses with free ports, below those that the kernel gives to
// outgoing connections.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for tries := 0; len(out) < n; tries++ {
		if tries > 1000 {
			return nil, errors.New("no free ports")
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000)))
		if err != nil {
			continue
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// waitFor waits until f returns true.
func waitFor(what string, f func() bool) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f() {
			return nil
		}
	}
	return fmt.Errorf("%s: not in time", what)
}

// isOK reports whether a GET is answered 200.
func isOK(url string) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startStore starts the project's stand-in of the platform's store.
func (r *rig) startStore() error {
	addresses, err := freeAddresses(1)
	if err != nil {
		return err
	}
	r.store = addresses[0]
	if _, err := r.run("store.log", nil, "bin/standin", "platform", "--listen", r.store); err != nil {
		return err
	}
	return waitFor("store", func() bool { return isOK("http://" + r.store + "/control/counts") })
}

// call makes a call to the store.
func (r *rig) call(method, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, "http://"+r.store+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("store: %s %s: status %d", method, path, resp.StatusCode)
	}
	return nil
}

// put writes an object as its owner does: it replaces it, or creates it if it is not there.
func (r *rig) put(kind, name string, spec any) error {
	o := map[string]any{"metadata": map[string]any{"name": name}, "spec": spec}
	if r.call(http.MethodPut, objectsPath+kind+"/"+name, o) == nil {
		return nil
	}
	return r.call(http.MethodPost, objectsPath+kind, o)
}

// remove removes an object.
func (r *rig) remove(kind, name string) error {
	return r.call(http.MethodDelete, objectsPath+kind+"/"+name, nil)
}

// heartbeatInterval is the time between two writes of a replica's entry.
const heartbeatInterval = 1200 * time.Millisecond

// entry is what a replica writes of itself.
type entry struct {
	id, service, address, zone, version string
	slots                               int
}

// keepEntry writes the entry of a replica until stop is closed, and removes it once the lease
// of three intervals has run out.
func (r *rig) keepEntry(e entry, stop <-chan struct{}) {
	spec := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": e.slots,
		"state": "ready", "coldRemainingMs": 0, "born": time.Now().UnixMilli(),
	}
	for {
		_ = r.put("servers", e.id, spec)
		select {
		case <-stop:
			time.AfterFunc(3*heartbeatInterval, func() { _ = r.remove("servers", e.id) })
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// router is a process of the project.
type router struct {
	name                           string
	callers, ready, peers, metrics string // addresses
	process                        *process
}

// startRouters starts routers with the command of the deploy file, and waits until they are
// ready.
func (r *rig) startRouters(n int) error {
	for i := range n {
		a, err := freeAddresses(4)
		if err != nil {
			return err
		}
		r.routers = append(r.routers, &router{name: fmt.Sprint("edge-", i), callers: a[0], ready: a[1], peers: a[2], metrics: a[3]})
	}
	for i := range r.routers {
		if err := r.startRouter(i, true); err != nil {
			return err
		}
	}
	return r.awaitRouters()
}

// startRouter starts a router; bootstrap is true if the whole system starts for the first time.
func (r *rig) startRouter(i int, bootstrap bool) error {
	x := r.routers[i]
	path := filepath.Join(r.dir, x.name+".toml")
	if err := os.WriteFile(path, []byte(r.settings(x, zones[i%len(zones)], bootstrap)), 0o600); err != nil {
		return err
	}
	_, port, err := net.SplitHostPort(x.metrics)
	if err != nil {
		return err
	}
	x.process, err = r.run(x.name+".log", []string{"DANDELIONRILL_CONFIG=" + path}, "target/dandelionrill", "gateway", "--metrics-port", port)
	return err
}

// killRouters kills all routers at once.
func (r *rig) killRouters() {
	for _, x := range r.routers {
		_ = x.process.cmd.Process.Kill()
	}
	for _, x := range r.routers {
		<-x.process.exited
	}
}

// restartRouters starts all routers again, and waits until they are ready.
func (r *rig) restartRouters() error {
	for i := range r.routers {
		if err := r.startRouter(i, false); err != nil {
			return err
		}
	}
	return r.awaitRouters()
}

func (r *rig) awaitRouters() error {
	for _, x := range r.routers {
		if err := waitFor(x.name, func() bool { return isOK("http://" + x.ready + readyPath) }); err != nil {
			return err
		}
	}
	r.logf("%d routers are ready", len(r.routers))
	return nil
}

// settings returns the settings of a router, with the values of sites/tcsra-rill.toml.
func (r *rig) settings(x *router, zone string, bootstrap bool) string {
	var seeds []string
	for _, other := range r.routers[:min(3, len(r.routers))] {
		seeds = append(seeds, fmt.Sprintf("%q", other.peers))
	}
	var domains strings.Builder
	for _, z := range zones {
		fmt.Fprintf(&domains, "%s = \"th-central\"\n", z)
	}
	return fmt.Sprintf(settingsFormat, x.name, zone, strings.Join(seeds, ","), bootstrap, domains.String(), x.callers, x.ready, x.peers, r.store)
}

const settingsFormat = `nodeName = %q
role = "router"
machineClass = "edge"
serves = ["edge","control"]
ip = "127.0.0.1"
zone = %q
region = "th-central"
internalPorts = [7340,7355]
seedNodes = [%s]
bootstrap = %v
inTolerance = false
discovery = "platform"
entryKind = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
%s[listen]
frontend = %q
ready = %q
controlPlane = %q
[limits]
cpuQuota = 0.304
cpuCores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machineFaults = 2
zones = 0
regionFaults = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
maxStretchMs = 5000
strictRevocation = false
revokeMs = 5000
retryRatio = 0.2
retryWindowS = 10
retryExtra = 58
recoveryS = 12
iterationMs = 120
reuseWindowS = 10
capFactor = 2
[platform]
address = %q
form = "objects"
writesPerS = 400
readsPerS = 2000
retentionS = 20
valueBytes = 1048576
ttlMinMs = 1000
`
