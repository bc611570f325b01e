package runner_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/platform/platformtest"
)

// callerReturn is the time after which a caller that has lost its connection sends its job
// again, to any dispatcher.
const callerReturn = 1300 * time.Millisecond

// unansweredStops makes an endpoint leave stops unanswered, as long as it is set, and carry
// them out late.
func unansweredStops() (*atomic.Bool, func(*platformtest.Endpoint)) {
	on := &atomic.Bool{}
	return on, func(e *platformtest.Endpoint) {
		e.ChooseFault = func(c platformtest.Call) platformtest.Fault {
			if c.Kind == "stop" && on.Load() {
				return platformtest.FaultLate
			}
			return platformtest.FaultNone
		}
	}
}

// requireEndedBeforeReturn fails the test if runs go on when callers may come again.
func (h *host) requireEndedBeforeReturn(since time.Time) {
	h.t.Helper()
	must.True(h.t, eventually(func() bool { return h.endpoint.Running() == 0 }))
	must.Less(h.t, callerReturn, time.Since(since), must.Sprint("callers may resend the job after this time"))
}

// A dispatcher is lost while the endpoint leaves stops unanswered but responds to renewals.
// If the runner renewed the lease, the runs would go on beside those of the jobs that
// callers send again.
func TestUnansweredStopsDontProlongRunsOfLostDispatcher(t *testing.T) {
	unanswered, configure := unansweredStops()
	h := newHost(t, time.Hour, configure)
	d := h.connect("1")
	d.requireReady()
	d.sendOrder("a", 1, 0)
	d.sendOrder("b", 1, 0)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 2 }))
	unanswered.Store(true)
	lostAt := time.Now()
	d.cancel()
	h.requireEndedBeforeReturn(lostAt)
	// The endpoint serves others at once, although stops are still unanswered.
	other := h.connect("2")
	other.requireReady()
	other.sendOrder("c", 1, time.Second)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 1 }))
	h.requireNoViolations()
}

// A dispatcher lives, but its callers' connections are reset: it stops their runs. While the
// endpoint leaves stops unanswered, they must end with the lease.
func TestUnansweredStopsDontProlongRunsOfLostCallers(t *testing.T) {
	unanswered, configure := unansweredStops()
	h := newHost(t, time.Hour, configure)
	d := h.connect("1")
	d.requireReady()
	run := d.sendOrder("a", 1, 0)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 1 }))
	unanswered.Store(true)
	lostAt := time.Now()
	d.sendFrame(&pb.DispatcherFrame{Stops: []*pb.RunRef{run}})
	h.requireEndedBeforeReturn(lostAt)
	d.requireEnd(run, lost)
}

// The task of a run that is moved starts elsewhere only after its end was reported. Its
// unanswered stop must not end the runs beside it.
func TestUnansweredMoveSparesOtherRuns(t *testing.T) {
	unanswered, configure := unansweredStops()
	h := newHost(t, time.Hour, configure)
	d := h.connect("1")
	d.requireReady()
	run := d.sendOrder("a", 1, 0)
	d.sendOrder("b", 1, 0)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 2 }))
	unanswered.Store(true)
	d.sendFrame(&pb.DispatcherFrame{Moves: []*pb.RunRef{run}})
	time.Sleep(callerReturn)
	must.Eq(t, 2, h.endpoint.Running())
	unanswered.Store(false)
	d.requireEnd(run, lost)
	must.Eq(t, 1, h.endpoint.Running())
}

// A stop that is answered at a later try spares the runs beside the stopped one.
func TestLateAnsweredStopSparesOtherRuns(t *testing.T) {
	unanswered, configure := unansweredStops()
	h := newHost(t, time.Hour, configure)
	d := h.connect("1")
	d.requireReady()
	run := d.sendOrder("a", 1, 0)
	d.sendOrder("b", 1, 0)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 2 }))
	unanswered.Store(true)
	d.sendFrame(&pb.DispatcherFrame{Stops: []*pb.RunRef{run}})
	time.Sleep(400 * time.Millisecond)
	unanswered.Store(false)
	d.requireEnd(run, lost)
	time.Sleep(callerReturn)
	must.Eq(t, 1, h.endpoint.Running())
}

// A start and its stops are unanswered when the dispatcher is lost. A higher fencing token
// proves that the run can't start, so that the endpoint serves others without a lapse.
func TestUnansweredStartOfLostDispatcherIsFenced(t *testing.T) {
	var unanswered atomic.Bool
	h := newHost(t, time.Hour, func(e *platformtest.Endpoint) {
		e.ChooseFault = func(c platformtest.Call) platformtest.Fault {
			if unanswered.Load() && (c.Kind == "stop" || c.Run.Task == "b.0.0.0") {
				return platformtest.FaultLate
			}
			return platformtest.FaultNone
		}
	})
	other := h.connect("1")
	other.requireReady()
	other.sendOrder("a", 1, 0)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 1 }))
	unanswered.Store(true)
	d := h.connectAs("e", "1")
	d.requireReady()
	d.sendOrder("b", 1, 0)
	time.Sleep(200 * time.Millisecond)
	token := h.endpoint.FencingToken()
	d.cancel()
	must.True(t, eventually(func() bool { return h.endpoint.FencingToken() > token }))
	time.Sleep(platformtest.LateDelay)
	must.Eq(t, 1, h.endpoint.Running(), must.Sprint("the run of the other dispatcher alone"))
	unanswered.Store(false)
	other.sendOrder("c", 1, time.Second)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 2 }))
	h.requireNoViolations()
}

// A new process of the runner finds runs of its predecessor, whose dispatchers it doesn't
// know. They must end with the lease that they had, also while stops are unanswered.
func TestRestartedRunnerDoesNotProlongUnknownRuns(t *testing.T) {
	unanswered, configure := unansweredStops()
	h := newHost(t, time.Hour, configure)
	d := h.connect("1")
	d.requireReady()
	d.sendOrder("a", 1, 0)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 1 }))
	unanswered.Store(true)
	h.stopRunner()
	lostAt := time.Now()
	h.startRunner()
	h.requireEndedBeforeReturn(lostAt)
}
