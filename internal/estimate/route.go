package estimate

import (
	"math"
	"time"
)

const (
	// forgetting is the fraction of the weight of earlier samples that is lost with
	// each sample. A mean over 256 jobs, whose logarithms deviate by 0.3, is known to
	// 2 %, and a route of a few jobs a second follows a change within a minute or two.
	forgetting = 1.0 / 256
	// priorWeight is the weight of the assumption that estimates are right, in samples.
	// It is forgotten like samples, down to minPriorWeight.
	priorWeight    = 30
	minPriorWeight = 1
	// priorVariance is the variance of the logarithms of estimates in the assumed
	// samples: estimates that differ by a factor of 1.65. Where estimates hardly
	// differ, nothing is known about the slope.
	priorVariance = 0.25
	// minKnownSamples is the number of jobs from which a route's mean is used for
	// tasks without an estimate.
	minKnownSamples = 30
	// maxSlopeChange bounds the slope to 0 to 2: a longer estimate never means a
	// shorter run time.
	maxSlopeChange = 1
)

// route holds what is known about one route.
type route struct {
	samples int
	// lastObserved is the model's number of samples at the route's last one.
	lastObserved uint64
	fit          regression
	residuals    movingVariance
	// logRunTime is the moving mean of the logarithms of run times in seconds, and
	// deviations are the samples' deviations from it.
	logRunTime float64
	deviations movingVariance
}

func newRoute() *route {
	return &route{
		fit:       regression{priorWeight: priorWeight},
		residuals: movingVariance{variance: initialResidualVariance}, deviations: movingVariance{variance: initialRunTimeVariance},
	}
}

// add adds a sample. A deviation from what is known is clipped: a few jobs that take
// many times as long as the others must not bias the prediction for the others.
func (r *route) add(estimate, runTime time.Duration) {
	y := logSeconds(runTime)
	if r.samples == 0 {
		r.logRunTime = y
	}
	r.samples++
	weight := max(forgetting, 1/float64(r.samples))
	r.logRunTime += weight * r.deviations.clip(y-r.logRunTime)
	if estimate <= 0 {
		return
	}
	x := logSeconds(estimate)
	limit := math.Log(maxRatio)
	ratio := min(max(y-x, -limit), limit)
	expected := r.fit.logRatio(x)
	r.fit.add(r.fit.nearMean(x), expected+r.residuals.clip(ratio-expected))
}

// usualRunTime returns the geometric mean of the run times, or zero while too few are
// known.
func (r *route) usualRunTime() time.Duration {
	if r.samples < minKnownSamples {
		return 0
	}
	return time.Duration(math.Exp(r.logRunTime) * float64(time.Second))
}

// regression is a linear regression, with exponential forgetting, of the logarithm of
// run time over estimate on the logarithm of the estimate. The sums are kept relative
// to the means, so that they stay exact.
type regression struct {
	priorWeight float64
	// weight is the sum of the samples' weights.
	weight float64
	// meanX and meanY are the weighted means, sumXX and sumXY the weighted sums of
	// products of the deviations from them.
	meanX, meanY float64
	sumXX, sumXY float64
}

func (f *regression) add(x, y float64) {
	const kept = 1 - forgetting
	f.priorWeight = max(f.priorWeight*kept, minPriorWeight)
	f.weight = f.weight*kept + 1
	dx, dy := x-f.meanX, y-f.meanY
	f.meanX += dx / f.weight
	f.meanY += dy / f.weight
	f.sumXX = f.sumXX*kept + dx*(x-f.meanX)
	f.sumXY = f.sumXY*kept + dx*(y-f.meanY)
}

// offset returns the expected value at the mean of x.
func (f *regression) offset() float64 { return f.meanY * f.weight / (f.weight + f.priorWeight) }

// slope returns the increase of the expected value with x.
func (f *regression) slope() float64 {
	slope := f.sumXY / (f.sumXX + f.priorWeight*priorVariance)
	return min(max(slope, -maxSlopeChange), maxSlopeChange)
}

// maxSlopeDeviations is how many standard deviations of x from the mean the slope
// applies to. A few absurd estimates would otherwise determine the slope.
const maxSlopeDeviations = 3

// nearMean returns x, moved to within maxSlopeDeviations of the mean.
func (f *regression) nearMean(x float64) float64 {
	if f.weight == 0 {
		return x
	}
	variance := (f.sumXX + f.priorWeight*priorVariance) / (f.weight + f.priorWeight)
	limit := maxSlopeDeviations * math.Sqrt(variance)
	return min(max(x, f.meanX-limit), f.meanX+limit)
}

// logRatio returns the expected value at x. It is zero without samples.
func (f *regression) logRatio(x float64) float64 {
	return f.offset() + f.slope()*(f.nearMean(x)-f.meanX)
}

const (
	// clipDeviations is how many standard deviations a value may deviate before it is
	// clipped. With 2, the variance of normally distributed values is measured 10 %
	// too low.
	clipDeviations = 2
	// varianceWeight is the weight of one value in the variance.
	varianceWeight = 1.0 / 64
	// initialResidualVariance is that of the logarithm of run time over the callers'
	// estimates as measured (a standard deviation of 0.45).
	initialResidualVariance = 0.2
	// initialRunTimeVariance is that of the logarithms of run times of one route.
	initialRunTimeVariance = 0.5
	// minVariance lets a route of constant run times follow a change, and maxVariance
	// bounds the influence of one sample.
	minVariance = 0.01
	maxVariance = 1
)

// movingVariance is the exponentially weighted variance of deviations.
type movingVariance struct{ variance float64 }

func (s *movingVariance) deviation() float64 { return math.Sqrt(s.variance) }

// clip adds a deviation to the variance and returns it, clipped. After a change,
// when most deviations are clipped, the variance and with it the limit grows.
func (s *movingVariance) clip(deviation float64) float64 {
	limit := clipDeviations * s.deviation()
	clipped := min(max(deviation, -limit), limit)
	s.variance += varianceWeight * (clipped*clipped - s.variance)
	s.variance = min(max(s.variance, minVariance), maxVariance)
	return clipped
}
