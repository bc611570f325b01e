package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestStartingCapacity(t *testing.T) {
	cases := []struct {
		name           string
		milliCPU       int64
		usable, linked int
		sinceStart     time.Duration
		want           int64
		known          bool
	}{
		{"no runner is connected yet", 0, 0, 11, 40 * ms, 0, false},
		{"some runners are connected", 64_000, 2, 11, 40 * ms, 352_000, true},
		{"all runners are connected", 352_000, 11, 11, 40 * ms, 352_000, true},
		{"runners that don't come back are not expected for ever", 64_000, 2, 11, time.Second, 64_000, true},
		{"there are no runners", 0, 0, 11, time.Second, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, known := StartingCapacity(c.milliCPU, c.usable, c.linked, c.sinceStart)
			must.Eq(t, c.want, got)
			must.Eq(t, c.known, known)
		})
	}
}
