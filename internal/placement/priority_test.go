package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/workload"
)

// The levels of the kinds of jobs in the overload of design 0012: many short tasks
// first, two medium tasks second, few long tasks last.
var overloadLevels = []int{0, 2, 1}

// Guards against jobs of the first level that miss their objective behind jobs of the
// last one, which have more slack. The load is the overload of design 0012 without
// refusals: the last level arrives at 2.5 times its usual rate, at 1.4 times the
// capacity in all. With equal levels the first one is late.
func TestFloodOfLastLevelMakesNoOtherLate(t *testing.T) {
	flood := func(levels []int) []float64 {
		r := newReplay(3)
		r.levels, r.rates, r.admit = levels, []float64{1, 2.5, 1}, admitAll
		return r.run(0.99)
	}
	byLevel := flood(overloadLevels)
	t.Logf("by level: %.3f", byLevel)
	must.Greater(t, 0.95, byLevel[0])
	must.Greater(t, 0.9, byLevel[2])
	ignored := flood([]int{0, 0, 0})
	t.Logf("levels ignored: %.3f", ignored)
	must.Less(t, 0.7, ignored[0])
}

// Guards against a level that starves: the first level alone arrives at twice the
// capacity, and the last one must still get its minimum share of the started work, but
// not much more.
func TestEveryLevelGetsItsMinimumShare(t *testing.T) {
	fraction := func(sharesOff bool) float64 {
		r := newReplay(4)
		r.levels, r.admit, r.sharesOff = overloadLevels, admitAll, sharesOff
		r.rates = []float64{2 * meanRunningTasks() / (8 * 0.06 * jobKinds[0].arrivalsPerSecond), 1, 0}
		r.run(1)
		return r.startedWork[1] / (r.startedWork[0] + r.startedWork[1])
	}
	with, without := fraction(false), fraction(true)
	t.Logf("fraction of the last level: %.3f, without a minimum share %.3f", with, without)
	must.Between(t, 0.9*MinLevelShare, with, 1.3*MinLevelShare)
	must.Less(t, 0.02, without)
}

// classBeforeLevels is the order of jobs before there were levels.
func classBeforeLevels(u *Urgency, now time.Duration) int {
	late := u.Slack(now) < 0
	switch {
	case u.Suspect:
		return 4
	case u.Started && !late:
		return 0
	case !late:
		return 1
	case u.Started:
		return 2
	}
	return 3
}

// Guards against levels that change the order where all routes have one priority, also
// while a level has less than its share.
func TestEqualLevelsKeepTheOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 1))
	var waiting []Waiting[*Urgency]
	var want []*Urgency
	for range 500 {
		u := &Urgency{ArrivedAt: time.Duration(rng.IntN(200)) * ms, Objective: 200 * ms, Level: 1,
			Started: rng.IntN(2) == 0, Suspect: rng.IntN(9) == 0}
		waiting = append(waiting, Waiting[*Urgency]{Item: u, Rank: u.Rank(300 * ms)})
		want = append(want, u)
	}
	slices.SortStableFunc(want, func(a, b *Urgency) int {
		return cmp.Or(cmp.Compare(classBeforeLevels(a, 300*ms), classBeforeLevels(b, 300*ms)), cmp.Compare(a.Slack(300*ms), b.Slack(300*ms)))
	})
	var started StartedWork
	started.Add(0, 1, 0)
	must.Eq(t, want, slices.Collect(InOrder(waiting, &started)))
}

// Guards against tasks that wait at their dispatcher because lower levels have filled
// the queues of the runners.
func TestLowerLevelsLeaveSpaceInTheQueue(t *testing.T) {
	queuedTasks := func(level int) int {
		full := newEndpoint("full", -5000)
		full.QueuedByLevel[1] = 5000
		r := newRequest(8)
		r.Level = level
		return countByEndpoint(Assign(r, []Endpoint{full}, firstIndex), []Endpoint{full})["full"]
	}
	must.Eq(t, 5, queuedTasks(0))
	must.Eq(t, 0, queuedTasks(1), must.Sprint("its own level"))
	must.Eq(t, 0, queuedTasks(3))
}

// Guards against work that distorts the shares for ever: no estimate, an absurd one,
// and a start that was counted and refused.
func TestStartedWorkIsBounded(t *testing.T) {
	cpu := workload.Resources{MilliCPU: 2000}
	must.Eq(t, 2*unknownDuration.Seconds(), TaskWork(cpu, -1))
	must.Eq(t, 2*maxCountedDuration.Seconds(), TaskWork(cpu, 1<<62))
	must.Positive(t, TaskWork(workload.Resources{}, 0))
	var s StartedWork
	must.False(t, s.belowMinimum(1), must.Sprint("nothing has started"))
	s.Add(0, 1, 0)
	s.Add(1, 5, 0)
	s.Remove(1, 5, 0, time.Second)
	must.True(t, s.belowMinimum(1))
	s.Remove(0, 100, time.Second, time.Second)
	must.Eq(t, 0, s.total())
}

// BenchmarkInOrder ranks and orders 1,000 waiting jobs of three levels.
func BenchmarkInOrder(b *testing.B) {
	const jobs = 1000
	rng := rand.New(rand.NewPCG(6, 1))
	var all []*Urgency
	for range jobs {
		all = append(all, &Urgency{ArrivedAt: time.Duration(rng.IntN(400)) * ms, Objective: 300 * ms, Level: rng.IntN(3), Started: rng.IntN(2) == 0})
	}
	for b.Loop() {
		waiting := make([]Waiting[*Urgency], jobs)
		for i, u := range all {
			waiting[i] = Waiting[*Urgency]{Item: u, Rank: u.Rank(400 * ms)}
		}
		var started StartedWork
		for u := range InOrder(waiting, &started) {
			started.Add(u.Level, 1, 400*ms)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/jobs, "ns/job")
}

// BenchmarkAssignWithoutSpace assigns a task of the last level while 70 endpoints have
// space for none, as each of 1,000 waiting jobs does under overload.
func BenchmarkAssignWithoutSpace(b *testing.B) {
	var endpoints []Endpoint
	for range 70 {
		endpoints = append(endpoints, newEndpoint("e", -maxQueueFraction*replaySlots*replayTaskMilliCPU))
	}
	r := newRequest(4)
	r.Level = 2
	for b.Loop() {
		if len(Assign(r, endpoints, firstIndex)) > 0 {
			b.Fatal("a task was assigned")
		}
	}
}
