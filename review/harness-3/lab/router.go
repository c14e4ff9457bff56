package lab

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// The command of deploy/system.toml.
var command = []string{"target/dandelionrill", "gateway", "--metrics-port", "9464"}

// Router is one router process, at a loopback address of its own.
type Router struct {
	Name     string
	Frontend string
	Ready    string
	Control  string
	Zone     string

	dir     string
	process *exec.Cmd
	exited  chan struct{}
}

// ReserveRouter returns a router that is not started, with free addresses.
func ReserveRouter(dir, name, zone string) (*Router, error) {
	for range 50 {
		ip := fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(60), rand.IntN(256), 2+rand.IntN(250))
		var addresses []string
		var listeners []net.Listener
		for _, port := range []string{"0", "0", "0", "9464"} {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, port))
			if err != nil {
				break
			}
			listeners = append(listeners, l)
			addresses = append(addresses, l.Addr().String())
		}
		for _, l := range listeners {
			_ = l.Close()
		}
		if len(addresses) == 4 {
			return &Router{Name: name, Frontend: addresses[0], Ready: addresses[1], Control: addresses[2], Zone: zone, dir: dir}, nil
		}
	}
	return nil, fmt.Errorf("no free loopback address for router %s", name)
}

// Settings are the parts of a settings file that differ between cases.
type Settings struct {
	Store     string
	Seeds     []string
	Bootstrap bool
	Bounds    map[string]any // besides the usual ones
	Contracts []string       // the usual ones if nil
}

func list(texts []string) string {
	data, err := json.Marshal(texts)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// Start writes the settings file and starts the process in the current folder.
func (r *Router) Start(s Settings) error {
	contracts := s.Contracts
	if contracts == nil {
		contracts = []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"}
	}
	ip, _, _ := strings.Cut(r.Frontend, ":")
	var b strings.Builder
	fmt.Fprintf(&b, `nodeName = %q
role = "router"
machineClass = "edge"
serves = ["edge","control"]
ip = %q
zone = %q
region = "r"
seedNodes = %s
bootstrap = %v
inTolerance = false
discovery = "platform"
entryKind = "vip"
heartbeatMs = 1200
contracts = %s
[zones]
a = "r"
b = "r"
[listen]
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
[platform]
address = %q
form = "objects"
writesPerS = 400
readsPerS = 2000
retentionS = 20
valueBytes = 1048576
ttlMinMs = 1000
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
`, r.Name, ip, r.Zone, list(s.Seeds), s.Bootstrap, list(contracts), r.Frontend, r.Ready, r.Control, s.Store)
	for name, value := range s.Bounds {
		fmt.Fprintf(&b, "%s = %v\n", name, value)
	}
	path := filepath.Join(r.dir, r.Name+".toml")
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.dir, r.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "DANDELIONRILL_CONFIG=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	r.process, r.exited = cmd, exited
	return nil
}

// Signal sends a signal to the process.
func (r *Router) Signal(s syscall.Signal) { _ = r.process.Process.Signal(s) }

// Kill kills the process and waits for its end.
func (r *Router) Kill() {
	if r.process == nil {
		return
	}
	r.Signal(syscall.SIGCONT)
	r.Signal(syscall.SIGKILL)
	<-r.exited
}

// Terminate stops the process as the platform does, and waits for its end.
func (r *Router) Terminate(grace time.Duration) {
	r.Signal(syscall.SIGTERM)
	select {
	case <-r.exited:
	case <-time.After(grace):
		r.Kill()
	}
}

// AwaitReady waits until the process says that it is ready.
func (r *Router) AwaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		response, err := client.Get("http://" + r.Ready + names["ready"])
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("router %s is not ready after %v", r.Name, timeout)
}
