package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/admission"
	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/directory"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/workload"
)

const (
	// shortEstimate and longEstimate are run times of which five times the former ends
	// before the late bound, and five times the latter after it.
	shortEstimate = 40 * time.Millisecond
	longEstimate  = 400 * time.Millisecond
)

// overflowSystem is a dispatcher with a full runner and one whose endpoint is
// suspended because it is slow.
type overflowSystem struct {
	t          *testing.T
	d          *Dispatcher
	full, slow *runner
}

func newOverflowSystem(t *testing.T) *overflowSystem {
	d, full := newServingDispatcher(t)
	d.startedAt = clock.SinceBoot() - time.Minute
	sys := &overflowSystem{t: t, d: d, full: full}
	sys.slow = sys.addSlow("r-1")
	full.state, full.hasInheritedRuns = fullState(), false
	return sys
}

func (sys *overflowSystem) addSlow(name string) *runner {
	r := sys.d.link(directory.Node{Name: name, Role: directory.Runner, Address: "b:1"})
	mustConnect(sys.t, sys.d, r, &pb.RunnerFrame{Incarnation: "1"}, func(error) {})
	r.state = slowState()
	r.hasInheritedRuns = false
	return r
}

func fullState() *pb.RunnerState {
	return &pb.RunnerState{Ready: true, Healthy: true, Service: "svc", CapacityCpu: 8000, UsedCpu: 16_000, WaitingCpu: 8000, SpeedPercent: 100}
}

func slowState() *pb.RunnerState {
	return &pb.RunnerState{Slow: true, Service: "svc", FailureDomain: "z", CapacityCpu: 8000, SpeedPercent: 20}
}

// admit submits a job of two tasks.
func (sys *overflowSystem) admit(estimate time.Duration) (*job, error) {
	spec := &workload.Job{ID: "j", Steps: []workload.Step{{Count: 2, Resources: workload.Resources{MilliCPU: 1000}, Estimate: estimate}}}
	now := clock.SinceBoot()
	return sys.d.admit(spec, &policy.Route{Name: "r", Service: "svc", MaxAttempts: 2, Stretch: 1.6, TargetLatency: 60 * time.Millisecond}, "caller", now, now+time.Minute)
}

// ordered returns the orders that were sent to the runner since the last call.
func ordered(r *runner) []*pb.RunOrder {
	var orders []*pb.RunOrder
	frames, _ := r.outbox.TryTakeAll()
	for _, f := range frames {
		orders = append(orders, f.GetStarts()...)
	}
	return orders
}

// report sends the same end of each of the orders, and the endpoint's next state.
func (sys *overflowSystem) report(r *runner, orders []*pb.RunOrder, end pb.RunEnd, code result.Code, state *pb.RunnerState) {
	f := &pb.RunnerFrame{State: state}
	for _, o := range orders {
		state.Handled = max(state.GetHandled(), o.GetNumber())
		f.Events = append(f.Events, &pb.RunEvent{Run: o.GetRun(), End: end, Code: uint32(code)})
	}
	sys.d.onFrame(r, r.outbox, f)
}

func (sys *overflowSystem) mustAdmit() (*job, []*pb.RunOrder) {
	sys.t.Helper()
	j, err := sys.admit(shortEstimate)
	must.NoError(sys.t, err)
	orders := ordered(sys.slow)
	must.SliceLen(sys.t, 2, orders)
	must.True(sys.t, orders[0].GetOverflow() && orders[1].GetOverflow())
	must.SliceEmpty(sys.t, ordered(sys.full))
	return j, orders
}

func (sys *overflowSystem) mustRefuse(estimate time.Duration, why string) {
	sys.t.Helper()
	_, err := sys.admit(estimate)
	must.Eq(sys.t, result.Overloaded, result.CodeOf(err), must.Sprint(why))
	must.SliceEmpty(sys.t, ordered(sys.slow), must.Sprint(why))
	must.MapEmpty(sys.t, sys.d.jobs)
}

// The sound endpoints are full. A job must be answered late instead of refused if it
// ends before its late bound at a slow endpoint, and no other job may be sent there.
func TestOnlyShortJobsOverflow(t *testing.T) {
	sys := newOverflowSystem(t)
	sys.mustRefuse(longEstimate, "a long job")
	sys.slow.state.UsedCpu = 7000
	sys.mustRefuse(shortEstimate, "only one of the tasks fits")
	sys.slow.state.UsedCpu = 0
	sys.slow.state.Slow = false
	sys.mustRefuse(shortEstimate, "suspended for failures, draining, or a runner of another version")
	sys.slow.state.Slow, sys.slow.hasInheritedRuns = true, true
	sys.mustRefuse(shortEstimate, "runs of an earlier runner process may be there")
	sys.slow.hasInheritedRuns = false
	connected := sys.slow.lastFrameAt
	sys.slow.lastFrameAt -= idlePlacementTimeout
	sys.mustRefuse(shortEstimate, "the runner is silent, or this dispatcher was frozen")
	sys.slow.lastFrameAt = connected
	next := *sys.d.policy.Current().WithEvacuated("z", true)
	next.Revision = 2
	must.True(t, sys.d.policy.Apply(&next))
	sys.mustRefuse(shortEstimate, "evacuated")
	sys.slow.state.FailureDomain = "y"
	j, orders := sys.mustAdmit()
	must.Eq(t, 1, sys.d.State().OverflowJobs)
	sys.report(sys.slow, orders, pb.RunEnd_RUN_END_DONE, result.OK, slowState())
	must.Eq(t, result.OK, (<-j.answer).Code)
	sys.report(sys.full, nil, 0, 0, &pb.RunnerState{Ready: true, Healthy: true, Service: "svc", CapacityCpu: 8000, SpeedPercent: 100})
	_, err := sys.admit(longEstimate)
	must.NoError(t, err)
	must.SliceLen(t, 2, ordered(sys.full), must.Sprint("an ordinary job goes to the sound endpoint"))
}

// Overflow jobs must not make their callers appear to have more demand than the mean,
// which doesn't include these jobs.
func TestOverflowJobsAreNoDemandOfTheirCallers(t *testing.T) {
	sys := newOverflowSystem(t)
	now := clock.SinceBoot()
	// A caller with few jobs is not compared with others.
	for range 100 {
		sys.d.contention.callers.Add("caller", admission.Work{}, now)
	}
	sys.mustAdmit()
	must.Eq(t, 0, sys.d.contention.demand.Rate(now).Total())
	must.Eq(t, 0, sys.d.contention.callers.Excess("caller", admission.Population{MilliCPU: 1000, Callers: 2}, now))
}

// The endpoint may be suspended for failures, recover, or be taken out of service
// while the orders are on their way. Nothing has run, and the caller must be told as soon
// as no other slow endpoint has capacity.
func TestRefusedOverflowJobIsAnsweredAsNotRun(t *testing.T) {
	recovered := slowState()
	recovered.Slow, recovered.Ready, recovered.UsedCpu = false, true, 12_000
	for code, state := range map[result.Code]*pb.RunnerState{
		result.NoFreeSlot: {Service: "svc", CapacityCpu: 8000}, result.OutOfService: slowState(), result.Leaving: recovered,
	} {
		sys := newOverflowSystem(t)
		j, orders := sys.mustAdmit()
		other := sys.addSlow("r-2")
		sys.report(sys.slow, orders, pb.RunEnd_RUN_END_REFUSED, code, state)
		again := ordered(other)
		must.True(t, len(again) == 2 && again[0].GetOverflow() && !j.answered, must.Sprint("there is another slow endpoint"))
		sys.report(other, again, pb.RunEnd_RUN_END_REFUSED, code, &pb.RunnerState{})
		a := <-j.answer
		must.True(t, a.Code == result.Overloaded && a.RetryAfter > 0, must.Sprintf("%+v", a))
		must.SliceEmpty(t, append(ordered(sys.slow), ordered(sys.full)...))
	}
}

// The slow endpoint is lost with its runs. They may have run, so the job must not be
// refused, and is finished like any other.
func TestLostOverflowTasksAreFinishedElsewhere(t *testing.T) {
	sys := newOverflowSystem(t)
	j, orders := sys.mustAdmit()
	sys.report(sys.slow, orders, pb.RunEnd_RUN_END_LOST, result.EndpointGone, &pb.RunnerState{})
	must.False(t, j.answered)
	must.Negative(t, j.urgency().Slack(clock.SinceBoot()), must.Sprint("it must not delay jobs that are in time"))
	sys.report(sys.full, nil, 0, 0, &pb.RunnerState{Ready: true, Healthy: true, Service: "svc", CapacityCpu: 8000, SpeedPercent: 100})
	again := ordered(sys.full)
	must.SliceLen(t, 2, again)
	must.False(t, again[0].GetOverflow() || again[1].GetOverflow())
	sys.report(sys.full, again, pb.RunEnd_RUN_END_DONE, result.OK, &pb.RunnerState{})
	must.Eq(t, result.OK, (<-j.answer).Code)
}

// While a route crashes endpoints, the part of them that its jobs use is not used by
// others, even if it is slow and idle.
func TestNoOverflowWhereJobsAreContained(t *testing.T) {
	sys := newOverflowSystem(t)
	report := crashReport("1", true)
	report[0].Runs[0].Route, report[0].Runs[0].Task = "other", "x.0.0.0"
	sys.d.onFrame(sys.full, sys.full.outbox, &pb.RunnerFrame{Crashes: report})
	endpoints, runners := sys.d.selectEndpoints(&endpointViews{}, true, func(*runner) bool { return true })
	for i, r := range runners {
		if r.state = fullState(); endpoints[i].Containment {
			r.state = slowState()
		}
	}
	_, err := sys.admit(shortEstimate)
	must.Eq(t, result.Overloaded, result.CodeOf(err))
}
