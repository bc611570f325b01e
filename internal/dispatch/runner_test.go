package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/directory"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/lease"
	"github.com/pomelosill/pomelosill/internal/outbox"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/runref"
	"github.com/pomelosill/pomelosill/internal/workload"
)

// lastFrameTime is when the test runners sent their last frame.
const lastFrameTime = time.Hour

// newConnectedRunner returns a ready runner.
func newConnectedRunner() *runner {
	r := newRunner(directory.Node{Name: "r", Role: directory.Runner})
	r.state = &pb.RunnerState{Ready: true}
	r.outbox = outbox.New[*pb.DispatcherFrame]()
	r.lastFrameAt = lastFrameTime
	return r
}

// An idle runner sends few heartbeats. Its connection must be neither closed
// nor avoided between two of them, and a runner that has just got work must have
// time to send its next one.
func TestSilenceOfIdleRunnerIsAllowed(t *testing.T) {
	const last = lastFrameTime
	r := newConnectedRunner()
	closed := false
	r.cancel = func(error) { closed = true }
	must.True(t, r.usable(last+lease.IdleHeartbeatInterval+50*time.Millisecond))
	usedSince := last + lease.IdleHeartbeatInterval
	r.usedSince = usedSince
	r.runs[workload.RunID{Task: "t", Attempt: 1}] = &task{}
	must.True(t, r.usable(usedSince+placementTimeout-1))
	r.closeIfSilent(usedSince + connectionTimeout)
	must.False(t, closed)
	must.False(t, r.usable(usedSince+placementTimeout))
	r.closeIfSilent(usedSince + connectionTimeout + 1)
	must.True(t, closed)
}

// If the network fails in one direction, a runner's heartbeats may arrive while
// orders to it don't. The tasks must not wait there as long as it is silent to
// nobody, and no more may be sent.
func TestRunnerThatGetsNoOrdersIsDisconnected(t *testing.T) {
	const requestedAt = lastFrameTime
	r := newConnectedRunner()
	closed := false
	r.cancel = func(error) { closed = true }
	r.usedSince = requestedAt
	r.runs[workload.RunID{Task: "t", Attempt: 1}] = &task{}
	first := r.reserve(workload.Resources{MilliCPU: 1}, requestedAt)
	r.reserve(workload.Resources{MilliCPU: 1}, requestedAt)
	r.lastFrameAt = requestedAt + placementTimeout
	must.False(t, r.usable(requestedAt+placementTimeout))
	r.account(first, requestedAt+placementTimeout)
	must.True(t, r.usable(requestedAt+placementTimeout), must.Sprint("orders arrive, but slowly"))
	r.lastFrameAt = requestedAt + placementTimeout + connectionTimeout
	r.closeIfSilent(requestedAt + placementTimeout + connectionTimeout)
	must.False(t, closed)
	r.closeIfSilent(requestedAt + placementTimeout + connectionTimeout + 1)
	must.True(t, closed)
}

// A runner that is lost while it is idle must be noticed without any work being
// sent to it.
func TestSilentIdleRunnerIsDisconnected(t *testing.T) {
	const last = lastFrameTime
	r := newConnectedRunner()
	ctx, cancel := context.WithCancelCause(t.Context())
	r.cancel = cancel
	must.False(t, r.usable(last+idlePlacementTimeout))
	r.closeIfSilent(last + idleConnectionTimeout + 1)
	must.ErrorIs(t, context.Cause(ctx), errPeerSilent)
}

// Idle links would cost as much as used ones if each heartbeat were answered,
// but a policy must not wait for the next occasional answer.
func TestIdleHeartbeatsAreEchoedOnlyIfNeeded(t *testing.T) {
	const now = lastFrameTime
	r := newConnectedRunner()
	r.lastEchoAt, r.policyRevision = now, 4
	must.False(t, r.echoDue(4, now+lease.IdleHeartbeatInterval))
	must.True(t, r.echoDue(4, now+idleEchoInterval))
	must.True(t, r.echoDue(5, now), must.Sprint("the runner's policy is older"))
	must.True(t, r.echoDue(3, now), must.Sprint("the dispatcher's policy is older"))
	r.runs[workload.RunID{Task: "t", Attempt: 1}] = &task{}
	must.False(t, r.echoDue(4, now+lease.HeartbeatInterval/2))
	must.True(t, r.echoDue(4, now+lease.HeartbeatInterval))
}

// A runner of another version doesn't rate its endpoint, and a malformed percentage
// must not make run times zero or infinite.
func TestSpeedOfEndpoint(t *testing.T) {
	for _, c := range []struct {
		measured, rated uint64
		want            float64
	}{{100, 0, 1}, {110, 160, 1.6}, {30, 160, 0.3}, {0, 0, 0.01}, {1 << 63, 1<<64 - 1, 0.01 * (1 << 63)}, {1<<64 - 1, 1<<64 - 1, 100}} {
		r := newConnectedRunner()
		r.state = &pb.RunnerState{SpeedPercent: c.measured, RatedSpeedPercent: c.rated}
		must.Eq(t, min(c.want, 100), r.endpoint().Speed)
	}
}

// A job that no endpoint can run is refused. If it counted as load, one with a huge need
// would make the other dispatchers refuse their jobs for a minute: their share of the
// load would appear to be nothing.
func TestJobThatCanNeverRunIsNoLoad(t *testing.T) {
	d, r := newServingDispatcher(t)
	d.startedAt -= time.Minute
	r.state = &pb.RunnerState{Ready: true, Healthy: true, Service: "svc", CapacityCpu: 8000, SpeedPercent: 100}
	spec := &workload.Job{ID: "huge", Steps: []workload.Step{{Count: 1000, Resources: workload.DecodeResources(1<<40, 0, 0)}}}
	now := clock.SinceBoot()
	_, err := d.admit(spec, &d.policy.Current().Config.Routes[0], "caller", now, now+time.Second)
	must.Eq(t, result.NoEndpoint, result.CodeOf(err))
	must.Eq(t, 0, d.linkLoad(now))
}

// A runner of another version may report that a run has started. If it counted as lost,
// its task would be started a second time while it runs.
func TestStartedRunIsNotLost(t *testing.T) {
	d, r := newServingDispatcher(t)
	r.state = &pb.RunnerState{Ready: true, Healthy: true, Service: "svc", CapacityCpu: 8000, SpeedPercent: 100}
	task := d.admitTestJob(t, "j").tasks[0][0]
	run := task.runID()
	d.onFrame(r, r.outbox, &pb.RunnerFrame{Events: []*pb.RunEvent{{Run: runref.Encode(run), End: pb.RunEnd_RUN_END_STARTED}}})
	must.Eq(t, run, task.runID())
	must.MapContainsKey(t, r.runs, run)
	must.True(t, task.job.mayHaveRun)
}

// A caller sends its job again after its answer was lost, through another dispatcher. The
// endpoint refuses the start because it has stopped or ended a run of the earlier
// submission. If the dispatcher then gave up, it must not say that the job has not run.
func TestJobWithAnEarlierRunIsNotAnsweredAsNotRun(t *testing.T) {
	d, r := newServingDispatcher(t)
	r.state = &pb.RunnerState{Ready: true, Healthy: true, Service: "svc", CapacityCpu: 8000, SpeedPercent: 100}
	j := d.admitTestJob(t, "again")
	run := runref.Encode(j.tasks[0][0].runID())
	d.onFrame(r, r.outbox, &pb.RunnerFrame{
		Events: []*pb.RunEvent{{Run: run, End: pb.RunEnd_RUN_END_REFUSED, Code: uint32(result.AlreadyStarted)}},
		State:  &pb.RunnerState{},
	})
	must.False(t, j.answered)
	d.mu.Lock()
	d.expireJobs(j.deadline)
	d.mu.Unlock()
	must.Eq(t, result.StillRunning, (<-j.answer).Code)
}
