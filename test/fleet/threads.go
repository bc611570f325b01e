package fleet

import (
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// allThreadsStopped reports whether the kernel shows every thread of the process
// as stopped. It is needed because SIGSTOP stops the threads one after another,
// and new ones may appear meanwhile.
func allThreadsStopped(pid int) bool {
	before := threadDirs(pid)
	for _, dir := range before {
		if threadState(dir) != "T" {
			return false
		}
	}
	return len(before) > 0 && slices.Equal(before, threadDirs(pid))
}

// threadDirs returns the directories of the process's threads in /proc.
func threadDirs(pid int) []string {
	dirs, err := filepath.Glob(filepath.Join("/proc", strconv.Itoa(pid), "task", "*"))
	if err != nil {
		return nil
	}
	return dirs
}

// threadState returns the letter of a thread's state, or "" if the thread has
// exited. In /proc's stat file the state follows the name, which is in
// parentheses and may contain spaces.
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
