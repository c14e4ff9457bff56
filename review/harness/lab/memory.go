package lab

import (
	"fmt"
	"os"
	"strings"
)

// MemoryMb returns the most memory that a process has had resident, in MB, as the kernel has
// counted it; 0 if it has ended.
func MemoryMb(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb := 0
			_, _ = fmt.Sscan(text, &kb)
			return kb >> 10
		}
	}
	return 0
}
