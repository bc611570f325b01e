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
	lost := 0
	for i := range res.Outcomes {
		if res.Outcomes[i].Response == 0 {
			lost++
		}
	}
	return lost
}

// TestFailingEndpoints has endpoints that fail each task within 5 ms from
// 20 s to 60 s of 120 s.
func TestFailingEndpoints(t *testing.T) {
	cases := []struct {
		failing           int
		load              float64
		mostLost          int
		leastUsable       int
		latestReturnAfter time.Duration
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
		leastUsable := fleetSlots
		var back time.Duration
		replay.Check = func(now time.Duration) {
			usable := s.Stats().UsableSlots
			leastUsable = min(leastUsable, usable)
			if now > to && back == 0 && usable == fleetSlots {
				back = now - to
			}
		}
		lost := countUnanswered(replay.Run())
		t.Logf("%2d failing, load %.1f: %d of %d jobs lost, %d failed starts, least usable slots %d, all back after %v",
			c.failing, c.load, lost, len(jobs), failed, leastUsable, back.Round(time.Millisecond))
		must.NoError(t, s.CheckInvariants())
		must.LessEq(t, c.mostLost, lost)
		must.GreaterEq(t, c.leastUsable, leastUsable)
		must.LessEq(t, c.latestReturnAfter, back)
		must.Positive(t, back)
	}
}

// TestFailingTeam has a team whose tasks fail on every endpoint.
func TestFailingTeam(t *testing.T) {
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

// TestDomainLeavesAndReturns takes three of 11 endpoints out from 30 s to
// 60 s under 70 % load, and compares with the same run without any delay and
// without a ramp.
func TestDomainLeavesAndReturns(t *testing.T) {
	const out, back, after = 30 * time.Second, 60 * time.Second, 90 * time.Second
	var kept, possible, keptAfter, possibleAfter time.Duration
	flood := 0
	for seed := uint64(1); seed <= 4; seed++ {
		jobs := mixedWorkload(0.7, 120*time.Second).Jobs(seed)
		res := replayDomainOutage(jobs, sched.DefaultConfig(), oneWayDelay, out, back)
		kept += res.WorkDone(out, back)
		keptAfter += res.WorkDone(back, after)
		must.Eq(t, 0, countUnanswered(res))
		early := 0
		for _, sp := range res.TaskRuns {
			inDomain := testFleet.Domain(sp.Endpoint) == testFleet.Domain(0)
			must.False(t, inDomain && sp.From > out+oneWayDelay && sp.From < back)
			if inDomain && sp.From >= back && sp.From < back+50*time.Millisecond {
				early++
			}
		}
		flood = max(flood, early)

		cfg := sched.DefaultConfig()
		cfg.Ramp.Duration = 0
		ideal := replayDomainOutage(jobs, cfg, 0, out, back)
		possible += ideal.WorkDone(out, back)
		possibleAfter += ideal.WorkDone(back, after)
	}
	ratio := kept.Seconds() / possible.Seconds()
	ratioAfter := keptAfter.Seconds() / possibleAfter.Seconds()
	t.Logf("work kept %.4f while out, %.4f in the 30 s after; at most %d starts on 24 slots within 50 ms of the return",
		ratio, ratioAfter, flood)
	must.GreaterEq(t, 0.97, ratio)
	must.GreaterEq(t, 0.97, ratioAfter)
	must.LessEq(t, 3, flood)
}

func replayDomainOutage(jobs []*Job, cfg sched.Config, oneWay, out, back time.Duration) *Result {
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
	events := []Event{{out, set(sched.OutOfService)}, {back, set(sched.InService)}}
	return Replay{Jobs: jobs, Policy: s, OneWayDelay: oneWay, Events: events}.Run()
}

// TestUnevenRunsEjectNothing has run times that vary much on endpoints that
// are all alike.
func TestUnevenRunsEjectNothing(t *testing.T) {
	const short, long = 50 * time.Millisecond, 5 * time.Second
	cases := []struct {
		name        string
		short, long time.Duration
		longShare   float64
	}{
		{"one in ten is long", short, long, 0.1},
		{"one in fifty is long", short, long, 0.02},
		{"half are long", short, time.Second, 0.5},
	}
	for _, c := range cases {
		stream := mixedWorkload(0.5, 300*time.Second)
		stream.RunTime = func(rnd *rand.Rand) time.Duration {
			if rnd.Float64() < c.longShare {
				return c.long
			}
			return c.short
		}
		stream.MeanRunTime = time.Duration(c.longShare*float64(c.long) + (1-c.longShare)*float64(c.short))
		replay := newCheckedReplay(t, sched.DefaultConfig(), oneTeam, stream.Jobs(1))
		res := replay.Run()
		t.Logf("%s: %d starts", c.name, len(res.TaskRuns))
		must.Eq(t, 0, replay.Policy.(*SchedulerPolicy).Stats().Totals.Ejections)
	}
}

// TestFrozenEndpoint has an endpoint whose tasks never end from 20 s to 80 s,
// so that only their deadlines end them.
func TestFrozenEndpoint(t *testing.T) {
	const from, to = 20 * time.Second, 80 * time.Second
	stream := shortWorkload("a", 0.5, 10, 150*time.Second)
	stream.Timeout = 10 * time.Second
	jobs := stream.Jobs(1)
	replay := newCheckedReplay(t, sched.DefaultConfig(), oneTeam, jobs)
	s := replay.Policy.(*SchedulerPolicy)
	replay.Slowdown = func(now time.Duration, endpoint int) float64 {
		if endpoint == 3 && now > from && now < to {
			return 1000
		}
		return 1
	}
	lost := countUnanswered(replay.Run())
	t.Logf("%d of %d jobs lost, %d ejections, learned mean run time %v", lost, len(jobs), s.Stats().Totals.Ejections, s.Teams()[0].MeanRunTime)
	must.LessEq(t, 12, lost)
	must.Less(t, time.Second, s.Teams()[0].MeanRunTime)
	must.NoError(t, s.CheckInvariants())
}
