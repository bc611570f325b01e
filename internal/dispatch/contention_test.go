package dispatch

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/admission"
	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/directory"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/placement"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform"
)

// applyPriorities applies a configuration with the routes "r" and "s".
func (d *Dispatcher) applyPriorities(r, s int) {
	routes := []policy.Route{{Name: "r", Service: "svc", Stretch: 1.6, Priority: r}, {Name: "s", Service: "svc", Stretch: 1.6, Priority: s}}
	d.policy.Apply(&policy.Snapshot{Revision: d.policy.Revision() + 1, Config: &policy.Config{Routes: routes}})
}

// newBusyDispatcher returns a dispatcher with two priority levels, of the routes "r"
// and "s", and runners without free capacity at which work of the last level waits.
func newBusyDispatcher(t testing.TB, runners int) *Dispatcher {
	d, _ := newServingDispatcher(t)
	d.startedAt = clock.SinceBoot() - time.Minute
	d.applyPriorities(0, 1)
	for i := range runners {
		r := d.link(directory.Node{Name: fmt.Sprintf("r-%d", i), Role: directory.Runner, Address: "a:1"})
		mustConnect(t, d, r, &pb.RunnerFrame{Incarnation: "1"}, func(error) {})
		d.applyState(r, &pb.RunnerState{
			Ready: true, Healthy: true, Service: "svc", CapacityCpu: 8000, UsedCpu: 16_000, SpeedPercent: 100,
			WaitingCpu: 8000, WaitingCpuByPriority: []uint64{0, 8000},
		})
	}
	return d
}

// admitRouteJob admits a job of one task of 100 ms and a slack of 120 ms.
func (d *Dispatcher) admitRouteJob(route, id string, now time.Duration) (*job, error) {
	spec := &workload.Job{ID: id, Steps: []workload.Step{{Count: 1, Resources: workload.Resources{MilliCPU: 1000}, Estimate: 100 * time.Millisecond}}}
	return d.admit(spec, &policy.Route{Name: route, Service: "svc", Stretch: 1.6, TargetLatency: 60 * time.Millisecond}, "192.0.2.1", now, now+time.Second)
}

// Work of the last level that waits must not cause a refusal of a job of the first.
func TestJobIsRefusedForWorkOfItsLevelOnly(t *testing.T) {
	d, now := newBusyDispatcher(t, 1), clock.SinceBoot()
	_, err := d.admitRouteJob("r", "j", now)
	must.NoError(t, err)
	_, err = d.admitRouteJob("s", "k", now)
	var overload *overloadError
	must.True(t, errors.As(err, &overload))
	must.Eq(t, result.Overloaded, result.CodeOf(err))
	must.Eq(t, 1, overload.decision.Level)
	must.Between(t, time.Second, overload.retryAfter, 20*time.Second)
	must.Len(t, 2, d.State().Levels)
	d.applyPriorities(1, 0)
	_, err = d.admitRouteJob("r", "l", now)
	must.Error(t, err, must.Sprint("the configuration has swapped the priorities"))
}

// A job that returns as it was told to may use all of its slack for waiting; without
// that it could be refused again and again.
func TestReturningJobIsAdmittedBehindLongerBacklog(t *testing.T) {
	d, now := newBusyDispatcher(t, 1), clock.SinceBoot()
	// The wait is 100 ms, between 0.6 of the slack and the slack.
	d.runners["r-0"].state.WaitingCpuByPriority = []uint64{0, 4000}
	_, err := d.admitRouteJob("s", "j", now)
	must.Error(t, err)
	w := httptest.NewRecorder()
	d.refuse(w, httptest.NewRequest(http.MethodPost, "/p/j", nil), "s", err)
	seconds, _ := strconv.Atoi(w.Header().Get("Retry-After"))
	must.Between(t, 1, seconds, 20)
	d.runners["r-0"].lastFrameAt = now + time.Second
	_, err = d.admitRouteJob("s", "k", now+time.Second)
	must.Error(t, err, must.Sprint("another job"))
	_, err = d.admitRouteJob("s", "j", now+time.Second)
	must.NoError(t, err)
}

// A runner's queue must not refuse a job for which other endpoints have free capacity.
func TestJobThatFitsIsAdmitted(t *testing.T) {
	d, now := newBusyDispatcher(t, 2), clock.SinceBoot()
	for _, r := range d.runners {
		r.state.WaitingCpuByPriority[0] = 16_000
	}
	_, err := d.admitRouteJob("r", "j", now)
	must.Error(t, err)
	d.runners["r-1"].state.UsedCpu = 0
	j, err := d.admitRouteJob("r", "j", now)
	must.NoError(t, err)
	must.True(t, j.started())
}

// A job of the first level that is late must not be given up for one of the last level,
// only for one of its own.
func TestLateJobIsGivenUpForItsLevelOnly(t *testing.T) {
	d, now := newBusyDispatcher(t, 1), clock.SinceBoot()
	d.runners["r-0"].state.Ready = false
	add := func(route, id string, arrivedAt time.Duration) *job {
		spec := &workload.Job{ID: id, Steps: []workload.Step{{Count: 1, Resources: workload.Resources{MilliCPU: 1000}}}}
		j := newJob(d.estimates, spec, &policy.Route{Name: route, TargetLatency: 100 * time.Millisecond}, arrivedAt, now+time.Second)
		d.jobs[id] = j
		d.addWaiting(j)
		return j
	}
	late := add("r", "late", now-110*time.Millisecond)
	add("s", "in time", now)
	d.expireJob(late, d.firstLevelInTime(now), now)
	must.False(t, late.answered)
	must.Eq(t, 0, d.contention.queued[placement.Anywhere].Through(0), must.Sprint("late jobs don't count as backlog"))
	must.Eq(t, 1000, d.contention.queued[placement.Anywhere][1])
	first := add("r", "first", now)
	d.expireJob(late, d.firstLevelInTime(now), now)
	must.Eq(t, result.Overloaded, (<-late.answer).Code)
	d.applyPriorities(1, 0)
	for _, j := range d.waiting {
		d.updateQueuedWork(j, now)
	}
	must.Eq(t, 2000, d.contention.queued[placement.Anywhere].Total())
	must.Eq(t, 1000, d.contention.queued[placement.Anywhere][1], must.Sprint("the configuration has swapped the priorities"))
	d.finish(first, platform.Answer{Code: result.Cancelled})
	must.Eq(t, 1000, d.contention.queued[placement.Anywhere].Total())
}

// A tick must not take longer than a runner's time-out while thousands of late jobs
// wait. With a search of all waiting jobs for each of them, it took seconds.
func TestTickWithManyLateJobs(t *testing.T) {
	d, now := newBusyDispatcher(t, 1), clock.SinceBoot()
	for i := range maxJobs {
		spec := &workload.Job{ID: fmt.Sprint(i), Steps: []workload.Step{{Count: 1, Resources: workload.Resources{MilliCPU: 1000}}}}
		j := newJob(d.estimates, spec, &policy.Route{Name: "r", TargetLatency: 100 * time.Millisecond}, now-110*time.Millisecond, now+time.Second)
		d.jobs[spec.ID] = j
		d.addWaiting(j)
	}
	startedAt := clock.SinceBoot()
	d.expireJobs(now)
	must.Less(t, placementTimeout, clock.SinceBoot()-startedAt)
	must.MapLen(t, maxJobs, d.jobs)
}

// The demand that a dispatcher tells must add up over its runners, and what the others
// tell must count in full while some of the runners have nothing new to tell.
func TestDemandIsToldInEqualParts(t *testing.T) {
	d, now := newBusyDispatcher(t, 2), clock.SinceBoot()
	d.contention.demand.Add(1, admission.Work{MilliCPU: 1000, MilliCPUSeconds: 4000}, now)
	d.contention.callers.Seen("192.0.2.1", now)
	b := d.newHeartbeat(d.runners["r-0"], now).GetBeat()
	must.Eq(t, []float64{0, 1000}, b.GetLinkDemandByPriority())
	must.Eq(t, 0.5, b.GetLinkCallers())
	d.runners["r-1"].outbox, d.contention.fleet.summedAt = nil, 0
	must.Eq(t, []float64{0, 2000}, d.newHeartbeat(d.runners["r-0"], now).GetBeat().GetLinkDemandByPriority(), must.Sprint("cut off from half of the runners"))
	d.runners["r-1"].outbox = d.runners["r-0"].outbox
	d.applyPriorities(1, 1)
	must.SliceEmpty(t, d.newHeartbeat(d.runners["r-0"], now).GetBeat().GetLinkDemandByPriority(), must.Sprint("one level"))
	d.runners["r-0"].state.OtherDemandByPriority, d.runners["r-0"].state.OtherCallers = []float64{500}, 1.5
	d.runners["r-1"].stateAt = now - maxReportAge
	sums := d.fleetSums(now + maxSumAge)
	must.Eq(t, 1000, sums.otherDemand[0])
	must.Eq(t, 3, sums.otherCallers)
}

// One runner with an absurd figure must not cause the refusal of all jobs.
func TestWaitingWorkIsBoundedByCapacity(t *testing.T) {
	d, now := newBusyDispatcher(t, 2), clock.SinceBoot()
	s := d.runners["r-0"].state
	s.WaitingCpu, s.WaitingCpuByPriority = 1<<63, []uint64{1 << 40, 1 << 40}
	must.Eq(t, admission.ByLevel{32_000, 32_000 + 8000}, d.fleetSums(now).waiting)
	must.Eq(t, 64_000+8000, d.queuedAtRunners())
}

// Each arriving job costs a decision, and a part of the sums over the runners: at 10,000
// jobs a second, 50 jobs share them.
func BenchmarkCheckPriority(b *testing.B) {
	const jobsPerSum = 50
	d, now := newBusyDispatcher(b, 70), clock.SinceBoot()
	for i := range 1000 {
		spec := &workload.Job{ID: fmt.Sprint(i), Steps: []workload.Step{{Count: 4, Resources: workload.Resources{MilliCPU: 1000}}}}
		d.addWaiting(newJob(d.estimates, spec, &policy.Route{Name: "s", TargetLatency: time.Hour}, now, now+time.Hour))
	}
	for _, r := range d.runners {
		r.state.WaitingCpuByPriority = []uint64{8000, 8000}
	}
	spec := &workload.Job{ID: "j", Steps: []workload.Step{{Count: 4, Resources: workload.Resources{MilliCPU: 1000}, Estimate: time.Second}}}
	for _, route := range []string{"r", "s"} {
		j := newJob(d.estimates, spec, &policy.Route{Name: route, Stretch: 1.1}, now, now+time.Hour)
		endpoints, _ := d.usableEndpoints(false, now)
		capacity := totalMilliCPU(endpoints)
		b.Run("route="+route, func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				if i%jobsPerSum == 0 {
					d.contention.fleet.summedAt = 0
				}
				_ = d.checkPriority(j, placement.Anywhere, endpoints, capacity, now)
			}
		})
	}
}
