package lab

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Router is a router process, started by the command of the deploy file.
type Router struct {
	Name     string
	Frontend string
	Ready    string
	Control  string

	root, settings, log string
	mu                  sync.Mutex
	process             *os.Process
	exited              chan struct{}
}

// RouterOptions are what a router's settings depend on.
type RouterOptions struct {
	Root      string // of the repository
	Dir       string // for settings and logs
	Name      string
	Zone      string
	Store     string
	Seeds     []string
	IP        string // each router has a loopback address of its own
	Contracts string // as a TOML list
	MemoryMb  int
	Bounds    string // further lines
	First     bool
}

// freePort returns a free port of an address.
func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Addresses are those of a router's listeners.
type Addresses struct{ Frontend, Ready, Control string }

// NewAddresses returns free addresses at an IP.
func NewAddresses(ip string) (a Addresses, err error) {
	for _, p := range []*string{&a.Frontend, &a.Ready, &a.Control} {
		if *p, err = freePort(ip); err != nil {
			return a, err
		}
	}
	return a, nil
}

// NewRouter writes the settings of a router. Start starts it.
func NewRouter(o RouterOptions, a Addresses) (*Router, error) {
	r := &Router{
		Name: o.Name, Frontend: a.Frontend, Ready: a.Ready, Control: a.Control, root: o.Root,
		settings: filepath.Join(o.Dir, o.Name+".toml"), log: filepath.Join(o.Dir, o.Name+".log"),
	}
	seeds := ""
	for i, s := range o.Seeds {
		if i > 0 {
			seeds += ","
		}
		seeds += fmt.Sprintf("%q", s)
	}
	if o.Contracts == "" {
		o.Contracts = `["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]`
	}
	if o.MemoryMb == 0 {
		o.MemoryMb = 284
	}
	text := fmt.Sprintf(`nodeName = %q
role = "router"
machineClass = "edge"
serves = ["edge","control"]
ip = %q
zone = %q
region = "region"
internalPorts = [7340,7355]
seedNodes = [%s]
bootstrap = %v
inTolerance = false
discovery = "platform"
entryKind = "vip"
heartbeatMs = 1200
contracts = %s
[zones]
zone-a = "region"
zone-b = "region"
zone-c = "region"
[listen]
frontend = %q
ready = %q
controlPlane = %q
[limits]
cpuQuota = 0.304
cpuCores = 1
memoryMb = %d
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
retryExtra = 56
recoveryS = 12
iterationMs = 120
reuseWindowS = 10
capFactor = 2
%s
[platform]
address = %q
form = "objects"
writesPerS = 400
readsPerS = 2000
retentionS = 20
valueBytes = 1048576
ttlMinMs = 1000
`, o.Name, o.IP, o.Zone, seeds, o.First, o.Contracts, a.Frontend, a.Ready, a.Control, o.MemoryMb, o.Bounds, o.Store)
	return r, os.WriteFile(r.settings, []byte(text), 0o600)
}

// Start starts the process.
func (r *Router) Start() error {
	out, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(filepath.Join(r.root, "target", "dandelionrill"), "gateway", "--metrics-port", "9464")
	cmd.Dir = r.root
	cmd.Env = append(os.Environ(), "DANDELIONRILL_CONFIG="+r.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	r.mu.Lock()
	r.process, r.exited = cmd.Process, exited
	r.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// PID returns the id of the process.
func (r *Router) PID() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.process.Pid
}

// Exited is closed when the process has exited.
func (r *Router) Exited() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.exited
}

// Signal sends a signal to the process.
func (r *Router) Signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.process.Signal(s)
}

// Kill ends the process and waits for its end.
func (r *Router) Kill() {
	r.mu.Lock()
	p, exited := r.process, r.exited
	r.mu.Unlock()
	if p == nil {
		return
	}
	_ = p.Signal(syscall.SIGCONT)
	_ = p.Kill()
	<-exited
}

// AwaitReady waits until the router says that it is ready.
func (r *Router) AwaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if resp, err := client.Get("http://" + r.Ready + names["ready"]); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("%s is not ready", r.Name)
}
