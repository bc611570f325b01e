package schedtest

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/sched"
)

const oneWay = 500 * time.Microsecond

var (
	today   = Endpoints{Count: 11, Slots: 8, Domains: 4}
	oneTeam = []sched.Team{{Name: "a", Weight: 1}}
)

// slots is the number of slots of today's fleet.
const slots = 88

func mixed(load float64, length time.Duration) Stream {
	return Stream{
		Team: "a", Load: load * slots, To: length, Tasks: MostlySmall, MeanTasks: MostlySmallMean,
		Run: MixedRun, MeanRun: MixedMean, Timeout: time.Hour,
	}
}

// checked returns a Scheduler and the replay of jobs on it, with invariants
// checked at each step.
func checked(t *testing.T, cfg sched.Config, teams []sched.Team, jobs []*Job) Replay {
	s := NewSched(cfg, today, teams)
	steps := 0
	check := func(time.Duration) {
		if steps++; steps%100 == 0 {
			must.NoError(t, s.Check())
		}
	}
	return Replay{Jobs: jobs, Policy: s, OneWay: oneWay, Check: check}
}

// row is the percentiles of response ratios over several seeds.
type row []float64

func (r *row) add(res *Result) {
	*r = append(*r, res.Ratios("")...)
	slices.Sort(*r)
}

func (r row) p(p float64) float64 { return Percentile(r, p) }

func (r row) log(t *testing.T, name string) {
	t.Helper()
	t.Logf("%-24s n %6d  p50 %.3f  p90 %.3f  p99 %.3f  p99.9 %.3f", name, len(r), r.p(50), r.p(90), r.p(99), r.p(99.9))
}

// TestResponseAgainstOtherPolicies compares with a queue that is fair between
// jobs and sees everything at once, with one that is first come first served,
// and with two choices without a central view.
func TestResponseAgainstOtherPolicies(t *testing.T) {
	for _, load := range []float64{0.5, 0.8, 0.95} {
		var ours, fair, fcfs, two row
		for seed := uint64(1); seed <= 4; seed++ {
			jobs := mixed(load, 600*time.Second).Jobs(seed)
			replay := checked(t, sched.DefaultConfig(), oneTeam, jobs)
			ours.add(replay.Run())
			fair.add(Replay{Jobs: jobs, Policy: NewReference(today, true)}.Run())
			fcfs.add(Replay{Jobs: jobs, Policy: NewReference(today, false), OneWay: oneWay}.Run())
			two.add(TwoChoices(jobs, today, 4, oneWay, seed))
		}
		t.Logf("load %.2f", load)
		ours.log(t, "scheduler")
		fair.log(t, "fair queue, no delay")
		fcfs.log(t, "first come first served")
		two.log(t, "two choices")
		for _, p := range []float64{50, 90, 99} {
			must.LessEq(t, 1.01*fair.p(p), ours.p(p))
			must.LessEq(t, fcfs.p(p), ours.p(p))
			must.LessEq(t, two.p(p), ours.p(p))
		}
	}
}

// TestDeclaredOrder gives guesses that are off by up to a factor of four.
func TestDeclaredOrder(t *testing.T) {
	for _, load := range []float64{0.5, 0.8, 0.95} {
		var without, with row
		for seed := uint64(1); seed <= 4; seed++ {
			jobs := mixed(load, 600*time.Second).Jobs(seed)
			replay := checked(t, sched.DefaultConfig(), oneTeam, jobs)
			without.add(replay.Run())
			Declare(jobs, 4, seed)
			replay = checked(t, sched.DefaultConfig(), oneTeam, jobs)
			with.add(replay.Run())
		}
		t.Logf("load %.2f", load)
		without.log(t, "nothing declared")
		with.log(t, "declared, off by 1/4 to 4")
		must.Less(t, without.p(90), with.p(90))
	}
}

// short is a team with jobs of up to so many short tasks.
func short(team string, load float64, tasks int, length time.Duration) Stream {
	return Stream{
		Team: team, Load: load * slots, To: length, Tasks: UpTo(tasks), MeanTasks: float64(1+tasks) / 2,
		Run: Uniform(50*time.Millisecond, time.Second), MeanRun: 525 * time.Millisecond, Timeout: time.Hour,
	}
}

// TestBurstOfLongTasks has a team with short tasks, and another that sends 12
// jobs of 120 tasks of 3.5 s, which alone take the whole fleet for 57 s.
func TestBurstOfLongTasks(t *testing.T) {
	teams := []sched.Team{{Name: "short", Weight: 1}, {Name: "bulk", Weight: 1}}
	cases := []struct {
		load  float64
		tasks int
	}{{0.1, 1}, {0.1, 10}, {0.3, 1}, {0.3, 10}}
	for _, c := range cases {
		var without, with, bulk row
		for seed := uint64(1); seed <= 4; seed++ {
			jobs := short("short", c.load, c.tasks, time.Minute).Jobs(seed)
			without = append(without, checked(t, sched.DefaultConfig(), teams, jobs).Run().Responses("short")...)
			jobs = Merge(jobs, Burst("bulk", 10*time.Second, 12, 120, 3500*time.Millisecond, time.Hour))
			res := checked(t, sched.DefaultConfig(), teams, jobs).Run()
			with = append(with, res.Responses("short")...)
			bulk = append(bulk, res.Responses("bulk")...)
		}
		slices.Sort(without)
		slices.Sort(with)
		slices.Sort(bulk)
		t.Logf("load %.1f, 1 to %d tasks: p99 %.3f s, with the burst %.3f s (ratio %.2f), which took %.1f s",
			c.load, c.tasks, without.p(99), with.p(99), with.p(99)/without.p(99), bulk.p(100))
		must.LessEq(t, 1.3*without.p(99), with.p(99))
	}
}

// TestStraggler has one endpoint that takes a multiple of the usual time.
func TestStraggler(t *testing.T) {
	for _, factor := range []float64{3, 10} {
		var without, with row
		starts := 0
		for seed := uint64(1); seed <= 4; seed++ {
			jobs := short("a", 0.5, 10, 300*time.Second).Jobs(seed)
			without.add(checked(t, sched.DefaultConfig(), oneTeam, jobs).Run())
			replay := checked(t, sched.DefaultConfig(), oneTeam, jobs)
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
		t.Logf("%.0f times the usual time, %d starts on the straggler", factor, starts)
		without.log(t, "without a straggler")
		with.log(t, "with a straggler")
		must.LessEq(t, 1.3*without.p(99), with.p(99))
	}
}

// TestManyTeams compares with a queue that is fair between teams by their
// running tasks.
func TestManyTeams(t *testing.T) {
	const n = 65
	var teams []sched.Team
	for i := range n {
		teams = append(teams, sched.Team{Name: fmt.Sprintf("team%d", i), Weight: 1})
	}
	for _, load := range []float64{0.8, 0.95} {
		var ours, fair row
		for seed := uint64(1); seed <= 2; seed++ {
			jobs := mixed(load, 600*time.Second).Jobs(seed)
			for i, j := range jobs {
				j.Team = teams[i%n].Name
			}
			ours.add(checked(t, sched.DefaultConfig(), teams, jobs).Run())
			fair.add(Replay{Jobs: jobs, Policy: NewReference(today, true)}.Run())
		}
		t.Logf("load %.2f, %d teams", load, n)
		ours.log(t, "scheduler")
		fair.log(t, "fair queue, no delay")
		for _, p := range []float64{50, 90, 99} {
			must.LessEq(t, 1.01*fair.p(p), ours.p(p))
		}
	}
}
