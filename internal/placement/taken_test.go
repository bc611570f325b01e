package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// staleResult holds means over seeds: the refused starts for each start, the fraction
// of late jobs and the endpoints used by a job.
type staleResult struct{ refused, late, endpoints float64 }

func replayStaleViews(load, share float64, seeds uint64, uneven bool) (sum staleResult) {
	flood := load > 1
	for seed := range seeds {
		r := newStaleReplay(seed, staleEndpoints, staleSlots, RunnerWait)
		r.othersShare = share
		if uneven {
			r.setEndpoints(staleSlots, []float64{0.6, 1, 1.6}, []float64{1, 1.5}, 0.07)
		}
		if flood {
			r.levels, r.rates, load = overloadLevels, []float64{1, 2.5, 1}, 0.99
		}
		sum.late += (1 - r.inTimeOfAll(load)) / float64(seeds)
		sum.refused += float64(r.refusals) / float64(r.starts) / float64(seeds)
		sum.endpoints += float64(r.jobEndpoints) / float64(r.endedJobs) / float64(seeds)
	}
	return sum
}

// Guards against dispatchers that send tasks to the endpoints that look emptiest in old
// views and find them taken. The load is six dispatchers with views up to 60 ms old.
func TestFewerStartsAreRefusedWithStaleViews(t *testing.T) {
	const (
		seeds = 4
		// maxRefused is the bound on refused starts, and maxEndpoints that on the
		// endpoints used by a job, relative to those without the correction.
		maxRefused, maxEndpoints = 2.0 / 3, 1.3
		// maxLate and maxLateMore bound the late jobs, relative to those without the
		// correction and beyond them. The means of four seeds differ by up to half.
		maxLate, maxLateMore = 1.5, 0.01
		// overload is a load at which starts are refused for lack of capacity.
		overload = 1.4
	)
	for _, uneven := range []bool{false, true} {
		for _, load := range []float64{0.6, 0.7, 0.8, 0.9, overload} {
			t.Run(fmt.Sprint(load, " uneven ", uneven), func(t *testing.T) {
				t.Parallel()
				with, without := replayStaleViews(load, othersShare, seeds, uneven), replayStaleViews(load, 0, seeds, uneven)
				t.Logf("with %.3f, without %.3f", with, without)
				must.Less(t, maxLate*without.late+maxLateMore, with.late)
				must.Less(t, maxEndpoints*without.endpoints, with.endpoints)
				if load < overload {
					must.Less(t, maxRefused*without.refused, with.refused)
				}
			})
		}
	}
}

// setViews sets the free capacity and the age of the endpoints' views.
func setViews(endpoints []Endpoint, free int64, ages ...time.Duration) {
	for i := range endpoints {
		endpoints[i].Free.MilliCPU, endpoints[i].ViewAge = free, time.Duration(i)*ms
		if i < len(ages) {
			endpoints[i].ViewAge = ages[i]
		}
	}
}

// Guards against a correction where no other dispatcher takes capacity: the views are
// exact then, however old they are, and jobs must share as few endpoints as before.
func TestNothingIsTakenWithoutOthers(t *testing.T) {
	for name, c := range map[string]struct {
		othersShare float64
		free        int64
		duration    time.Duration
	}{
		"one dispatcher": {0, 5000, 150 * ms}, "not a number": {math.NaN(), 5000, 150 * ms},
		"idle endpoints": {0.8, 10000, 150 * ms}, "idle endpoints, no duration": {0.8, 10000, 0},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newFleet(1, 1, 1)
			setViews(fleet, c.free, time.Hour, time.Second, 0)
			fleet[0].taken = 0.5
			SetTakenByOthers(fleet, c.othersShare, c.duration)
			for i := range fleet {
				must.Zero(t, fleet[i].taken)
			}
			must.Eq(t, []Assignment{{EndpointIndex: 0, Count: 5}}, Assign(newRequest(5), fleet, firstIndex))
		})
	}
}

// Guards against many tasks sent by views that are seconds old, and against endpoints
// that are excluded because of their age: these are still used where nothing better is
// available.
func TestViewSecondsOldCountsAsTaken(t *testing.T) {
	fleet := newFleet(1, 1, 1)
	setViews(fleet, 5000, 3*time.Second, 2*time.Second, 5*ms)
	SetTakenByOthers(fleet, 0.8, 150*ms)
	want := []Assignment{{EndpointIndex: 2, Count: 5}, {EndpointIndex: 1, Count: 1}, {EndpointIndex: 0, Count: 1}}
	must.Eq(t, want, Assign(newRequest(7), fleet, firstIndex))
	setViews(fleet, 5000, 3*time.Second, 2*time.Second, time.Second)
	SetTakenByOthers(fleet, 0.8, 150*ms)
	want = []Assignment{{EndpointIndex: 2, Count: 1}, {EndpointIndex: 1, Count: 1}, {EndpointIndex: 0, Count: 1}}
	must.Eq(t, want, Assign(newRequest(3), fleet, firstIndex))
}

// Guards against a busy service whose views count by the load of another one.
func TestTakenIsByService(t *testing.T) {
	fleet := newFleet(1, 1, 1, 1)
	setViews(fleet, 2000, 50*ms, 50*ms, 50*ms, 50*ms)
	fleet[1].Service, fleet[1].Free.MilliCPU = "idle", 10000
	fleet[3].Service, fleet[3].Free.MilliCPU = "full", -3000
	SetTakenByOthers(fleet, 0.8, 150*ms)
	must.Positive(t, fleet[0].taken)
	must.Eq(t, fleet[0].taken, fleet[2].taken)
	must.Zero(t, fleet[1].taken)
	must.Zero(t, fleet[3].taken)
}

// Guards against a job that counts on memory which others have probably taken.
func TestLikelyFitIsOfTheScarcestResource(t *testing.T) {
	r, e := newRequest(8), newEndpoint("e", 8000)
	r.Resources.MemoryMB, e.Free.MemoryMB = 100, 400
	e.taken = 0.5
	must.Eq(t, 2, r.likelyFit(&e, float64(r.FitCount(&e))))
}

// BenchmarkSetTakenByOthers measures what each call of the scheduler costs besides.
func BenchmarkSetTakenByOthers(b *testing.B) {
	fleet := newFleet(make([]float64, 70)...)
	setViews(fleet, 3000)
	for b.Loop() {
		SetTakenByOthers(fleet, 0.8, 150*ms)
	}
}
