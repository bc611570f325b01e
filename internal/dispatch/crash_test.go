package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/directory"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/placement"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/workload"
)

// crashReport returns the crash of a process during a run of the first task of the
// job "j".
func crashReport(life string, contained bool) []*pb.CrashReport {
	run := &pb.CrashedRun{Task: workload.TaskID{Job: "j"}.String(), Route: "r", Contained: contained}
	return []*pb.CrashReport{{Runner: "r-9", Life: life, Runs: []*pb.CrashedRun{run}}}
}

func (d *Dispatcher) admitTestJob(t *testing.T, id string) *job {
	spec := &workload.Job{ID: id, Steps: []workload.Step{{Count: 1, Resources: workload.Resources{MilliCPU: 1000}, Estimate: 50 * time.Millisecond}}}
	now := clock.SinceBoot()
	// Tests that admit many jobs at once expect each to be placed at once.
	d.passes.usedUntil = 0
	j, err := d.admit(spec, &policy.Route{Name: "r", Service: "svc", MaxAttempts: 2, Stretch: 1.6, TargetLatency: time.Second}, "", now, now+time.Second)
	must.NoError(t, err)
	return j
}

// A caller whose answer was lost sends its job again through another dispatcher,
// which has heard of the crashes from the runners and the other dispatchers.
func TestJobThatCrashedEndpointsElsewhereIsNotStartedAgain(t *testing.T) {
	d, r := newServingDispatcher(t)
	g := newGossipStream(d, nil, nil)
	g.handleFrame(&pb.GossipFrame{Crashes: crashReport("1", false)})
	d.onFrame(r, r.outbox, &pb.RunnerFrame{Crashes: crashReport("2", true)})
	j := d.admitTestJob(t, "j")
	a := <-j.answer
	must.True(t, a.Failed && a.Code == result.OK, must.Sprintf("%+v", a))
	must.MapEmpty(t, d.jobs)
}

// A dispatcher that learns of a second crash, even from another runner, must not
// start the task again, and answers at once.
func TestOpenJobIsGivenUpOnceItsTaskCrashesEndpoints(t *testing.T) {
	d, r := newServingDispatcher(t)
	j := d.admitTestJob(t, "j")
	d.onFrame(r, r.outbox, &pb.RunnerFrame{Crashes: crashReport("1", false)})
	must.True(t, j.suspect && !j.answered)
	must.Eq(t, placement.Inside, d.areaOf(j, clock.SinceBoot()))
	d.onFrame(r, r.outbox, &pb.RunnerFrame{Crashes: crashReport("2", true)})
	must.True(t, (<-j.answer).Failed)
}

// While jobs of a route crash endpoints, no endpoint is spent on confirming that a
// job that did is the cause. It may have run, so it is neither refused nor failed.
func TestProbableCauseIsAnsweredAtOnce(t *testing.T) {
	d, r := newServingDispatcher(t)
	j := d.admitTestJob(t, "j")
	d.onFrame(r, r.outbox, &pb.RunnerFrame{Crashes: crashReport("1", true)})
	a := <-j.answer
	must.True(t, a.Code == result.StillRunning && !a.Failed, must.Sprintf("%+v", a))
	must.Eq(t, placement.Inside, d.areaOf(d.admitTestJob(t, "k"), clock.SinceBoot()), must.Sprint("another job of the route"))
}

// A job that was in a crash elsewhere and can't be admitted here has run: its caller
// must not be told otherwise.
func TestJobThatWasInACrashIsNotRefusedAsNotRun(t *testing.T) {
	d, r := newServingDispatcher(t)
	d.startedAt = clock.SinceBoot() - time.Minute
	d.onFrame(r, r.outbox, &pb.RunnerFrame{Crashes: crashReport("1", false)})
	must.Eq(t, result.StillRunning, (<-d.admitTestJob(t, "j").answer).Code)
}

// The report of a crash may come after the task was started again and is done.
func TestDoneTaskIsNotTheCauseOfACrash(t *testing.T) {
	d, r := newServingDispatcher(t)
	j := d.admitTestJob(t, "j")
	j.tasks[0][0].state = taskDone
	d.onFrame(r, r.outbox, &pb.RunnerFrame{Crashes: crashReport("1", false)})
	d.onFrame(r, r.outbox, &pb.RunnerFrame{Crashes: crashReport("2", true)})
	must.False(t, j.answered || j.suspect)
}

// The endpoints for contained jobs come back after seconds. A job that waits for them
// must be told at once that it has not run.
func TestContainedJobIsRefusedOnceItsEndpointsAreDown(t *testing.T) {
	d, _ := newServingDispatcher(t)
	d.link(directory.Node{Name: "r-1", Role: directory.Runner, Address: "b:1"})
	mustConnect(t, d, d.runners["r-1"], &pb.RunnerFrame{Incarnation: "1"}, func(error) {})
	j := d.admitTestJob(t, "k")
	for _, r := range d.runners {
		r.state = &pb.RunnerState{Ready: true, Healthy: true, Service: "svc", CapacityCpu: 8000, SpeedPercent: 100}
	}
	now := clock.SinceBoot()
	d.applyCrashes(crashReport("1", true), now)
	d.refuseUnplaceable(now)
	must.False(t, j.answered, must.Sprint("an endpoint for contained jobs is usable"))
	endpoints, runners := d.usableEndpoints(true, now)
	for i := range endpoints {
		runners[i].state.Ready = !endpoints[i].Containment
	}
	d.refuseUnplaceable(now)
	must.Eq(t, result.NoEndpoint, (<-j.answer).Code)
}
