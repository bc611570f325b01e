package schedtest

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/sched"
)

// countUnanswered counts the jobs without an answer.
func countUnanswered(res *Result) int {
	n := 0
	for i := range res.Outcomes {
		if res.Outcomes[i].Response == 0 {
			n++
		}
	}
	return n
}

// TestFailingEndpointsAreEjectedAndReinstated guards against giving most tasks
// to endpoints that fail each task within 5 ms, because they have free slots
// most often, and against leaving them ejected after they recover. The endpoints
// fail from 20 s to 60 s of 120 s.
func TestFailingEndpointsAreEjectedAndReinstated(t *testing.T) {
	cases := []struct {
		failing       int
		load          float64
		maxUnanswered int
		minUsable     int
		maxRecovery   time.Duration
	}{
		{1, 0.1, 10, 80, 40 * time.Second},
		{1, 0.5, 10, 80, 40 * time.Second},
		{1, 0.9, 10, 80, 40 * time.Second},
		{3, 0.5, 30, 64, 40 * time.Second},
		{3, 0.9, 30, 64, 40 * time.Second},
		{11, 0.5, 1000, 64, 40 * time.Second},
	}
	const from, to = 20 * time.Second, 60 * time.Second
	for _, c := range cases {
		jobs := shortWorkload("a", c.load, 10, 120*time.Second).Jobs(1)
		replay := newCheckedReplay(t, sched.DefaultConfig(), oneTeam, jobs)
		s := replay.Policy.(*SchedulerPolicy)
		failed := 0
		replay.Fails = func(now time.Duration, endpoint int) bool {
			fails := now > from && now < to && endpoint < c.failing
			if fails {
				failed++
			}
			return fails
		}
		minUsable := fleetSlots
		var recovery time.Duration
		replay.Check = func(now time.Duration) {
			usable := s.Stats().UsableSlots
			minUsable = min(minUsable, usable)
			if now > to && recovery == 0 && usable == fleetSlots {
				recovery = now - to
			}
		}
		unanswered := countUnanswered(replay.Run())
		t.Logf("%2d failing, load %.1f: %d of %d jobs unanswered, %d failed starts, at least %d usable slots, all usable again after %v",
			c.failing, c.load, unanswered, len(jobs), failed, minUsable, recovery.Round(time.Millisecond))
		must.NoError(t, s.CheckInvariants())
		must.LessEq(t, c.maxUnanswered, unanswered)
		must.GreaterEq(t, c.minUsable, minUsable)
		must.LessEq(t, c.maxRecovery, recovery)
		must.Positive(t, recovery)
	}
}

// TestFailingTeamEjectsNoEndpoint guards against ejecting endpoints because of
// one team whose tasks fail on every endpoint.
func TestFailingTeamEjectsNoEndpoint(t *testing.T) {
	teams := []sched.Team{{Name: "a", Weight: 1}, {Name: "bad", Weight: 1}}
	bad := shortWorkload("bad", 0.3, 10, time.Minute).Jobs(2)
	for _, j := range bad {
		j.Fails = true
	}
	replay := newCheckedReplay(t, sched.DefaultConfig(), teams, Merge(shortWorkload("a", 0.3, 10, time.Minute).Jobs(1), bad))
	s := replay.Policy.(*SchedulerPolicy)
	res := replay.Run()
	must.Eq(t, len(bad), countUnanswered(res))
	must.Eq(t, 0, s.Stats().Totals.Ejections)
}

// TestDomainOutageLosesLittleWork takes three of 11 endpoints out of service
// from 30 s to 60 s at 70 % load, and compares with the same run without
// network delay and without a ramp. It guards against lost jobs, against starts
// on endpoints that are out of service, and against many starts at once on
// their return.
func TestDomainOutageLosesLittleWork(t *testing.T) {
	const outAt, returnAt, endAt = 30 * time.Second, 60 * time.Second, 90 * time.Second
	var done, possible, doneAfter, possibleAfter time.Duration
	maxEarlyStarts := 0
	for seed := uint64(1); seed <= 4; seed++ {
		jobs := mixedWorkload(0.7, 120*time.Second).Jobs(seed)
		res := replayDomainOutage(jobs, sched.DefaultConfig(), oneWayDelay, outAt, returnAt)
		done += res.WorkDone(outAt, returnAt)
		doneAfter += res.WorkDone(returnAt, endAt)
		must.Eq(t, 0, countUnanswered(res))
		earlyStarts := 0
		for _, run := range res.TaskRuns {
			inDomain := testFleet.Domain(run.Endpoint) == testFleet.Domain(0)
			must.False(t, inDomain && run.From > outAt+oneWayDelay && run.From < returnAt)
			if inDomain && run.From >= returnAt && run.From < returnAt+50*time.Millisecond {
				earlyStarts++
			}
		}
		maxEarlyStarts = max(maxEarlyStarts, earlyStarts)

		cfg := sched.DefaultConfig()
		cfg.Ramp.Duration = 0
		ideal := replayDomainOutage(jobs, cfg, 0, outAt, returnAt)
		possible += ideal.WorkDone(outAt, returnAt)
		possibleAfter += ideal.WorkDone(returnAt, endAt)
	}
	ratio := done.Seconds() / possible.Seconds()
	ratioAfter := doneAfter.Seconds() / possibleAfter.Seconds()
	t.Logf("fraction of the possible work done: %.4f during the outage, %.4f in the 30 s after; at most %d starts on 24 slots within 50 ms of the return",
		ratio, ratioAfter, maxEarlyStarts)
	must.GreaterEq(t, 0.97, ratio)
	must.GreaterEq(t, 0.97, ratioAfter)
	must.LessEq(t, 3, maxEarlyStarts)
}

func replayDomainOutage(jobs []*Job, cfg sched.Config, delay, outAt, returnAt time.Duration) *Result {
	s := NewSchedulerPolicy(cfg, testFleet, oneTeam)
	set := func(state sched.EndpointState) func(time.Duration) {
		return func(now time.Duration) {
			for i := range testFleet.Count {
				if testFleet.Domain(i) == testFleet.Domain(0) {
					s.SetEndpointState(now, i, state)
				}
			}
		}
	}
	events := []Event{{outAt, set(sched.OutOfService)}, {returnAt, set(sched.InService)}}
	return Replay{Jobs: jobs, Policy: s, OneWayDelay: delay, Events: events}.Run()
}

// TestUnevenRunTimesEjectNoEndpoint guards against ejecting endpoints of equal
// speed because the run times of tasks vary much.
func TestUnevenRunTimesEjectNoEndpoint(t *testing.T) {
	const short, long = 50 * time.Millisecond, 5 * time.Second
	cases := []struct {
		name         string
		short, long  time.Duration
		longFraction float64
	}{
		{"one in ten is long", short, long, 0.1},
		{"one in fifty is long", short, long, 0.02},
		{"half are long", short, time.Second, 0.5},
	}
	for _, c := range cases {
		workload := mixedWorkload(0.5, 300*time.Second)
		workload.RunTime = func(rnd *rand.Rand) time.Duration {
			if rnd.Float64() < c.longFraction {
				return c.long
			}
			return c.short
		}
		workload.MeanRunTime = time.Duration(c.longFraction*float64(c.long) + (1-c.longFraction)*float64(c.short))
		replay := newCheckedReplay(t, sched.DefaultConfig(), oneTeam, workload.Jobs(1))
		res := replay.Run()
		t.Logf("%s: %d starts", c.name, len(res.TaskRuns))
		must.Eq(t, 0, replay.Policy.(*SchedulerPolicy).Stats().Totals.Ejections)
	}
}

// TestFrozenEndpointIsEjected guards against giving more tasks to an endpoint
// that is frozen from 20 s to 80 s. Its tasks do not fail but end at their
// deadlines, and must not raise the learned run times either.
func TestFrozenEndpointIsEjected(t *testing.T) {
	const from, to = 20 * time.Second, 80 * time.Second
	workload := shortWorkload("a", 0.5, 10, 150*time.Second)
	workload.Timeout = 10 * time.Second
	jobs := workload.Jobs(1)
	replay := newCheckedReplay(t, sched.DefaultConfig(), oneTeam, jobs)
	s := replay.Policy.(*SchedulerPolicy)
	replay.Slowdown = func(now time.Duration, endpoint int) float64 {
		if endpoint == 3 && now > from && now < to {
			return 1000
		}
		return 1
	}
	unanswered := countUnanswered(replay.Run())
	t.Logf("%d of %d jobs unanswered, %d ejections, learned mean run time %v", unanswered, len(jobs), s.Stats().Totals.Ejections, s.Teams()[0].MeanRunTime)
	must.LessEq(t, 12, unanswered)
	must.Less(t, time.Second, s.Teams()[0].MeanRunTime)
	must.NoError(t, s.CheckInvariants())
}
