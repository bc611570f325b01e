package dispatch

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/directory"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/workload"
)

// BenchmarkExpireJobs measures a tick at a dispatcher with 300 open jobs, the load of
// 200 jobs a second that take 1.5 s. A tick holds the lock, and there are 50 a second.
func BenchmarkExpireJobs(b *testing.B) {
	d := newBusyDispatcher(b, 70)
	now := clock.SinceBoot()
	for i := range 300 {
		spec := &workload.Job{ID: strconv.Itoa(i), Steps: []workload.Step{{Count: 4, Resources: workload.Resources{MilliCPU: 1000}, Estimate: time.Second}}}
		j := newJob(d.estimates, spec, &policy.Route{Name: "s", Service: "svc", Stretch: 1.6, TargetLatency: time.Hour}, now, now+time.Hour)
		for _, t := range j.tasks[0] {
			t.state = taskPlaced
		}
		d.jobs[spec.ID] = j
	}
	for b.Loop() {
		d.expireJobs(now)
	}
	must.MapLen(b, 300, d.jobs)
}

// BenchmarkJob measures what a job costs a dispatcher with 56 runners under its lock:
// admission, placement, the reports of its runs, and the states of other runners that
// arrive meanwhile. Encoding, connections and logs are left out.
func BenchmarkJob(b *testing.B) {
	d, _ := newServingDispatcher(b)
	d.startedAt = clock.SinceBoot() - time.Minute
	d.applyPriorities(0, 1)
	var runners []*runner
	for i := range 56 {
		r := d.link(directory.Node{Name: fmt.Sprintf("r-%d", i), Role: directory.Runner, Address: "a:1"})
		mustConnect(b, d, r, &pb.RunnerFrame{Incarnation: "1"}, func(error) {})
		d.onFrame(r, r.outbox, &pb.RunnerFrame{State: partlyUsedState(i), Beat: &pb.RunnerBeat{SentNs: 1}})
		runners = append(runners, r)
	}
	steps := []workload.Step{
		{Count: 8, Resources: workload.Resources{MilliCPU: 2600}, Estimate: 60 * time.Millisecond},
		{Count: 2, Resources: workload.Resources{MilliCPU: 2600}, Estimate: 200 * time.Millisecond},
	}
	for n := 0; b.Loop(); n++ {
		now := clock.SinceBoot()
		spec := &workload.Job{ID: strconv.Itoa(n), Steps: steps[n%2 : n%2+1]}
		route := &policy.Route{Name: []string{"r", "s"}[n%2], Service: "svc", Stretch: 1.6, TargetLatency: time.Second}
		j, err := d.admit(spec, route, "192.0.2.1", now, now+time.Second)
		must.NoError(b, err)
		for i, r := range runners {
			f := completeOrders(r)
			if len(f.Events) > 0 || (i+n)%19 == 0 {
				f.State = partlyUsedState(i + n)
				f.State.Handled = r.lastOrderNumber
				d.onFrame(r, r.outbox, f)
			}
		}
		<-j.answer
	}
}

// partlyUsedState returns the state of an endpoint with 32 cores, of which between a
// third and nine tenths are in use.
func partlyUsedState(i int) *pb.RunnerState {
	return &pb.RunnerState{Ready: true, Healthy: true, Service: "svc", CapacityCpu: 32_000, UsedCpu: uint64(2600 * (4 + i%8)), SpeedPercent: 100}
}

// completeOrders returns a frame which reports that all ordered runs are done.
func completeOrders(r *runner) *pb.RunnerFrame {
	f := &pb.RunnerFrame{}
	items, _ := r.outbox.TryTakeAll()
	for _, item := range items {
		for _, order := range item.GetStarts() {
			f.Events = append(f.Events, &pb.RunEvent{Run: order.GetRun(), End: pb.RunEnd_RUN_END_DONE, RunUs: order.GetEstimateUs()})
		}
	}
	return f
}
