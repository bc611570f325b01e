package estimate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// jobs generates jobs as measured: run times and estimates deviate by 0.45 in the
// logarithm, and the given fraction of the jobs takes seven times as long as its kind.
// Estimates are divided by bias.
func jobs(n int, long, bias float64, use func(estimate, runTime time.Duration)) {
	rng := rand.New(rand.NewPCG(3, 1))
	for range n {
		usual := 200e6 * math.Exp(0.45*rng.NormFloat64())
		estimate := time.Duration(usual * math.Exp(0.45*rng.NormFloat64()) / bias)
		if rng.Float64() < long {
			usual *= 7
		}
		use(estimate, time.Duration(usual))
	}
}

func (m *Model) observe(n int, long, bias float64) {
	jobs(n, long, bias, func(estimate, runTime time.Duration) { m.Observe("r", estimate, runTime) })
}

// errorOf returns the root mean square of the logarithm of run time over prediction,
// and its mean, for jobs of usual length.
func (m *Model) errorOf(bias float64) (deviation, mean float64) {
	const n = 4000
	jobs(n, 0, bias, func(estimate, runTime time.Duration) {
		e := math.Log(runTime.Seconds() / m.Predict("r", estimate).Seconds())
		mean += e / n
		deviation += e * e / n
	})
	return math.Sqrt(deviation), mean
}

// The error of predictions must be lower than that of the callers' estimates by at least
// a quarter, soon and also if some jobs take many times as long. A model that returns
// the estimates fails this.
func TestPredictionIsMoreAccurateThanEstimates(t *testing.T) {
	before, _ := New().errorOf(1)
	for n, long := range map[int]float64{300: 0, 3000: 1.0 / 33} {
		m := New()
		m.observe(n, long, 1)
		after, mean := m.errorOf(1)
		t.Logf("%d jobs: error %.3f instead of %.3f, mean %.3f; %+v", n, after, before, mean, m.State())
		must.Less(t, 0.75*before, after)
		must.Between(t, -0.06, mean, 0.06)
	}
}

// Callers underestimate by a factor of 2, later they overestimate by 1.5. A model that
// never forgets, or takes all of these samples for outliers, would not follow.
func TestPredictionFollowsAChange(t *testing.T) {
	m := New()
	for _, bias := range []float64{2, 1 / 1.5} {
		m.observe(600, 1.0/33, bias)
		_, mean := m.errorOf(bias)
		must.Between(t, -0.15, mean, 0.15, must.Sprint(bias))
	}
}

// A process that has just started must use the callers' estimates unchanged, and one
// sample must not outweigh them.
func TestFewSamplesHaveLittleWeight(t *testing.T) {
	m := New()
	for _, estimate := range []time.Duration{0, 1, 67 * time.Millisecond, math.MaxInt64} {
		must.Eq(t, estimate, m.Predict("r", estimate))
	}
	m.Observe("r", time.Second, time.Minute)
	must.Less(t, 1050*time.Millisecond, m.Predict("r", time.Second))
}

// Tasks without an estimate must get the usual run time of their route, once it is
// known, whether or not the other jobs have estimates.
func TestMissingEstimateIsReplacedByMean(t *testing.T) {
	m := New()
	for i := range minKnownSamples {
		must.Eq(t, 0, m.Predict("r", 0))
		m.Observe("r", time.Duration(i%2)*time.Second, 300*time.Millisecond)
	}
	must.Between(t, 295*time.Millisecond, m.Predict("r", 0), 305*time.Millisecond)
}

// Equal samples leave the regression without variance, and may be far off.
func TestPredictionIsBoundedByEstimate(t *testing.T) {
	for runTime, want := range map[time.Duration]float64{1: 0.25, time.Hour: 4, 2 * time.Second: 2} {
		m := New()
		for range 5000 {
			m.Observe("r", time.Second, runTime)
		}
		must.Between(t, want*0.99, m.Predict("r", time.Second).Seconds(), want)
	}
}

// Routes that come and go with configurations must not use memory without bound, nor
// displace those in use.
func TestRoutesAreBounded(t *testing.T) {
	m := New()
	for i := range 10 * maxRoutes {
		m.Observe(fmt.Sprint(i), time.Second, time.Second)
		m.Observe("used", time.Second, 2*time.Second)
	}
	must.Len(t, maxRoutes, m.State())
	must.Greater(t, 1900*time.Millisecond, m.Predict("used", time.Second))
}

// Run times come from messages. Values that can't be right must neither crash the
// process nor change a known route by much.
func TestMalformedValuesAreHarmless(t *testing.T) {
	values := []time.Duration{math.MinInt64, -1, 0, 1, math.MaxInt64}
	m := New()
	m.observe(1000, 0, 1)
	before := m.Predict("r", time.Second)
	for _, estimate := range values {
		for _, runTime := range values {
			m.Observe("r", estimate, runTime)
			m.Observe("new", estimate, runTime)
			must.GreaterEq(t, 0, min(m.Predict("new", estimate), m.Predict("r", estimate)))
		}
	}
	must.Between(t, before*9/10, m.Predict("r", time.Second), before*11/10)
	m = New()
	m.Observe("r", math.MaxInt64, 1)
	m.observe(1000, 0, 1)
	after, _ := m.errorOf(1)
	must.Less(t, 0.34, after, must.Sprint("absurd before anything is known"))
}

// A prediction and a sample are made per job: 2 µs are allowed.
func BenchmarkPredictAndObserve(b *testing.B) {
	m := New()
	for b.Loop() {
		m.Predict("r", time.Second)
		m.Observe("r", time.Second, time.Second)
	}
}
