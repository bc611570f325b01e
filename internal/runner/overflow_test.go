package runner_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform/platformtest"
)

// The time that runs take at an endpoint which is six times slower than estimated, of
// runs at one that is fast again, and of runs that last longer than a suspension.
const (
	slowRun = 600 * time.Millisecond
	fastRun = 20 * time.Millisecond
	longRun = 3 * time.Second
)

// newSlowHost returns an endpoint with capacity for four runs that is suspended
// because it is slow. Jobs whose name begins with "long" take longRun, those whose
// name begins with "fail" fail soon.
func newSlowHost(t *testing.T) (*host, *dispatcher, *atomic.Bool) {
	recovered := &atomic.Bool{}
	h := newHost(t, 0, func(e *platformtest.Endpoint) {
		e.Capacity.MilliCPU = 4 * taskCPU
		e.Fails = func(run workload.RunID) bool { return strings.HasPrefix(run.Task, "fail") }
		e.Duration = func(run workload.RunID) time.Duration {
			switch {
			case strings.HasPrefix(run.Task, "long"):
				return longRun
			case recovered.Load() || e.Fails(run):
				return fastRun
			}
			return slowRun
		}
	})
	go func() {
		for sequence := int64(1000); t.Context().Err() == nil; sequence++ {
			h.endpoint.SendHeartbeat(t.Context(), http.DefaultClient, h.listen, sequence, "ready")
			time.Sleep(200 * time.Millisecond)
		}
	}()
	d := h.connect("1")
	d.requireReady()
	for _, job := range []string{"a", "b"} {
		d.sendOrder(job, 1, 0)
	}
	d.requireState(func(s *pb.RunnerState) bool { return s.GetSlow() && !s.GetReady() }, "suspended as slow")
	return h, d, recovered
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
	for _, job := range []string{"a", "b"} {
		run := &pb.RunRef{Task: workload.TaskID{Job: job}.String(), Attempt: 1}
		d.sendFrame(&pb.DispatcherFrame{Stops: []*pb.RunRef{run}})
		d.requireEnd(run, lost)
	}
}

// A slow endpoint runs overflow orders and no others, and these neither exceed its
// capacity nor wait.
func TestSlowEndpointTakesOnlyOverflowOrders(t *testing.T) {
	h, d, _ := newSlowHost(t)
	d.requireNoSlot(d.sendOrder("c", 1, 0))
	first, second := d.sendOverflow("d"), d.sendOverflow("e")
	d.requireNoSlot(d.sendOverflow("f"))
	d.requireEnd(first, done)
	d.requireEnd(second, done)
	h.requireNoViolations()
}

func TestReadyEndpointTakesNoOverflowOrder(t *testing.T) {
	h := newHost(t, time.Hour, nil)
	d := h.connect("1")
	d.requireReady()
	d.requireNoSlot(d.sendOverflow("a"))
	must.Eq(t, 0, h.checker.Starts("a"))
}

func TestDrainingSlowEndpointTakesNoOverflowOrder(t *testing.T) {
	h, d, _ := newSlowHost(t)
	h.sequence = 10_000
	h.sendHeartbeat("draining")
	must.Eq(t, uint32(result.Leaving), d.requireEnd(d.sendOverflow("c"), refused).GetCode())
	d.requireState(func(s *pb.RunnerState) bool { return !s.GetSlow() }, "not offered")
}

// Failures of several jobs during the suspension show that the endpoint is not only
// slow. An order that was sent before must be refused.
func TestFailingSlowEndpointTakesNoOverflowOrder(t *testing.T) {
	h, d, _ := newSlowHost(t)
	for _, job := range []string{"fail1", "fail2", "fail3"} {
		must.Eq(t, pb.RunEnd_RUN_END_FAILED, d.requireAnyEnd(d.sendOverflow(job)))
	}
	d.requireNoSlot(d.sendOverflow("c"))
	d.requireState(func(s *pb.RunnerState) bool { return !s.GetSlow() && !s.GetReady() }, "suspended for failures")
	must.Eq(t, 0, h.checker.Starts("c"))
}

func (d *dispatcher) requireAnyEnd(run *pb.RunRef) pb.RunEnd {
	d.t.Helper()
	must.True(d.t, eventually(func() bool { return d.event(run) != nil }))
	return d.event(run).GetEnd()
}

// Two overflow runs last longer than the suspension. An endpoint that is fast again
// must be probed beside them, and become healthy, as it would without them.
func TestOverflowRunsDoNotDelayRecovery(t *testing.T) {
	h, d, recovered := newSlowHost(t)
	d.stopSlowRuns()
	d.sendOverflow("long1")
	d.sendOverflow("long2")
	must.True(t, eventually(func() bool { return h.checker.Starts("long2") == 1 }))
	recovered.Store(true)
	d.requireState(func(s *pb.RunnerState) bool { return s.GetReady() && !s.GetSlow() && !s.GetHealthy() }, "probed")
	d.requireNoSlot(d.sendOverflow("c"))
	probes := []*pb.RunRef{d.sendOrder("p", 1, 0), d.sendOrder("q", 1, 0)}
	for _, run := range probes {
		d.requireEnd(run, done)
	}
	d.requireState(func(s *pb.RunnerState) bool { return s.GetReady() && s.GetHealthy() }, "healthy")
	must.Eq(t, 2, h.endpoint.Running(), must.Sprint("the overflow runs continue"))
	h.requireNoViolations()
}
