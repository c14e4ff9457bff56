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

// Fields of /proc/<id>/stat after the command name, counted from 0.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// ProcessorTime returns the user and system CPU time that process id has used.
func ProcessorTime(id int) (time.Duration, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	if err != nil {
		return 0, errors.Wrap(err, "testfleet: processor time")
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
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
func ResidentBytes(id int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", id))
	if err != nil {
		return 0, errors.Wrap(err, "testfleet: resident memory")
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kilobytes << 10, errors.Wrap(err, "testfleet: resident memory")
		}
	}
	return 0, errors.New("testfleet: resident memory: no VmRSS")
}
