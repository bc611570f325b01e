package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/workload"
)

// newStaleViewDispatcher returns a dispatcher with two runners. The first has more free
// capacity, but sent its last frame a while ago. othersLoad is the load of the other
// dispatchers.
func newStaleViewDispatcher(t *testing.T, othersLoad float64, now time.Duration) *Dispatcher {
	d := newBusyDispatcher(t, 2)
	for _, r := range d.runners {
		r.state.UsedCpu, r.state.WaitingCpu, r.state.WaitingCpuByPriority = 6000, 0, nil
		r.state.OtherLoad, r.lastFrameAt = othersLoad, now
	}
	d.runners["r-0"].state.UsedCpu, d.runners["r-0"].lastFrameAt = 5000, now-placementTimeout
	d.load.Add(1000, now)
	return d
}

// placedByRunner returns the number of tasks at each of two runners that a job of this
// many tasks is sent to.
func (d *Dispatcher) placedByRunner(t *testing.T, tasks int, now time.Duration) [2]int {
	spec := &workload.Job{ID: "j", Steps: []workload.Step{{Count: tasks, Resources: workload.Resources{MilliCPU: 1000}, Estimate: 100 * time.Millisecond}}}
	_, err := d.admit(spec, &d.policy.Current().Config.Routes[0], "192.0.2.1", now, now+time.Second)
	must.NoError(t, err)
	d.schedule(now)
	var placed [2]int
	for i := range placed {
		placed[i] = len(d.runners[fmt.Sprintf("r-%d", i)].runs)
	}
	return placed
}

// Guards against tasks sent by old views while other dispatchers place work at the same
// runners, and against a choice by the age of views where this dispatcher is the only one
// or the others are idle.
func TestOldViewsCountAsTakenByOtherDispatchers(t *testing.T) {
	now := clock.SinceBoot()
	must.Eq(t, [2]int{1, 2}, newStaleViewDispatcher(t, 3000, now).placedByRunner(t, 3, now))
	must.Eq(t, [2]int{3, 0}, newStaleViewDispatcher(t, 0, now).placedByRunner(t, 3, now))
}

// Guards against work sent by a dispatcher that resumes with views that are seconds old.
// It must place work again with the first frames.
func TestNothingIsPlacedByViewsSecondsOld(t *testing.T) {
	now := clock.SinceBoot()
	d := newStaleViewDispatcher(t, 3000, now)
	for _, r := range d.runners {
		r.lastFrameAt = now - 3*time.Second
	}
	endpoints, _ := d.usableEndpoints(false, now)
	must.SliceEmpty(t, endpoints)
	d.runners["r-1"].lastFrameAt = now
	must.Eq(t, [2]int{0, 2}, d.placedByRunner(t, 2, now))
}
