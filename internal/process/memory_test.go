package process

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestHostMemory(t *testing.T) {
	must.Eq(t, 184<<20, parseHostMemory("MemTotal:         188416 kB\nMemFree:           1024 kB\n"))
	must.Eq(t, 0, parseHostMemory("MemFree: 1 kB\nMemTotal: unknown\n"))
	must.Eq(t, 0, parseHostMemory(""))
}
