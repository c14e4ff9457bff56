package testfleet

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// clockTick is the unit of CPU time in /proc.
const clockTick = 10 * time.Millisecond

// Fields of /proc/<id>/stat after the command name, counted from 0 (proc(5)).
const (
	statState      = 0
	statUserTime   = 11
	statSystemTime = 12
	statThreads    = 17
	statStartTime  = 19
)

// stateZombie is the state of a process whose first thread has ended.
const stateZombie = "Z"

// readStat returns the fields of /proc/<id>/stat after the command name.
func readStat(id int) ([]string, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	if err != nil {
		return nil, err
	}
	return strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:])), nil
}

// hasEnded reports whether all threads of process id have ended, the last of which
// closed its files. Nobody may have waited for the process yet.
func hasEnded(id int) bool {
	fields, err := readStat(id)
	return err != nil || fields[statState] == stateZombie && fields[statThreads] == "1"
}

// ProcessorTime returns the user and system CPU time that process id has used.
func ProcessorTime(id int) (time.Duration, error) {
	fields, err := readStat(id)
	if err != nil {
		return 0, errors.Wrap(err, "testfleet: processor time")
	}
	var ticks int
	for _, field := range []int{statUserTime, statSystemTime} {
		n, err := strconv.Atoi(fields[field])
		if err != nil {
			return 0, errors.Wrap(err, "testfleet: processor time")
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

// ResidentBytes returns the size of the resident memory of process id.
func ResidentBytes(id int) (int64, error) { return readMemory(id, "VmRSS:") }

// PeakResidentBytes returns the largest size that the resident memory of process id has had.
func PeakResidentBytes(id int) (int64, error) { return readMemory(id, "VmHWM:") }

// readMemory returns a size in bytes from /proc/<id>/status.
func readMemory(id int, field string) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", id))
	if err != nil {
		return 0, errors.Wrap(err, "testfleet: resident memory")
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, field); ok {
			kilobytes, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kilobytes << 10, errors.Wrap(err, "testfleet: resident memory")
		}
	}
	return 0, errors.Newf("testfleet: resident memory: no %s", field)
}

// OpenDescriptors returns the number of file descriptors that process id has open.
func OpenDescriptors(id int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", id))
	return len(entries), errors.Wrap(err, "testfleet: open descriptors")
}
