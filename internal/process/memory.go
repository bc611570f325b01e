package process

import (
	"fmt"
	"os"
	"runtime/debug"
	"strings"
)

// heapPercent is the part of a process's memory that the garbage collector keeps to. The rest is
// for the program and for what the kernel holds.
const heapPercent = 60

// LimitHeap makes the garbage collector keep to a part of the memory that the process may use,
// which is zero if it is unknown.
func LimitHeap(memoryBytes int64) {
	if memoryBytes > 0 {
		debug.SetMemoryLimit(memoryBytes / 100 * heapPercent)
	}
}

// HostMemory returns the memory of the host in bytes, zero if the system doesn't tell it.
func HostMemory() int64 {
	info, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	return parseHostMemory(string(info))
}

func parseHostMemory(info string) int64 {
	for line := range strings.Lines(info) {
		var kb int64
		if n, _ := fmt.Sscanf(line, "MemTotal: %d kB", &kb); n == 1 {
			return kb << 10
		}
	}
	return 0
}
