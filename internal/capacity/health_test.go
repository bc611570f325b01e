package capacity

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestFailuresOfOneJobDoNotSuspend(t *testing.T) {
	h := NewHealth()
	for range 10 {
		must.False(t, h.RunFailed("faulty", 5*ms))
	}
	must.False(t, h.Suspended(5*ms))
}

func TestFailuresOfSeveralJobsSuspend(t *testing.T) {
	h := NewHealth()
	must.False(t, h.RunFailed("a", 5*ms))
	must.False(t, h.RunFailed("b", 5*ms))
	must.True(t, h.RunFailed("c", 5*ms))
	must.True(t, h.Suspended(5*ms+minSuspension/2))
	must.False(t, h.Suspended(5*ms+minSuspension))
	must.Eq(t, maxProbeRuns, h.MaxRuns())
}

func TestSuccessResetsFailures(t *testing.T) {
	h := NewHealth()
	h.RunFailed("a", 1*ms)
	h.RunFailed("b", 1*ms)
	h.RunDone()
	must.False(t, h.RunFailed("c", 2*ms))
}

func TestFailedProbeDoublesSuspension(t *testing.T) {
	h := NewHealth()
	must.True(t, h.MarkSlow(0))
	must.True(t, h.RunFailed("d", minSuspension))
	must.True(t, h.Suspended(minSuspension+2*minSuspension-ms))
	must.False(t, h.Suspended(minSuspension+2*minSuspension))
	h.RunDone()
	must.Eq(t, 0, h.MaxRuns())
	must.True(t, h.MarkSlow(10*minSuspension))
	must.False(t, h.Suspended(11*minSuspension), must.Sprint("a success resets the suspension's duration"))
}

// Overflow runs may only be started at an endpoint that is suspended for slowness
// alone, and failures of several jobs during that suspension must end them.
func TestFailuresReplaceSuspensionForSlowness(t *testing.T) {
	h := NewHealth()
	must.True(t, h.MarkSlow(0))
	must.True(t, h.SuspendedAsSlow(minSuspension-ms))
	must.False(t, h.SuspendedAsSlow(minSuspension))
	must.False(t, h.OverflowFailed("a", 5*ms))
	must.False(t, h.RunFailed("b", 5*ms), must.Sprint("a run that ends during the suspension is no probe"))
	must.True(t, h.SuspendedAsSlow(5*ms))
	must.True(t, h.OverflowFailed("c", 5*ms))
	must.False(t, h.SuspendedAsSlow(5*ms))
	must.True(t, h.Suspended(minSuspension))
	must.False(t, h.MarkSlow(6*ms))
	must.False(t, h.SuspendedAsSlow(6*ms), must.Sprint("slowness must not replace a suspension for failures"))
	h.OverflowDone()
	must.Eq(t, maxProbeRuns, h.MaxRuns(), must.Sprint("an overflow run is no probe"))
	must.False(t, h.OverflowFailed("d", maxSuspension), must.Sprint("nor is one that fails"))
}
