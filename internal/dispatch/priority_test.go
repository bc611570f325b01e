package dispatch

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/admission"
	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/placement"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/runref"
	"github.com/pomelosill/pomelosill/internal/workload"
)

// enqueueTestJob adds a waiting job of one task.
func (d *Dispatcher) enqueueTestJob(id, route string) *job {
	spec := &workload.Job{ID: id, Steps: []workload.Step{{Count: 1, Resources: workload.Resources{MilliCPU: 1000}, Estimate: 50 * time.Millisecond}}}
	now := clock.SinceBoot()
	j := newJob(d.estimates, spec, &policy.Route{Name: route, Service: "svc", MaxAttempts: 2, Stretch: 1, TargetLatency: time.Second}, now, now+time.Minute)
	j.addConnection(&submission{})
	d.jobs[id], d.waiting[id] = j, j
	return j
}

func (d *Dispatcher) waitingRoutes() []string {
	var routes []string
	for j := range placement.InOrder(d.rankedWaiting(clock.SinceBoot()), &d.started) {
		routes = append(routes, j.route.Name)
	}
	return routes
}

// Guards against jobs that keep the level of an earlier configuration while they wait.
func TestWaitingJobsFollowSwappedPriorities(t *testing.T) {
	d, _ := newServingDispatcher(t)
	for i, route := range []string{"s", "r", "s", "r"} {
		d.enqueueTestJob(string(rune('1'+i)), route)
	}
	d.applyPriorities(5, 5)
	must.Len(t, 1, d.State().Levels)
	d.applyPriorities(0, 7)
	must.Eq(t, []string{"r", "r", "s", "s"}, d.waitingRoutes())
	d.applyPriorities(7, 0)
	must.Eq(t, []string{"s", "s", "r", "r"}, d.waitingRoutes())
	level := d.State().Levels[1]
	must.Eq(t, 2, level.WaitingJobs)
	must.Eq(t, 2000, level.WaitingMilliCPU)
}

// Guards against waiting jobs that move to the first level when the configuration
// removes their route.
func TestWaitingJobsOfRemovedRouteKeepTheirLevel(t *testing.T) {
	d, _ := newServingDispatcher(t)
	d.applyPriorities(0, 7)
	j := d.enqueueTestJob("1", "s")
	must.Eq(t, 1, d.level(j))
	d.policy.Apply(&policy.Snapshot{Revision: d.policy.Revision() + 1, Config: &policy.Config{Routes: []policy.Route{{Name: "r"}}}})
	d.enqueueTestJob("2", "r")
	must.Eq(t, 1, d.level(j))
	must.Eq(t, []string{"r", "s"}, d.waitingRoutes())
}

// Guards against starts that count for a level's share although the runner refused
// them, and against a time until the first start that ignores the wait at the runner.
func TestRefusedStartsDontCountForTheShare(t *testing.T) {
	d, r := newServingDispatcher(t)
	d.applyPriorities(0, 1)
	r.state = &pb.RunnerState{Ready: true, Healthy: true, Service: "svc", CapacityCpu: 4000, SpeedPercent: 100}
	j := d.enqueueTestJob("1", "s")
	event := func(end pb.RunEnd, code result.Code, runTime time.Duration) {
		run := slices.Collect(maps.Keys(r.runs))[0]
		d.handleRunEvent(r, &pb.RunEvent{Run: runref.Encode(run), End: end, Code: uint32(code), RunUs: runTime.Microseconds()})
	}
	r.lastFrameAt = clock.SinceBoot()
	d.schedule(r.lastFrameAt)
	must.Eq(t, 1, d.started.Fraction(1))
	event(pb.RunEnd_RUN_END_REFUSED, result.NoFreeSlot, 0)
	must.Eq(t, 0, d.started.Fraction(1))
	d.schedule(clock.SinceBoot())
	must.Eq(t, 1, d.started.Fraction(1))
	time.Sleep(20 * time.Millisecond)
	event(pb.RunEnd_RUN_END_DONE, result.OK, 10*time.Millisecond)
	must.True(t, j.answered)
	must.GreaterEq(t, 10*time.Millisecond, j.firstStartAt-j.arrivedAt)
}

// Guards against a state of another version, or with an absurd number of levels.
func TestWaitingCPUByLevelOfAnyState(t *testing.T) {
	must.Eq(t, admission.ByLevel{7}, admission.DecodeBacklog(7, nil))
	must.Eq(t, admission.ByLevel{1, 2, 3, 9}, admission.DecodeBacklog(7, []uint64{1, 2, 3, 4, 5}))
}
