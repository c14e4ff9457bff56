package testfleet

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// statStartTime is the index of a process's start time among the fields of
// /proc/<id>/stat after the command name, counted from 0 (proc(5)).
const statStartTime = 19

// Signal sends a signal to the named process.
func (f *Fleet) Signal(name string, signal syscall.Signal) error {
	return errors.Wrapf(syscall.Kill(f.ids[name], signal), "testfleet: signal %s", name)
}

const exitPollInterval = 20 * time.Millisecond

// Restart kills the named process and starts a new one with the same command line
// and the same addresses. The new process has none of the old one's in-memory state.
func (f *Fleet) Restart(name string) error {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", f.ids[name]))
	if err != nil {
		return errors.Wrapf(err, "testfleet: restart %s", name)
	}
	if err := f.Signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	awaitExit(f.ids[name])
	return f.startProcess(name, strings.Split(string(bytes.TrimRight(raw, "\x00")), "\x00"))
}

// awaitExit waits until a killed process has released its ports. It watches the
// process's command line in /proc, which is empty once its memory is freed.
func awaitExit(id int) {
	for {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", id))
		if err != nil || len(raw) == 0 {
			// The kernel closes files after it frees the memory, within the same exit.
			time.Sleep(exitPollInterval)
			return
		}
		time.Sleep(exitPollInterval)
	}
}

// startProcess starts a command under the given name and records it in the list of
// processes that Stop ends.
func (f *Fleet) startProcess(name string, argv []string) error {
	logs, err := os.OpenFile(filepath.Join(f.directory, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrapf(err, "testfleet: start %s", name)
	}
	defer func() { _ = logs.Close() }()
	command := exec.Command(argv[0], argv[1:]...)
	command.Dir = repositoryRoot()
	command.Stdout, command.Stderr = logs, logs
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "testfleet: start %s", name)
	}
	go func() { _ = command.Wait() }()
	f.ids[name] = command.Process.Pid
	return f.recordProcess(name, command.Process.Pid)
}

func (f *Fleet) recordProcess(name string, id int) error {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	if err != nil {
		return errors.Wrapf(err, "testfleet: record process %s", name)
	}
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	list, err := os.OpenFile(filepath.Join(f.directory, "ids"), os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrapf(err, "testfleet: record process %s", name)
	}
	_, err = fmt.Fprintf(list, "%s %d %s\n", name, id, fields[statStartTime])
	return errors.Wrapf(errors.CombineErrors(err, list.Close()), "testfleet: record process %s", name)
}
