package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/policy"
)

// newState returns a state of 100 cores, tasks of 200 ms, and no queued work.
func newState(backlog, demand ByLevel) *State {
	s := &State{CapacityMilliCPU: 100_000, Backlog: backlog, Demand: demand}
	for level := range s.TaskDurations {
		s.TaskDurations[level] = 200 * ms
	}
	return s
}

// One job in ten with less slack must not bound the wait of all, and the value must
// follow the load.
func TestLowSlackIsThatOfMostJobs(t *testing.T) {
	var s Slacks
	must.Eq(t, 0, s.Low()[1])
	for i := range 2000 {
		slack := 100 * ms
		if i%10 == 0 {
			slack = 10 * ms
		}
		s.Add(1, slack)
		s.Add(1, -slack)
	}
	must.Between(t, 90*ms, s.Low()[1], 110*ms)
	for range 100 {
		s.Add(1, 30*ms)
	}
	must.Between(t, 27*ms, s.Low()[1], 33*ms)
	state := newState(ByLevel{}, ByLevel{})
	state.LowSlack = s.Low()
	must.Less(t, 20*ms, Decide(&Job{Level: 1, Slack: time.Hour}, state).Limit)
	must.Eq(t, 6*ms, Decide(&Job{Level: 1, Slack: 10 * ms}, state).Limit)
}

// A wrong bound would refuse jobs that can be answered in time, or admit jobs that
// can't.
func TestDecide(t *testing.T) {
	const slack = 100 * ms
	for _, c := range []struct {
		name            string
		job             Job
		backlog, demand ByLevel
		wait            time.Duration
		admitted        bool
	}{
		{"nothing waits", Job{Level: 2, Slack: slack}, ByLevel{}, ByLevel{200_000}, 0, true},
		{"nothing waits, a late job", Job{Slack: -slack}, ByLevel{}, ByLevel{}, 0, true},
		{"up to the limit", Job{Slack: slack}, ByLevel{30_000}, ByLevel{}, 60 * ms, true},
		{"over the limit", Job{Slack: slack}, ByLevel{30_010}, ByLevel{}, 60*ms + 20*time.Microsecond, false},
		{"returned", Job{Slack: slack, Returned: true}, ByLevel{49_000}, ByLevel{}, 98 * ms, true},
		{"work of a later level", Job{Slack: slack}, ByLevel{0, 900_000}, ByLevel{0, 200_000}, 0, true},
		{"work of a level before", Job{Level: 1, Slack: slack}, ByLevel{29_000, 10_000}, ByLevel{}, 78 * ms, false},
		{"demand of a level before", Job{Level: 1, Slack: slack}, ByLevel{0, 25_000}, ByLevel{50_000}, 100 * ms, false},
		{"own minimum share", Job{Level: 1, Slack: slack}, ByLevel{40_000, 2_500}, ByLevel{200_000}, 50 * ms, true},
		{"free capacity", Job{Slack: slack, FitsNow: true}, ByLevel{90_000}, ByLevel{}, 180 * ms, true},
		{"heavy caller", Job{Slack: slack, CallerExcess: 2.1}, ByLevel{20_000}, ByLevel{}, 40 * ms, false},
		{"heavy caller without contention", Job{Slack: slack, CallerExcess: 2.1}, ByLevel{15_000}, ByLevel{}, 30 * ms, true},
		{"usual caller", Job{Slack: slack, CallerExcess: 1.9}, ByLevel{20_000}, ByLevel{}, 40 * ms, true},
		{"level out of range", Job{Level: 99, Slack: slack}, ByLevel{0, 0, 0, 90_000}, ByLevel{}, 180 * ms, false},
		{"negative level", Job{Level: -1, Slack: slack}, ByLevel{10_000}, ByLevel{}, 20 * ms, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := Decide(&c.job, newState(c.backlog, c.demand))
			must.Eq(t, c.wait.Round(time.Microsecond), d.Wait.Round(time.Microsecond))
			must.Eq(t, c.admitted, d.Admitted)
			must.Eq(t, !c.admitted, d.RetryAfter >= minRetryAfter)
		})
	}
	s := newState(ByLevel{1}, ByLevel{})
	s.CapacityMilliCPU = 0
	must.False(t, Decide(&Job{Slack: slack}, s).Admitted, must.Sprint("no capacity is known"))
}

// Figures of a process of another version, or of a faulty one, must not reach the
// decisions: with one that is not a number every comparison would be false.
func TestMalformedFiguresAreBounded(t *testing.T) {
	figures := []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1), 5, 7}
	must.Eq(t, ByLevel{0, 0, maxFigure, 12}, DecodeLevels(figures), must.Sprint("excess levels count for the last one"))
	must.Eq(t, ByLevel{}, DecodeLevels(nil))
	must.Eq(t, ByLevel{70}, DecodeBacklog(70, nil), must.Sprint("a runner that doesn't tell levels"))
	must.Eq(t, ByLevel{0, 70}, DecodeBacklog(70, []uint64{0, 70}))
	must.Less(t, math.Pow(2, 50), DecodeBacklog(0, []uint64{1<<64 - 1})[0])
	must.Eq(t, []float64{0, 3}, ByLevel{0, 3}.Encode())
	must.SliceEmpty(t, ByLevel{}.Encode())
	var d Demand
	d.Add(-1, Work{MilliCPU: math.NaN(), MilliCPUSeconds: math.Inf(1)}, time.Hour)
	d.Add(9, Work{MilliCPU: 1, MilliCPUSeconds: 1}, time.Second)
	for level, figure := range d.Rate(time.Hour) {
		must.Between(t, 0, figure, maxFigure, must.Sprint(level))
	}
	for _, duration := range d.TaskDurations(ms) {
		must.Between(t, 0, duration, maxWait)
	}
	decision := Decide(&Job{Level: 3, Slack: time.Second}, newState(DecodeLevels(figures), DecodeLevels(figures)))
	must.Between(t, 0, decision.Wait, maxWait)
}

func TestDemandIsARate(t *testing.T) {
	var d Demand
	for at := time.Duration(0); at < 20*time.Second; at += 10 * ms {
		d.Add(1, Work{MilliCPU: 1000, MilliCPUSeconds: 300}, at)
	}
	must.Between(t, 29_500, d.Rate(20 * time.Second)[1], 30_500)
	must.Less(t, 11_500, d.Rate(22 * time.Second)[1], must.Sprint("it decays"))
	must.Eq(t, [policy.MaxLevels]time.Duration{300 * ms, 300 * ms, ms, ms}, d.TaskDurations(ms))
}

// If the delay didn't grow with the refused work, callers would return to the same
// overload; if it had no bounds, they would never return.
func TestRetryAfterFollowsRefusedWork(t *testing.T) {
	s := newState(ByLevel{}, ByLevel{50_000})
	must.Eq(t, minRetryAfter, s.RetryAfter(1, 50*ms))
	s.RefusedWork = ByLevel{0, 200_000}
	must.Eq(t, 4050*ms, s.RetryAfter(1, 50*ms), must.Sprint("half of the capacity serves it in four seconds"))
	must.Eq(t, minRetryAfter, s.RetryAfter(0, 50*ms), must.Sprint("the level before comes first"))
	s.RefusedWork = ByLevel{0, maxFigure}
	must.Eq(t, maxRetryAfter, s.RetryAfter(1, maxWait))
	s.CapacityMilliCPU = 0
	must.Eq(t, maxRetryAfter, s.RetryAfter(1, 0))
	seen := map[time.Duration]bool{}
	for i := range 4 {
		seen[Spread(2500*ms, func(n int) int { return i % n })] = true
	}
	must.MapEq(t, map[time.Duration]bool{3 * time.Second: true, 4 * time.Second: true, 5 * time.Second: true, 6 * time.Second: true}, seen)
}

// A job that returns at once, or long after its refusal, has no privilege, and the
// memory of refused jobs must stay bounded.
func TestRefusedJobIsRememberedUntilItReturns(t *testing.T) {
	r := NewRefusedJobs()
	r.Add("a", 0)
	must.False(t, r.Returned("a", minRetryAfter-1))
	must.True(t, r.Returned("a", refusedRetention))
	must.False(t, r.Returned("b", refusedRetention))
	must.False(t, r.Returned("a", refusedRetention+1))
	for i := range maxRefusedJobs + 1 {
		r.Add(fmt.Sprint(i), time.Minute)
	}
	must.False(t, r.Returned("0", time.Minute+minRetryAfter))
	must.True(t, r.Returned("1", time.Minute+minRetryAfter))
	must.MapLen(t, maxRefusedJobs, r.known.elements)
	r.Remove("1")
	must.False(t, r.Returned("1", time.Minute+minRetryAfter))
}

// A caller must be compared with all callers, and only if there are others.
func TestCallerExcess(t *testing.T) {
	c := NewCallers()
	for i := range minCallerJobs {
		must.Eq(t, 0, c.Excess("heavy", Population{MilliCPU: 4000, Callers: 2}, 0), must.Sprint("too few jobs: ", i))
		c.Add("heavy", Work{MilliCPUSeconds: 8000.0 / minCallerJobs}, 0)
	}
	must.Eq(t, 2, c.Excess("heavy", Population{MilliCPU: 4000, Callers: 2}, 0))
	must.Eq(t, 0, c.Excess("heavy", Population{MilliCPU: 4000, Callers: 1.9}, 0), must.Sprint("no others"))
	must.Eq(t, 0, c.Excess("heavy", Population{Callers: 9}, 0))
	must.Eq(t, 0, c.Excess("heavy", Population{MilliCPU: 4000, Callers: 2}, time.Second), must.Sprint("too few of the jobs are recent"))
	must.Eq(t, 0, c.Excess("unknown", Population{MilliCPU: 1, Callers: 2}, 0))
	must.Eq(t, []CallerDemand{{"heavy", 4}}, c.Over(Population{MilliCPU: 2000, Callers: 2}, 0))
	for i := range maxCallers {
		c.Seen(fmt.Sprint(i), 0)
	}
	must.Eq(t, maxCallers, c.Count(0))
	must.Eq(t, 0, c.Excess("heavy", Population{MilliCPU: 4000, Callers: 2}, 0), must.Sprint("dropped"))
	must.Eq(t, 0, c.Count(callerRetention+1))
}
