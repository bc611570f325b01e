package runner_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform/platformtest"
)

// runTimes are the run times by the first letter of the job: c for runs that are six
// times slower than estimated, l for those that last longer than a suspension, p and f
// for those that are fast. Jobs with f fail.
var runTimes = map[byte]time.Duration{'c': 600 * time.Millisecond, 'l': 3 * time.Second, 'p': 20 * time.Millisecond, 'f': 20 * time.Millisecond}

// newSlowHost returns an endpoint with capacity for four runs that is suspended
// because it is slow, and that took no overflow order before. Two runs are there.
func newSlowHost(t *testing.T) (*host, *dispatcher) {
	h := newHost(t, 0, func(e *platformtest.Endpoint) {
		e.Capacity.MilliCPU = 4 * taskCPU
		e.Fails = func(run workload.RunID) bool { return run.Task[0] == 'f' }
		e.Duration = func(run workload.RunID) time.Duration { return runTimes[run.Task[0]] }
	})
	go func() {
		for sequence := int64(1000); t.Context().Err() == nil; sequence++ {
			h.endpoint.SendHeartbeat(t.Context(), http.DefaultClient, h.listen, sequence, "ready")
			time.Sleep(200 * time.Millisecond)
		}
	}()
	d := h.connect("1")
	d.requireReady()
	d.requireNoSlot(d.sendOverflow("ready"))
	d.sendOrder("c1", 1, 0)
	d.sendOrder("c2", 1, 0)
	d.requireState(func(s *pb.RunnerState) bool { return s.GetSlow() && !s.GetReady() }, "suspended as slow")
	return h, d
}

func (d *dispatcher) requireState(wanted func(*pb.RunnerState) bool, what string) {
	d.t.Helper()
	must.True(d.t, eventually(func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return wanted(d.state)
	}), must.Sprintf("never: %s", what))
}

// sendOverflow orders an overflow run of the job's first task, which may wait as far
// as the order says.
func (d *dispatcher) sendOverflow(job string) *pb.RunRef {
	run := &pb.RunRef{Task: workload.TaskID{Job: job}.String(), Attempt: 1}
	d.orders++
	d.sendFrame(&pb.DispatcherFrame{Starts: []*pb.RunOrder{{
		Run: run, Service: service, CpuMilli: taskCPU, EstimateUs: 100_000, PatienceUs: 2_000_000, Number: d.orders, Overflow: true,
	}}})
	return run
}

func (d *dispatcher) requireNoSlot(run *pb.RunRef) {
	d.t.Helper()
	must.Eq(d.t, uint32(result.NoFreeSlot), d.requireEnd(run, refused).GetCode())
}

// stopSlowRuns stops the runs from before the suspension, as dispatchers do that move
// them.
func (d *dispatcher) stopSlowRuns() {
	for _, job := range []string{"c1", "c2"} {
		run := &pb.RunRef{Task: workload.TaskID{Job: job}.String(), Attempt: 1}
		d.sendFrame(&pb.DispatcherFrame{Stops: []*pb.RunRef{run}})
		d.requireEnd(run, lost)
	}
}

// A slow endpoint runs overflow orders and no others, and these neither exceed its
// capacity nor wait. Failures of several jobs then show that it is not only slow, and an
// order that was sent before must be refused.
func TestSlowEndpointTakesOnlyOverflowOrders(t *testing.T) {
	h, d := newSlowHost(t)
	d.requireNoSlot(d.sendOrder("c3", 1, 0))
	first := []*pb.RunRef{d.sendOverflow("c4"), d.sendOverflow("c5")}
	d.requireNoSlot(d.sendOverflow("c6"))
	d.stopSlowRuns()
	for _, job := range []string{"f1", "f2", "f3"} {
		d.requireEnd(d.sendOverflow(job), pb.RunEnd_RUN_END_FAILED)
	}
	d.requireNoSlot(d.sendOverflow("c7"))
	d.requireState(func(s *pb.RunnerState) bool { return !s.GetSlow() && !s.GetReady() }, "suspended for failures")
	for _, run := range first {
		d.requireEnd(run, done)
	}
	h.requireNoViolations()
}

func TestDrainingSlowEndpointTakesNoOverflowOrder(t *testing.T) {
	h, d := newSlowHost(t)
	h.sequence = 10_000
	h.sendHeartbeat("draining")
	must.Eq(t, uint32(result.Leaving), d.requireEnd(d.sendOverflow("c3"), refused).GetCode())
	d.requireState(func(s *pb.RunnerState) bool { return !s.GetSlow() }, "not offered")
}

// Two overflow runs last longer than the suspension. An endpoint that is fast again
// must be probed beside them, and become healthy, as it would without them.
func TestOverflowRunsDoNotDelayRecovery(t *testing.T) {
	h, d := newSlowHost(t)
	d.stopSlowRuns()
	d.sendOverflow("l1")
	d.sendOverflow("l2")
	d.requireState(func(s *pb.RunnerState) bool { return s.GetReady() && !s.GetSlow() && !s.GetHealthy() }, "probed")
	d.requireNoSlot(d.sendOverflow("c3"))
	d.requireEnd(d.sendOrder("p", 1, 0), done)
	d.requireState(func(s *pb.RunnerState) bool { return s.GetReady() && s.GetHealthy() }, "healthy")
	must.Eq(t, 2, h.endpoint.Running(), must.Sprint("the overflow runs continue"))
	h.requireNoViolations()
}
