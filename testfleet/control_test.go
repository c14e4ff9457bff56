package testfleet

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dandelionrill.example/fleet/internal/loopback"
)

// slowExitVariable holds the address on which a copy of the test binary listens, if
// it is to exit slowly instead of running tests.
const slowExitVariable = "TESTFLEET_SLOW_EXIT"

// slowExitDelay is the time between the end of the first thread and of the others.
const slowExitDelay = 500 * time.Millisecond

func init() {
	if address := os.Getenv(slowExitVariable); address != "" {
		exitSlowly(address)
	}
}

// exitSlowly listens on address and ends the first thread of this process, on which
// init functions run, while the others go on.
func exitSlowly(address string) {
	if _, err := net.Listen("tcp", address); err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	time.AfterFunc(slowExitDelay, func() { os.Exit(0) })
	fmt.Println("listening")
	_, _, _ = syscall.Syscall(syscall.SYS_EXIT, 0, 0, 0)
}

// Guards against a restarted process that finds its port in use: under load the
// threads of a killed process end one after another, and the last one closes the port.
func TestAwaitExitWaitsForAllThreads(t *testing.T) {
	reservation, err := loopback.Reserve()
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, reservation.Release()) })
	address := reservation.IP + ":18100"
	process := exec.Command(os.Args[0])
	process.Env = append(os.Environ(), slowExitVariable+"="+address)
	output, err := process.StdoutPipe()
	must.NoError(t, err)
	must.NoError(t, process.Start())
	t.Cleanup(func() { must.NoError(t, process.Wait()) })
	line, err := bufio.NewReader(output).ReadString('\n')
	must.NoError(t, err)
	must.Eq(t, "listening\n", line)
	awaitFirstThreadExit(t, process.Process.Pid)

	awaitExit(process.Process.Pid)
	listener, err := net.Listen("tcp", address)
	must.NoError(t, err)
	must.NoError(t, listener.Close())
}

// awaitFirstThreadExit waits until the memory of a process is no longer that of its
// first thread.
func awaitFirstThreadExit(t *testing.T, id int) {
	for {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", id))
		must.NoError(t, err)
		if len(raw) == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a process that ends by itself and is seen only as requests that fail.
func TestCheckRunningNamesEndedProcesses(t *testing.T) {
	directory := t.TempDir()
	must.NoError(t, os.WriteFile(filepath.Join(directory, "agent-1.log"), []byte("address already in use\n"), 0o600))
	process := exec.Command("true")
	must.NoError(t, process.Start())
	fleet := &Fleet{directory: directory, ids: map[string]int{"agent-1": process.Process.Pid, "router-1": os.Getpid()}}
	awaitExit(process.Process.Pid) // it is a zombie until Wait
	err := fleet.CheckRunning()
	must.ErrorContains(t, err, "agent-1: address already in use")
	must.StrNotContains(t, err.Error(), "router-1")
	must.NoError(t, process.Wait())
	must.ErrorContains(t, fleet.CheckRunning(), "agent-1")
}
