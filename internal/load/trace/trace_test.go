package trace

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func testOptions(seed uint64) Options {
	return Options{
		Seed: seed, Slots: 88, Load: 0.8, Duration: time.Minute,
		Teams: []string{"a", "b"}, Timeout: time.Minute,
	}
}

func TestNewIsTheSameForTheSameSeed(t *testing.T) {
	must.Eq(t, New(testOptions(1)), New(testOptions(1)))
	must.NotEq(t, New(testOptions(1)), New(testOptions(2)))
}

func TestNewKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := testOptions(rapid.Uint64().Draw(t, "seed"))
		o.Load = rapid.Float64Range(0.1, 2).Draw(t, "load")
		trace := New(o)
		must.True(t, slices.IsSortedFunc(trace.Jobs, func(a, b Job) int { return int(a.Arrival - b.Arrival) }))
		for _, j := range trace.Jobs {
			must.Between(t, 1, len(j.RunTimes), MaxTasksPerJob)
			must.Between(t, 0, j.Arrival, o.Duration*2)
			must.Between(t, ShortMin, slices.Min(j.RunTimes), LongMax)
			must.Between(t, ShortMin, slices.Max(j.RunTimes), LongMax)
		}
	})
}

func TestNewOffersTheLoad(t *testing.T) {
	o := testOptions(3)
	o.Duration = time.Hour
	trace := New(o)
	offered := float64(trace.TotalRunTime()) / float64(o.Slots) / float64(trace.Jobs[len(trace.Jobs)-1].Arrival)
	must.Between(t, 0.79, offered, 0.81)
	long := 0
	for _, j := range trace.Jobs {
		for _, run := range j.RunTimes {
			if run >= LongMin {
				long++
			}
		}
	}
	must.Between(t, 0.018, float64(long)/float64(trace.TaskCount()), 0.022)
}

func TestNewKeepsToShortTasksAndSmallJobs(t *testing.T) {
	o := testOptions(1)
	o.ShortOnly = true
	o.MaxTasksPerJob = 10
	for _, j := range New(o).Jobs {
		must.Between(t, 1, len(j.RunTimes), 10)
		must.Less(t, LongMin, slices.Max(j.RunTimes))
	}
}

func TestAddSortsByInstant(t *testing.T) {
	batch := Batch("bulk", 4, 3, 2*time.Second, time.Second, 2*time.Second, time.Minute)
	got := New(testOptions(1)).WithJobs(batch...)
	must.True(t, slices.IsSortedFunc(got.Jobs, func(a, b Job) int { return int(a.Arrival - b.Arrival) }))
	must.Eq(t, 1500*time.Millisecond, batch[1].Arrival)
	must.Eq(t, 6*time.Second, batch[1].TotalRunTime())
}
