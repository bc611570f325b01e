package process

import "runtime/debug"

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
