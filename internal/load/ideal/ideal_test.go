package ideal

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/pomelosill/pomelosill/internal/load/trace"
)

const second = time.Second

func newJob(at time.Duration, runs ...time.Duration) trace.Job {
	return trace.Job{Arrival: at, RunTimes: runs}
}

func TestSimulate(t *testing.T) {
	cases := []struct {
		name       string
		jobs       []trace.Job
		capacities []Capacity
		want       []time.Duration
	}{
		{"enough slots", []trace.Job{newJob(0, second, 2*second)}, []Capacity{{0, 2}}, []time.Duration{2 * second}},
		{"longest first", []trace.Job{newJob(0, second, 2*second, 3*second)}, []Capacity{{0, 2}}, []time.Duration{3 * second}},
		{
			"fewest running first",
			[]trace.Job{newJob(0, second, second, second, second), newJob(0, second)},
			[]Capacity{{0, 2}},
			[]time.Duration{3 * second, second},
		},
		{
			"later job gets the next free slot",
			[]trace.Job{newJob(0, second, second, second, second), newJob(second/2, second)},
			[]Capacity{{0, 2}},
			[]time.Duration{3 * second, 1500 * time.Millisecond},
		},
		{
			"slots reduced and restored",
			[]trace.Job{newJob(0, second, second), newJob(second, second, second), newJob(4*second, second, second)},
			[]Capacity{{0, 2}, {second, 1}, {4 * second, 2}},
			[]time.Duration{second, 2 * second, second},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := Simulate(trace.Trace{Jobs: c.jobs}, c.capacities)
			must.Eq(t, c.want, got.ResponseTimes)
		})
	}
}

func TestSimulateRespectsNoWaitBoundAndSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 100).Draw(t, "slots")
		generated := trace.New(trace.Options{
			Seed: rapid.Uint64().Draw(t, "seed"), Slots: slots, Load: 0.9,
			Duration: 20 * second, Teams: []string{"a"},
		})
		got := Simulate(generated, []Capacity{{0, slots}})
		must.Len(t, generated.TaskCount(), got.TaskRuns)
		for i, j := range generated.Jobs {
			must.GreaterEq(t, NoWaitResponseTime(j, 0), got.ResponseTimes[i])
		}
		window := Interval{5 * second, 6 * second}
		must.LessEq(t, time.Duration(slots)*second, Overlap(got.TaskRuns, window))
	})
}

func TestOverlap(t *testing.T) {
	runs := []Interval{{0, 2 * second}, {3 * second, 9 * second}, {10 * second, 11 * second}}
	must.Eq(t, 3*second, Overlap(runs, Interval{second, 5 * second}))
}
