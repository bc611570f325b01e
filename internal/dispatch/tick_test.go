package dispatch

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/clock"
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
