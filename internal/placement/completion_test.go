package placement

import (
	"math"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/workload"
)

// newFleet returns endpoints of these speeds, with capacity for ten tasks each.
func newFleet(speeds ...float64) []Endpoint {
	var all []Endpoint
	for _, s := range speeds {
		e := newEndpoint("e", replaySlots*replayTaskMilliCPU)
		e.Speed = s
		all = append(all, e)
	}
	SetMedianSpeeds(all)
	return all
}

// newTimedRequest returns a request for tasks of 900 ms in a job that may take 1.5 s.
func newTimedRequest(count int) *Request {
	r := newRequest(count)
	r.Estimate, r.Slack = 900*ms, 600*ms
	return r
}

// An endpoint that becomes slow must be judged by its present speed at once, and by
// its usual speed again when it has recovered.
func TestEffectiveSpeed(t *testing.T) {
	for _, c := range []struct{ rated, measured, want float64 }{
		{1.6, 1.2, 1.6}, {1.6, 2.4, 1.6}, {1.6, 0.3, 0.3}, {1.6, 1.5, 1.6},
		{0.6, 0.37, 0.6}, {0, 1.3, 1.3}, {0, 0, minSpeed}, {1, 0, minSpeed},
		{1e17, 1e17, maxSpeed}, {1e17, 1, 1}, {-1, 1, 1}, {math.NaN(), 1, 1}, {1, math.NaN(), 1}, {math.Inf(1), math.Inf(1), maxSpeed},
	} {
		must.Eq(t, c.want, EffectiveSpeed(c.rated, c.measured), must.Sprintf("%+v", c))
	}
}

// With a fleet that is slower than estimated, the slow tier must not be everything:
// the order of tiers would be lost.
func TestSlowTierIsRelativeToTheMedian(t *testing.T) {
	all := newFleet(0.3, 0.32, 0.31, 0.1)
	other := newEndpoint("o", 1000)
	other.Service, other.Speed = "another", 1.5
	all = append(all, other)
	SetMedianSpeeds(all)
	r := newRequest(1)
	for i, want := range []int{tierPreferred, tierPreferred, tierPreferred, tierSlow, tierIneligible} {
		must.Eq(t, want, r.tier(&all[i]))
	}
}

// Learned speeds of equal endpoints differ. A choice that followed them would send
// the tasks of all dispatchers to the same few endpoints, and spread jobs.
func TestSpeedNoiseDoesNotChangeTheChoice(t *testing.T) {
	noisy := newFleet(0.84, 0.95, 1.19, 1.08, 1)
	free := []int64{1000, 8000, 2000, 8000, 3000}
	for i := range noisy {
		noisy[i].Free.MilliCPU = free[i]
	}
	var equal []int
	pickBest(newTimedRequest(8).appendCandidates(nil, noisy), 8, func(n int) int { equal = append(equal, n); return 0 })
	must.Eq(t, []int{2}, equal)
	late := newTimedRequest(1)
	late.Slack = 0
	pickBest(late.appendCandidates(nil, noisy), 1, func(n int) int { equal = append(equal, n); return 0 })
	must.Eq(t, []int{2, 5}, equal)
}

// Endpoints whose speeds are on both sides of a bound must not be preferred to each
// other if they are nearly equal.
func TestNearlyEqualSpeedsAreNotSeparatedByABound(t *testing.T) {
	fleet := newFleet(1, 1, 1, 1.19, 1.21, 1.22)
	got := map[int]bool{}
	for i := range len(fleet) {
		got[Assign(newTimedRequest(1), append([]Endpoint{}, fleet...), func(n int) int { return min(i, n-1) })[0].EndpointIndex] = true
	}
	must.MapLen(t, len(fleet), got)
}

func TestChoiceBySpeed(t *testing.T) {
	busy := func(free ...int64) []Endpoint {
		all := newFleet(0.61, 1, 1, 1.6)
		for i := range free {
			all[i].Free.MilliCPU = free[i] * replayTaskMilliCPU
		}
		return all
	}
	short := newRequest(2)
	short.Estimate, short.Slack = 60*ms, 96*ms
	cases := []struct {
		name      string
		request   *Request
		endpoints []Endpoint
		want      map[int]int
	}{
		{"a job that would miss its objective at a slower endpoint doesn't use it", newTimedRequest(2), busy(10, 1, 1, 0), map[int]int{1: 1, 2: 1}},
		{"a job that meets its objective anywhere shares one endpoint", short, busy(10, 1, 1, 1), map[int]int{0: 2}},
		{"a job that misses its objective everywhere is placed", newTimedRequest(2), busy(10, 0, 0, 0), map[int]int{0: 2}},
		{"the only fast endpoint is not raced for", newTimedRequest(1), busy(10, 10, 10, 10), map[int]int{1: 1}},
		{"a task waits where it starts first", newTimedRequest(1), busy(0, 0, 0, 0), map[int]int{3: 1}},
		{"a task doesn't wait at a slow endpoint with the shortest queue", newTimedRequest(1), busy(0, -2, -1, -3), map[int]int{2: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := map[int]int{}
			for _, a := range Assign(c.request, c.endpoints, firstIndex) {
				got[a.EndpointIndex] += a.Count
			}
			must.Eq(t, c.want, got)
		})
	}
}

// Jobs must end early while the load is low, although they would meet their
// objectives at slower endpoints.
func TestFastEndpointsAreUsedIfTheySufficeForAllDispatchers(t *testing.T) {
	for fast, wantFast := range map[int]bool{spareFit: true, spareFit - 1: false} {
		speeds := append(slices.Repeat([]float64{1}, 2*spareFit), slices.Repeat([]float64{1.6}, fast)...)
		index := Assign(newTimedRequest(2), newFleet(speeds...), firstIndex)[0].EndpointIndex
		must.Eq(t, wantFast, index >= 2*spareFit, must.Sprint(fast, " fast endpoints"))
	}
}

// BenchmarkAssign measures one decision for a job with 70 endpoints.
func BenchmarkAssign(b *testing.B) {
	var speeds []float64
	for i := range 70 {
		speeds = append(speeds, []float64{0.6, 1, 1.6}[i%3])
	}
	fleet := newFleet(speeds...)
	for _, c := range []struct {
		name   string
		free   int64
		others float64
	}{{"free", 3000, 0}, {"busy", 0, 0}, {"stale", 3000, 0.8}} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			setViews(fleet, c.free)
			SetTakenByOthers(fleet, c.others, 150*ms)
			r := newTimedRequest(2)
			for b.Loop() {
				for i := range fleet {
					fleet[i].Free = workload.Resources{MilliCPU: c.free}
				}
				Assign(r, fleet, firstIndex)
			}
		})
	}
}

// BenchmarkSetMedianSpeeds measures what each call of the scheduler costs besides.
func BenchmarkSetMedianSpeeds(b *testing.B) {
	fleet := newFleet(make([]float64, 70)...)
	for b.Loop() {
		for i := range fleet {
			fleet[i].Speed = float64(i * 37 % 70)
		}
		SetMedianSpeeds(fleet)
	}
}
