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

// startTimeField is the position of a process's start time among the fields of
// /proc/ID/stat that follow the command's name (proc(5)).
const startTimeField = 19

// Signal sends a signal to the process called name.
func (f *Fleet) Signal(name string, signal syscall.Signal) error {
	return errors.Wrapf(syscall.Kill(f.ids[name], signal), "signal %s", name)
}

const exitPause = 20 * time.Millisecond

// Replace kills the process called name and starts another with the same
// command line, at the same addresses and with empty memory.
func (f *Fleet) Replace(name string) error {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", f.ids[name]))
	if err != nil {
		return errors.Wrapf(err, "replace %s", name)
	}
	if err := f.Signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	awaitExit(f.ids[name])
	return f.start(name, strings.Split(string(bytes.TrimRight(raw, "\x00")), "\x00"))
}

// awaitExit waits until a killed process has released its ports: its command
// line is empty once its memory is gone.
func awaitExit(id int) {
	for {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", id))
		if err != nil || len(raw) == 0 {
			// Files are closed after memory, within the same exit.
			time.Sleep(exitPause)
			return
		}
		time.Sleep(exitPause)
	}
}

// start runs a command as the process called name and enters it into the list
// of those that Stop ends.
func (f *Fleet) start(name string, argv []string) error {
	logs, err := os.OpenFile(filepath.Join(f.directory, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrapf(err, "start %s", name)
	}
	defer func() { _ = logs.Close() }()
	command := exec.Command(argv[0], argv[1:]...)
	command.Dir = root()
	command.Stdout, command.Stderr = logs, logs
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", name)
	}
	go func() { _ = command.Wait() }()
	f.ids[name] = command.Process.Pid
	return f.enter(name, command.Process.Pid)
}

func (f *Fleet) enter(name string, id int) error {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	if err != nil {
		return errors.Wrapf(err, "enter %s", name)
	}
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	list, err := os.OpenFile(filepath.Join(f.directory, "ids"), os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrapf(err, "enter %s", name)
	}
	_, err = fmt.Fprintf(list, "%s %d %s\n", name, id, fields[startTimeField])
	return errors.Wrapf(errors.CombineErrors(err, list.Close()), "enter %s", name)
}
