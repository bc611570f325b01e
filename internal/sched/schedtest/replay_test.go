package schedtest

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/sched"
)

const oneWayDelay = 500 * time.Microsecond

var (
	testFleet = Fleet{Count: 11, Slots: 8, Domains: 4}
	oneTeam   = []sched.Team{{Name: "a", Weight: 1}}
)

// fleetSlots is the number of slots of testFleet.
const fleetSlots = 88

func mixedWorkload(load float64, length time.Duration) Workload {
	return Workload{
		Team: "a", Load: load * fleetSlots, To: length, Tasks: LogUniformTasks, MeanTasks: LogUniformTasksMean,
		RunTime: MixedRunTime, MeanRunTime: MixedRunTimeMean, Timeout: time.Hour,
	}
}

// newCheckedReplay returns a replay of jobs on a new Scheduler. The replay
// checks the Scheduler's invariants at every hundredth event.
func newCheckedReplay(t *testing.T, cfg sched.Config, teams []sched.Team, jobs []*Job) Replay {
	s := NewSchedulerPolicy(cfg, testFleet, teams)
	events := 0
	check := func(time.Duration) {
		if events++; events%100 == 0 {
			must.NoError(t, s.CheckInvariants())
		}
	}
	return Replay{Jobs: jobs, Policy: s, OneWayDelay: oneWayDelay, Check: check}
}

// sample holds response ratios or response times, in ascending order, over
// several seeds.
type sample []float64

func (s *sample) add(res *Result) {
	*s = append(*s, res.ResponseRatios("")...)
	slices.Sort(*s)
}

func (s sample) percentile(p float64) float64 { return Percentile(s, p) }

func (s sample) log(t *testing.T, name string) {
	t.Helper()
	t.Logf("%-24s n %6d  p50 %.3f  p90 %.3f  p99 %.3f  p99.9 %.3f", name, len(s), s.percentile(50), s.percentile(90), s.percentile(99), s.percentile(99.9))
}

// TestResponseIsNoWorseThanOtherPolicies compares the response ratios with
// those of a fair central queue without network delay, of a central queue that
// is first come first served, and of two random choices without a central
// queue.
func TestResponseIsNoWorseThanOtherPolicies(t *testing.T) {
	for _, load := range []float64{0.5, 0.8, 0.95} {
		var scheduler, fair, firstCome, twoChoices sample
		for seed := uint64(1); seed <= 4; seed++ {
			jobs := mixedWorkload(load, 600*time.Second).Jobs(seed)
			replay := newCheckedReplay(t, sched.DefaultConfig(), oneTeam, jobs)
			scheduler.add(replay.Run())
			fair.add(Replay{Jobs: jobs, Policy: NewCentralQueue(testFleet, true)}.Run())
			firstCome.add(Replay{Jobs: jobs, Policy: NewCentralQueue(testFleet, false), OneWayDelay: oneWayDelay}.Run())
			twoChoices.add(PowerOfTwoChoices(jobs, testFleet, 4, oneWayDelay, seed))
		}
		t.Logf("load %.2f", load)
		scheduler.log(t, "scheduler")
		fair.log(t, "fair queue, no delay")
		firstCome.log(t, "first come first served")
		twoChoices.log(t, "two choices")
		for _, p := range []float64{50, 90, 99} {
			must.LessEq(t, 1.01*fair.percentile(p), scheduler.percentile(p))
			must.LessEq(t, firstCome.percentile(p), scheduler.percentile(p))
			must.LessEq(t, twoChoices.percentile(p), scheduler.percentile(p))
		}
	}
}

// TestDeclaredRunTimesShortenResponses compares runs with and without estimates
// of run times that are wrong by up to a factor of four.
func TestDeclaredRunTimesShortenResponses(t *testing.T) {
	for _, load := range []float64{0.5, 0.8, 0.95} {
		var without, with sample
		for seed := uint64(1); seed <= 4; seed++ {
			jobs := mixedWorkload(load, 600*time.Second).Jobs(seed)
			replay := newCheckedReplay(t, sched.DefaultConfig(), oneTeam, jobs)
			without.add(replay.Run())
			DeclareRunTimes(jobs, 4, seed)
			replay = newCheckedReplay(t, sched.DefaultConfig(), oneTeam, jobs)
			with.add(replay.Run())
		}
		t.Logf("load %.2f", load)
		without.log(t, "nothing declared")
		with.log(t, "declared, off by 1/4 to 4")
		must.Less(t, without.percentile(90), with.percentile(90))
	}
}

// shortWorkload returns the workload of a team whose jobs have 1 to tasks short
// tasks.
func shortWorkload(team string, load float64, tasks int, length time.Duration) Workload {
	return Workload{
		Team: team, Load: load * fleetSlots, To: length, Tasks: UniformTasks(tasks), MeanTasks: float64(1+tasks) / 2,
		RunTime: UniformRunTime(50*time.Millisecond, time.Second), MeanRunTime: 525 * time.Millisecond, Timeout: time.Hour,
	}
}

// TestBurstOfLongTasksDoesNotDelayShortTasks guards against a team with short
// tasks waiting for slots that another team has filled with long tasks: 12 jobs
// of 120 tasks of 3.5 s, which alone occupy the whole fleet for 57 s.
func TestBurstOfLongTasksDoesNotDelayShortTasks(t *testing.T) {
	teams := []sched.Team{{Name: "short", Weight: 1}, {Name: "bulk", Weight: 1}}
	cases := []struct {
		load  float64
		tasks int
	}{{0.1, 1}, {0.1, 10}, {0.3, 1}, {0.3, 10}}
	for _, c := range cases {
		var without, with, bulk sample
		for seed := uint64(1); seed <= 4; seed++ {
			jobs := shortWorkload("short", c.load, c.tasks, time.Minute).Jobs(seed)
			without = append(without, newCheckedReplay(t, sched.DefaultConfig(), teams, jobs).Run().ResponseSeconds("short")...)
			jobs = Merge(jobs, Burst("bulk", 10*time.Second, 12, 120, 3500*time.Millisecond, time.Hour))
			res := newCheckedReplay(t, sched.DefaultConfig(), teams, jobs).Run()
			with = append(with, res.ResponseSeconds("short")...)
			bulk = append(bulk, res.ResponseSeconds("bulk")...)
		}
		slices.Sort(without)
		slices.Sort(with)
		slices.Sort(bulk)
		t.Logf("load %.1f, 1 to %d tasks: p99 %.3f s, with the burst %.3f s (ratio %.2f), which took %.1f s",
			c.load, c.tasks, without.percentile(99), with.percentile(99), with.percentile(99)/without.percentile(99), bulk.percentile(100))
		must.LessEq(t, 1.3*without.percentile(99), with.percentile(99))
	}
}

// TestStragglerDoesNotDelayJobs guards against jobs waiting for tasks on one
// endpoint that takes a multiple of the normal run time.
func TestStragglerDoesNotDelayJobs(t *testing.T) {
	for _, factor := range []float64{3, 10} {
		var without, with sample
		starts := 0
		for seed := uint64(1); seed <= 4; seed++ {
			jobs := shortWorkload("a", 0.5, 10, 300*time.Second).Jobs(seed)
			without.add(newCheckedReplay(t, sched.DefaultConfig(), oneTeam, jobs).Run())
			replay := newCheckedReplay(t, sched.DefaultConfig(), oneTeam, jobs)
			replay.Slowdown = func(_ time.Duration, endpoint int) float64 {
				if endpoint == 3 {
					return factor
				}
				return 1
			}
			res := replay.Run()
			with.add(res)
			starts += res.Starts[3]
		}
		t.Logf("%.0f times the normal run time, %d starts on the straggler", factor, starts)
		without.log(t, "without a straggler")
		with.log(t, "with a straggler")
		must.LessEq(t, 1.3*without.percentile(99), with.percentile(99))
	}
}

// TestManyTeamsAreServedFairly compares the response ratios of 65 teams with
// those of a central queue that is fair between teams by their running tasks.
func TestManyTeamsAreServedFairly(t *testing.T) {
	const n = 65
	var teams []sched.Team
	for i := range n {
		teams = append(teams, sched.Team{Name: fmt.Sprintf("team%d", i), Weight: 1})
	}
	for _, load := range []float64{0.8, 0.95} {
		var scheduler, fair sample
		for seed := uint64(1); seed <= 2; seed++ {
			jobs := mixedWorkload(load, 600*time.Second).Jobs(seed)
			for i, j := range jobs {
				j.Team = teams[i%n].Name
			}
			scheduler.add(newCheckedReplay(t, sched.DefaultConfig(), teams, jobs).Run())
			fair.add(Replay{Jobs: jobs, Policy: NewCentralQueue(testFleet, true)}.Run())
		}
		t.Logf("load %.2f, %d teams", load, n)
		scheduler.log(t, "scheduler")
		fair.log(t, "fair queue, no delay")
		for _, p := range []float64{50, 90, 99} {
			must.LessEq(t, 1.01*fair.percentile(p), scheduler.percentile(p))
		}
	}
}
