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

func TestNewIsDeterministicPerSeed(t *testing.T) {
	must.Eq(t, New(testOptions(1)), New(testOptions(1)))
	must.NotEq(t, New(testOptions(1)), New(testOptions(2)))
}

func TestNewStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := testOptions(rapid.Uint64().Draw(t, "seed"))
		o.Load = rapid.Float64Range(0.1, 2).Draw(t, "load")
		generated := New(o)
		must.True(t, slices.IsSortedFunc(generated.Jobs, func(a, b Job) int { return int(a.Arrival - b.Arrival) }))
		for _, j := range generated.Jobs {
			must.Between(t, 1, len(j.RunTimes), MaxTasksPerJob)
			must.Between(t, 0, j.Arrival, o.Duration*2)
			must.Between(t, ShortMin, slices.Min(j.RunTimes), LongMax)
			must.Between(t, ShortMin, slices.Max(j.RunTimes), LongMax)
		}
	})
}

func TestNewOffersRequestedLoadAndLongFraction(t *testing.T) {
	o := testOptions(3)
	o.Duration = time.Hour
	generated := New(o)
	offered := float64(generated.TotalRunTime()) / float64(o.Slots) / float64(generated.Jobs[len(generated.Jobs)-1].Arrival)
	must.Between(t, 0.79, offered, 0.81)
	longTasks := 0
	for _, j := range generated.Jobs {
		for _, runTime := range j.RunTimes {
			if runTime >= LongMin {
				longTasks++
			}
		}
	}
	must.Between(t, 0.018, float64(longTasks)/float64(generated.TaskCount()), 0.022)
}

func TestNewHonoursShortOnlyAndMaxTasksPerJob(t *testing.T) {
	o := testOptions(1)
	o.ShortOnly = true
	o.MaxTasksPerJob = 10
	for _, j := range New(o).Jobs {
		must.Between(t, 1, len(j.RunTimes), 10)
		must.Less(t, LongMin, slices.Max(j.RunTimes))
	}
}

func TestWithJobsSortsByArrival(t *testing.T) {
	batch := Batch("bulk", 4, 3, 2*time.Second, time.Second, 2*time.Second, time.Minute)
	got := New(testOptions(1)).WithJobs(batch...)
	must.True(t, slices.IsSortedFunc(got.Jobs, func(a, b Job) int { return int(a.Arrival - b.Arrival) }))
	must.Eq(t, 1500*time.Millisecond, batch[1].Arrival)
	must.Eq(t, 6*time.Second, batch[1].TotalRunTime())
}
