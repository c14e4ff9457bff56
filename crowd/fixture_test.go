package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dandelionrill.example/fleet/internal/loopback"
	"dandelionrill.example/fleet/soak"
	"dandelionrill.example/standin/platform"
	"dandelionrill.example/standin/replica"
	"dandelionrill.example/standin/wire"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

const (
	host    = "crowd.example"
	service = "svc"
	apiKey  = "crowd-key"
	// memoryMb is the limit on the memory of the router in its settings.
	memoryMb = 64
	// fileReserve is how many of the descriptors in the settings are not for sockets and pipes.
	fileReserve = 200
	// largeAnswer is the size of an answer on a path with /large.
	largeAnswer = 1 << 20
	// callerDeadline is the time that an ordinary caller allows for an answer.
	callerDeadline = 10 * time.Second
)

// binaryDir is where routerBinary builds; empty if no test needed it.
var binaryDir string

// routerBinary builds the router once for all tests.
var routerBinary = sync.OnceValues(func() (binary string, err error) {
	if binaryDir, err = os.MkdirTemp("", "crowd"); err != nil {
		return "", err
	}
	return soak.Build(binaryDir, func(name string, args ...string) error {
		cmd := exec.Command(name, args...)
		cmd.Dir = ".."
		return cmd.Run()
	})
})

func TestMain(m *testing.M) {
	code := m.Run()
	_ = os.RemoveAll(binaryDir) // does nothing if it is empty
	os.Exit(code)
}

// fixture is a router process with a store and one upstream. The process is not started again
// if it ends.
type fixture struct {
	address string // for callers
	maxFds  int
	process *os.Process
	exited  chan struct{} // closed when the process has ended
	usage   *usage
	conns   connections
}

func newFixture(t *testing.T, maxFds int) *fixture {
	t.Helper()
	binary, err := routerBinary()
	must.NoError(t, err)
	store := platform.New(platform.Options{})
	c := wire.Configuration{
		Version: 1, Host: host, Service: service, Key: apiKey, Timeout: 30 * time.Second, Attempts: 2,
		Routes: []wire.Route{{Prefix: "/once/", Kind: wire.RouteNonIdempotent}, {Prefix: "/safe/", Kind: wire.RouteIdempotent}},
	}
	store.SetObject(wire.KindConfiguration, wire.NameConfiguration, c.Spec())
	r := replica.New(replica.Options{ID: "i-0", Slots: 1000})
	store.SetObject(wire.KindUpstreams, "i-0", wire.Upstream(service, serve(t, enlarge(r)), "", false))
	reservation, err := loopback.Reserve()
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, reservation.Release()) })
	address := func(port int) string { return fmt.Sprintf("%s:%d", reservation.IP, port) }
	settings := wire.Settings{
		Host: "router-0", FailureDomain: "a", Seeds: []string{address(21002)}, FrontendAddress: address(21000), ReadyAddress: address(21001),
		ControlPlaneAddress: address(21002), PlatformAddress: serve(t, store), DrainTimeout: 6 * time.Second, RetryExtra: 60,
		MemoryMb: memoryMb, MaxFds: maxFds,
	}
	f := &fixture{address: address(21000), maxFds: maxFds}
	f.start(t, binary, settings.Text())
	t.Cleanup(f.conns.close)
	must.NoError(t, f.ordinaryRequest("ready"))
	return f
}

// serve serves a handler until the test ends and returns its address.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }() // returns when the server is closed
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

var largeText = bytes.Repeat([]byte("x"), largeAnswer)

// enlarge makes answers on paths with /large largeAnswer bytes larger.
func enlarge(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(w, r)
		if strings.Contains(r.URL.Path, "/large") {
			_, _ = w.Write(largeText) // fails only if the router has gone
		}
	})
}

func (f *fixture) start(t *testing.T, binary, settings string) {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, "router.toml")
	must.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
	output, err := os.Create(filepath.Join(dir, "router.log"))
	must.NoError(t, err)
	cmd := exec.Command(binary, "gateway", "--config", path)
	cmd.Stdout, cmd.Stderr = output, output
	must.NoError(t, cmd.Start())
	f.process, f.exited = cmd.Process, make(chan struct{})
	go func() {
		_ = cmd.Wait() // a killed process returns an error
		_ = output.Close()
		close(f.exited)
	}()
	f.usage = watchUsage(f.process.Pid)
	t.Cleanup(func() {
		f.usage.stop()
		_ = f.process.Signal(syscall.SIGKILL) // fails if it has ended
		<-f.exited
	})
}

// ordinaryRequest sends a small request on a new connection. Like all callers of the platform
// it is sent again after a promise that it was not run, within its deadline.
func (f *fixture) ordinaryRequest(attempt string) error {
	var last error
	for i, end := 0, time.Now().Add(callerDeadline); time.Now().Before(end); i++ {
		response, err := f.request(fmt.Sprint(attempt, "-", i), time.Until(end))
		if err == nil && response.StatusCode == http.StatusOK {
			return nil
		}
		if err == nil {
			err = fmt.Errorf("status %d", response.StatusCode)
		}
		last = errors.CombineErrors(last, err)
		time.Sleep(100 * time.Millisecond)
	}
	return last
}

// request sends a small request on a new connection and reads the answer.
func (f *fixture) request(attempt string, deadline time.Duration) (*http.Response, error) {
	c, err := net.DialTimeout("tcp", f.address, time.Second)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline)) // fails only if the connection is closed
	if _, err := io.WriteString(c, head("/once/x", attempt, "Content-Length: 5")+"plain"); err != nil {
		return nil, err
	}
	return readAnswer(c)
}

// readAnswer reads a whole answer.
func readAnswer(c net.Conn) (*http.Response, error) {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

// head returns the head of a request with further header lines.
func head(path, attempt string, lines ...string) string {
	h := make(http.Header)
	wire.SetRequestHeaders(h, attempt, apiKey, 30*time.Second)
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\n", path, host)
	_ = h.Write(&b) // a strings.Builder does not fail
	for _, line := range lines {
		b.WriteString(line + "\r\n")
	}
	return b.String() + "\r\n"
}

// check checks, once the router has read what the crowd sent and with the crowd still there, that an ordinary request is answered, that the
// process lives, and that it never exceeded the limits in its settings.
func (f *fixture) check(t *testing.T) {
	t.Helper()
	f.usage.awaitQuiet()
	err := f.ordinaryRequest("ordinary")
	f.usage.stop()
	t.Logf("most memory %d kB of %d, most sockets and pipes %d of %d; ordinary request: %v",
		f.usage.memoryKB, memoryMb<<10, f.usage.sockets, f.maxFds-fileReserve, err)
	select {
	case <-f.exited:
		t.Fatal("the process has ended")
	default:
	}
	must.NoError(t, err, must.Sprint("ordinary request"))
	must.LessEq(t, memoryMb<<10, f.usage.memoryKB, must.Sprint("most memory in kB"))
	must.LessEq(t, f.maxFds-fileReserve, f.usage.sockets, must.Sprint("most sockets and pipes"))
}
