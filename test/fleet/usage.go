package fleet

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// PeakMemory returns the most memory in bytes that the process has had resident.
func (p *Process) PeakMemory(t *testing.T) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid()))
	must.NoError(t, err)
	for line := range strings.Lines(string(status)) {
		var kb int64
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kb); n == 1 {
			return kb << 10
		}
	}
	t.Fatalf("%s: the kernel doesn't tell its peak memory", p.Name)
	return 0
}

// Descriptors returns the number of the process's open descriptors.
func (p *Process) Descriptors(t *testing.T) int {
	t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid()))
	must.NoError(t, err)
	return len(open)
}
