package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/estimate"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/placement"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/runref"
	"github.com/pomelosill/pomelosill/internal/workload"
)

const testEstimate = 50 * time.Millisecond

// serve admits a job of one task and reports that its run, requested a minute ago, took
// runUS microseconds.
func serve(t *testing.T, d *Dispatcher, r *runner, i int, runUS int64, change func(*task)) {
	j := d.admitTestJob(t, fmt.Sprint(i))
	task := j.tasks[0][0]
	must.Eq(t, taskPlaced, task.state)
	task.placedAt -= time.Minute
	change(task)
	d.onFrame(r, r.outbox, &pb.RunnerFrame{Events: []*pb.RunEvent{{Run: runref.Encode(task.runID()), End: pb.RunEnd_RUN_END_DONE, RunUs: runUS}}})
	must.True(t, j.answered)
	r.account(r.lastOrderNumber, r.lastFrameAt)
}

// Every run takes twice the caller's estimate, and the runner rates the endpoint at
// 0.5 for it. The predictions, with the objective and the order to the runner, must
// follow, and the caller's job must not be changed. Run times that can't be right and
// runs that say nothing about the usual run time must not count.
func TestRunTimesAreLearnedFromRuns(t *testing.T) {
	d, r := newServingDispatcher(t)
	r.state = &pb.RunnerState{Ready: true, Healthy: true, Service: "svc", CapacityCpu: 8000, SpeedPercent: 100, RatedSpeedPercent: 50}
	asUsual := func(*task) {}
	before := d.admitTestJob(t, "first").objective
	for i := range 400 {
		serve(t, d, r, i, 2*testEstimate.Microseconds(), asUsual)
	}
	known := d.State().Estimates
	must.Eq(t, 400, known[0].Samples)
	for i, runUS := range []int64{math.MinInt64, -1, 0} {
		serve(t, d, r, 400+i, runUS, asUsual)
	}
	serve(t, d, r, 500, 1000, func(t *task) { t.moving = true })
	serve(t, d, r, 501, 1000, func(t *task) { t.contained = true })
	serve(t, d, r, 504, 1000, func(t *task) { t.overflow = true })
	serve(t, d, r, 502, math.MaxInt64, func(t *task) { t.placedAt = clock.SinceBoot() + time.Hour })
	must.Eq(t, known, d.State().Estimates)
	serve(t, d, r, 503, math.MaxInt64, asUsual)
	j := d.admitTestJob(t, "last")
	must.Between(t, 95*time.Millisecond, j.spec.Steps[0].Estimate, 103*time.Millisecond)
	must.Greater(t, before+60*time.Millisecond, j.objective)
	must.Eq(t, testEstimate, j.callerSpec.Steps[0].Estimate)
}

// An endpoint at half of the usual speed must not double the predictions.
func TestSampleIsAtUsualSpeed(t *testing.T) {
	runners := map[string]*runner{}
	for i, rated := range []uint64{60, 30, 60, 0, 1 << 63} {
		r := newConnectedRunner()
		r.state.RatedSpeedPercent = rated
		runners[fmt.Sprint(i)] = r
	}
	var u usualSpeeds
	for i, want := range []float64{1, 0.5, 1, 1, maxRelativeSpeed} {
		must.Eq(t, want, u.relativeSpeed(runners[fmt.Sprint(i)], runners))
	}
}

// The sample must be the median task of the job by the caller's estimate. Tasks whose
// run time is unknown don't count.
func TestSampleIsTheMedianTask(t *testing.T) {
	spec := &workload.Job{Steps: []workload.Step{{Count: 4, Estimate: 100}, {Count: 1, Estimate: 1000}, {Count: 1}}}
	j := newJob(estimate.New(), spec, &policy.Route{}, 0, 0)
	j.tasks[2][0].runTime = 70
	s, _ := j.sample()
	must.Eq(t, runTimeSample{runTime: 70}, s)
	for i, runTime := range []time.Duration{90, 400, 0, 900} {
		j.tasks[0][i].runTime = runTime
	}
	j.tasks[1][0].runTime = 1000
	s, _ = j.sample()
	must.Eq(t, runTimeSample{callerEstimate: 1000, prediction: 1000, runTime: 2000}, s)
}

// replayLate replays full load on ten slots in virtual time, in the order of
// placement.Compare, and returns the fraction of the jobs that are late by their real
// run times. Estimates deviate from these by 0.45 in the logarithm.
func replayLate(learns bool) float64 {
	const jobs, slots, usual = 6000, 10, 300e6
	rng := rand.New(rand.NewPCG(5, 1))
	random := func() float64 { return math.Exp(0.45 * rng.NormFloat64()) }
	m, route := estimate.New(), &policy.Route{Name: "r", Stretch: 1.6, TargetLatency: 60 * time.Millisecond}
	var waiting []*job
	var free [slots]time.Duration
	late, arrival := 0, time.Duration(0)
	for n := 0; n < jobs || len(waiting) > 0; waiting = waiting[1:] {
		slices.Sort(free[:])
		for ; n < jobs && (arrival <= free[0] || len(waiting) == 0); n++ {
			runTime := usual * random()
			spec := &workload.Job{Steps: []workload.Step{{Count: 1, Estimate: time.Duration(runTime * random())}}}
			j := newJob(m, spec, route, arrival, arrival)
			j.tasks[0][0].runTime = time.Duration(runTime)
			waiting = append(waiting, j)
			free[0] = max(free[0], arrival)
			arrival += time.Duration(rng.ExpFloat64() * 1.1 * usual / slots)
		}
		now := free[0]
		slices.SortFunc(waiting, func(a, b *job) int { return placement.Compare(a.urgency(), b.urgency(), now) })
		s, _ := waiting[0].sample()
		free[0] += s.runTime
		if free[0] > waiting[0].arrivedAt+route.Objective(s.runTime) {
			late++
		}
		if learns {
			m.Observe(route.Name, s.callerEstimate, s.runTime)
		}
	}
	return float64(late) / jobs
}

// Jobs ordered by the slack that follows from inaccurate estimates are late more often
// than by that from learned run times.
func TestLearnedSlackMakesFewerJobsLate(t *testing.T) {
	without, with := replayLate(false), replayLate(true)
	t.Logf("late: %.3f with the callers' estimates, %.3f with learned run times", without, with)
	must.Less(t, 0.9*without, with)
}
