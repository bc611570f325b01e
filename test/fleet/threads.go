package fleet

import (
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// allThreadsStopped reports whether the kernel shows every thread of the process as
// stopped. SIGSTOP reaches the threads one after another.
func allThreadsStopped(pid int) bool {
	before := threadDirs(pid)
	for _, dir := range before {
		if threadState(dir) != "T" {
			return false
		}
	}
	return len(before) > 0 && slices.Equal(before, threadDirs(pid))
}

// threadDirs returns the folders of the process's threads in /proc.
func threadDirs(pid int) []string {
	dirs, err := filepath.Glob(filepath.Join("/proc", strconv.Itoa(pid), "task", "*"))
	if err != nil {
		return nil
	}
	return dirs
}

// threadState returns the letter of a thread's state, or "" when the thread
// has ended. The state follows the name, which stands in parentheses.
func threadState(dir string) string {
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return ""
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	if len(fields) == 0 {
		return ""
	}
	return fields[0]
}
