package estimate

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// jobSource generates jobs as measured: run times deviate by runDeviation around the
// route's median in the logarithm, estimates by 0.45 from the run times, and one job
// in 33 takes seven times as long as its kind.
type jobSource struct {
	rng    *rand.Rand
	median time.Duration
	tail   float64
}

const (
	runDeviation      = 0.45
	estimateDeviation = 0.45
	tailFraction      = 1.0 / 33
	tailFactor        = 7
)

func newJobSource(tail float64) *jobSource {
	return &jobSource{rng: rand.New(rand.NewPCG(3, 1)), median: 200 * time.Millisecond, tail: tail}
}

// next returns a job's estimate and run time.
func (s *jobSource) next() (estimate, runTime time.Duration) {
	usual := float64(s.median) * math.Exp(runDeviation*s.rng.NormFloat64())
	estimate = time.Duration(usual * math.Exp(estimateDeviation*s.rng.NormFloat64()))
	if s.rng.Float64() < s.tail {
		usual *= tailFactor
	}
	return estimate, time.Duration(usual)
}

// observe adds n jobs to the model.
func (s *jobSource) observe(m *Model, n int) {
	for range n {
		estimate, runTime := s.next()
		m.Observe("r", estimate, runTime)
	}
}

// errorOf returns the standard deviation of the logarithm of run time over prediction,
// and its mean, for jobs without the tail.
func errorOf(predict func(time.Duration) time.Duration, s *jobSource) (deviation, bias float64) {
	const n = 4000
	sum, sumSquares := 0.0, 0.0
	for range n {
		estimate, runTime := s.next()
		e := math.Log(runTime.Seconds() / predict(estimate).Seconds())
		sum += e
		sumSquares += e * e
	}
	return math.Sqrt(sumSquares / n), sum / n
}

func callers(estimate time.Duration) time.Duration { return estimate }

func (m *Model) predictR(estimate time.Duration) time.Duration { return m.Predict("r", estimate) }

// Estimates deviate by 0.45 from the run times. The error of the predictions must be
// lower by at least a quarter after 300 jobs. It isn't with the callers' estimates.
func TestPredictionIsMoreAccurateThanEstimates(t *testing.T) {
	m, s := New(), newJobSource(0)
	s.observe(m, 300)
	before, _ := errorOf(callers, s)
	after, bias := errorOf(m.predictR, s)
	t.Logf("deviation %.3f with estimates, %.3f with predictions, bias %.3f; %+v", before, after, bias, m.State())
	must.Less(t, 0.75*before, after)
	must.Between(t, -0.05, bias, 0.05)
}

// A few jobs that take seven times as long must not lengthen the predictions for the
// others.
func TestLongJobsDoNotBiasPredictions(t *testing.T) {
	m, s := New(), newJobSource(tailFraction)
	s.observe(m, 3000)
	before, _ := errorOf(callers, newJobSource(0))
	after, bias := errorOf(m.predictR, newJobSource(0))
	t.Logf("deviation %.3f with estimates, %.3f with predictions, bias %.3f; %+v", before, after, bias, m.State())
	must.Less(t, 0.75*before, after)
	must.Between(t, -0.05, bias, 0.05)
}

// All callers of a route underestimate by a factor of 2, later they overestimate by
// 1.5. The predictions must follow within 600 jobs.
func TestPredictionFollowsAChange(t *testing.T) {
	m, s := New(), newJobSource(tailFraction)
	for _, factor := range []float64{2, 1 / 1.5} {
		for range 600 {
			estimate, runTime := s.next()
			m.Observe("r", time.Duration(float64(estimate)/factor), runTime)
		}
		_, bias := errorOf(func(estimate time.Duration) time.Duration {
			return m.Predict("r", time.Duration(float64(estimate)/factor))
		}, newJobSource(0))
		t.Logf("factor %.2f: bias %.3f", factor, bias)
		must.Between(t, -0.15, bias, 0.15)
	}
}

// Constant run times and estimates leave the regression without any variance.
func TestConstantRunTimesAreLearned(t *testing.T) {
	m := New()
	for range 400 {
		m.Observe("r", 100*time.Millisecond, 150*time.Millisecond)
	}
	must.Between(t, 140*time.Millisecond, m.Predict("r", 100*time.Millisecond), 151*time.Millisecond)
	must.Between(t, 280*time.Millisecond, m.Predict("r", 200*time.Millisecond), 302*time.Millisecond, must.Sprint("an estimate never seen before"))
}

// A process that has just started, and one that knows only other routes, must use the
// callers' estimates unchanged.
func TestUnknownRouteKeepsEstimate(t *testing.T) {
	m := New()
	for _, estimate := range []time.Duration{0, time.Microsecond, 67 * time.Millisecond, math.MaxInt64} {
		must.Eq(t, estimate, m.Predict("r", estimate))
	}
	m.Observe("other", time.Second, time.Minute)
	must.Eq(t, time.Second, m.Predict("r", time.Second))
}

// One sample must not outweigh the callers' estimates.
func TestFirstSamplesHaveLittleWeight(t *testing.T) {
	m := New()
	m.Observe("r", 100*time.Millisecond, time.Second)
	must.Less(t, 105*time.Millisecond, m.Predict("r", 100*time.Millisecond))
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

func TestPredictionIsBoundedByEstimate(t *testing.T) {
	const estimate = 100 * time.Millisecond
	for _, runTime := range []time.Duration{time.Microsecond, time.Hour} {
		m := New()
		for range 5000 {
			m.Observe("r", estimate, runTime)
		}
		want := estimate * maxChange
		if runTime < estimate {
			want = estimate / maxChange
		}
		must.Eq(t, want, m.Predict("r", estimate).Round(time.Microsecond))
	}
}

// Route names that change with each configuration must not use memory without bound,
// and routes in use must stay known.
func TestRoutesAreBounded(t *testing.T) {
	m := New()
	for i := range 10 * maxRoutes {
		m.Observe(fmt.Sprint(i), time.Second, time.Second)
		for range 2 {
			m.Observe("used", time.Second, 2*time.Second)
		}
	}
	must.MapLen(t, maxRoutes, m.routes)
	must.Len(t, maxRoutes, m.State())
	must.Greater(t, 1900*time.Millisecond, m.Predict("used", time.Second))
}

// Run times come from messages. Values that can't be right must neither crash the
// process nor change a known route by much.
func TestMalformedValuesAreHarmless(t *testing.T) {
	values := []time.Duration{math.MinInt64, -1, 0, 1, math.MaxInt64}
	m, s := New(), newJobSource(0)
	s.observe(m, 1000)
	before := m.Predict("r", 200*time.Millisecond)
	for _, estimate := range values {
		for _, runTime := range values {
			m.Observe("r", estimate, runTime)
			m.Observe("new", estimate, runTime)
			must.GreaterEq(t, 0, m.Predict("new", estimate))
			must.GreaterEq(t, 0, m.Predict("r", estimate))
		}
	}
	must.Between(t, before*9/10, m.Predict("r", 200*time.Millisecond), before*11/10)
	_, err := json.Marshal(m.State())
	must.NoError(t, err)
	s.observe(m, 1000)
	after, _ := errorOf(m.predictR, s)
	must.Less(t, 0.75*estimateDeviation, after)
}

// A prediction and a sample are made per job: 2 µs are allowed.
func BenchmarkPredictAndObserve(b *testing.B) {
	m, s := New(), newJobSource(tailFraction)
	names := make([]string, maxRoutes)
	for i := range names {
		names[i] = fmt.Sprint(i)
		m.Observe(names[i], time.Second, time.Second)
	}
	estimate, runTime := s.next()
	for i := 0; b.Loop(); i++ {
		name := names[i%maxRoutes]
		m.Predict(name, estimate)
		m.Observe(name, estimate, runTime)
	}
}

// The most expensive sample is the first of a route that replaces another one.
func BenchmarkObserveNewRoute(b *testing.B) {
	m := New()
	names := make([]string, 2*maxRoutes)
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	for i := 0; b.Loop(); i++ {
		m.Observe(names[i%len(names)], time.Second, time.Second)
	}
}
