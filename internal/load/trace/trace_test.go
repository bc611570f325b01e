package trace

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func options(seed uint64) Options {
	return Options{
		Seed: seed, Slots: 88, Load: 0.8, Length: time.Minute,
		Teams: []string{"a", "b"}, Timeout: time.Minute,
	}
}

func TestNewIsTheSameForTheSameSeed(t *testing.T) {
	must.Eq(t, New(options(1)), New(options(1)))
	must.NotEq(t, New(options(1)), New(options(2)))
}

func TestNewKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := options(rapid.Uint64().Draw(t, "seed"))
		o.Load = rapid.Float64Range(0.1, 2).Draw(t, "load")
		trace := New(o)
		must.True(t, slices.IsSortedFunc(trace.Jobs, func(a, b Job) int { return int(a.At - b.At) }))
		for _, j := range trace.Jobs {
			must.Between(t, 1, len(j.Runs), MaxTasks)
			must.Between(t, 0, j.At, o.Length*2)
			must.Between(t, ShortMin, slices.Min(j.Runs), LongMax)
			must.Between(t, ShortMin, slices.Max(j.Runs), LongMax)
		}
	})
}

func TestNewOffersTheLoad(t *testing.T) {
	o := options(3)
	o.Length = time.Hour
	trace := New(o)
	offered := float64(trace.Work()) / float64(o.Slots) / float64(trace.Jobs[len(trace.Jobs)-1].At)
	must.Between(t, 0.79, offered, 0.81)
	long := 0
	for _, j := range trace.Jobs {
		for _, run := range j.Runs {
			if run >= LongMin {
				long++
			}
		}
	}
	must.Between(t, 0.018, float64(long)/float64(trace.Tasks()), 0.022)
}

func TestNewKeepsToShortTasksAndSmallJobs(t *testing.T) {
	o := options(1)
	o.ShortOnly = true
	o.LargestJob = 10
	for _, j := range New(o).Jobs {
		must.Between(t, 1, len(j.Runs), 10)
		must.Less(t, LongMin, slices.Max(j.Runs))
	}
}

func TestAddSortsByInstant(t *testing.T) {
	batch := Batch("bulk", 4, 3, 2*time.Second, time.Second, 2*time.Second, time.Minute)
	got := New(options(1)).Add(batch...)
	must.True(t, slices.IsSortedFunc(got.Jobs, func(a, b Job) int { return int(a.At - b.At) }))
	must.Eq(t, 1500*time.Millisecond, batch[1].At)
	must.Eq(t, 6*time.Second, batch[1].Work())
}
