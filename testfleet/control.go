package testfleet

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Signal sends a signal to the named process.
func (f *Fleet) Signal(name string, signal syscall.Signal) error {
	return errors.Wrapf(syscall.Kill(f.ids[name], signal), "testfleet: signal %s", name)
}

// maxLogEndBytes bounds the part of a log that CheckRunning quotes.
const maxLogEndBytes = 500

// CheckRunning returns an error if processes have ended by themselves. It names each
// of them with the end of its log.
func (f *Fleet) CheckRunning() error {
	var ended []string
	for _, name := range slices.Sorted(maps.Keys(f.ids)) {
		if hasEnded(f.ids[name]) {
			ended = append(ended, name+": "+f.logEnd(name))
		}
	}
	if len(ended) == 0 {
		return nil
	}
	return errors.Newf("testfleet: processes that have ended by themselves: %s", strings.Join(ended, "; "))
}

// logEnd returns the end of the log of a process, or why it cannot be read.
func (f *Fleet) logEnd(name string) string {
	raw, err := os.ReadFile(filepath.Join(f.directory, name+".log"))
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(raw[max(0, len(raw)-maxLogEndBytes):]))
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

// awaitExit waits until a killed process has released its ports.
func awaitExit(id int) {
	for !hasEnded(id) {
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
	fields, err := readStat(id)
	if err != nil {
		return errors.Wrapf(err, "testfleet: record process %s", name)
	}
	list, err := os.OpenFile(filepath.Join(f.directory, "ids"), os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrapf(err, "testfleet: record process %s", name)
	}
	_, err = fmt.Fprintf(list, "%s %d %s\n", name, id, fields[statStartTime])
	return errors.Wrapf(errors.CombineErrors(err, list.Close()), "testfleet: record process %s", name)
}
