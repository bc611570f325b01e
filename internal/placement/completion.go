package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// slowThreshold is the fraction of the median speed below which an endpoint is
	// used only after the faster ones, and the fraction of its usual speed below
	// which an endpoint is judged by its present speed.
	slowThreshold = 0.6
	// nearlyEqualSpeed is the factor within which speeds count as equal: learned
	// speeds of equal endpoints differ by some percent.
	nearlyEqualSpeed = 1.25
	// usualSpeed is the factor around the median within which an endpoint counts
	// as one of median speed. It is less than nearlyEqualSpeed, so that an endpoint
	// just outside of it is still nearly equal to the median.
	usualSpeed = 1.2
	// slowestTask is the run time of a job's slowest task over that of its median
	// task, as measured: 1.2 in nine of ten jobs, 1.5 in the others.
	slowestTask = 1.2
	// spareFit is how many like jobs must fit at faster endpoints, at each at most
	// one, before slower ones are left out although the job meets its objective there.
	// Up to twelve dispatchers with old views use the same endpoints: without a place
	// for each of them, more starts are refused.
	spareFit = 12
	// minSpeed and maxSpeed bound the speeds that are assumed, so that run times
	// are finite.
	minSpeed, maxSpeed = 0.01, 100
)

// EffectiveSpeed returns the speed by which an endpoint is judged: the rated one,
// which is its usual speed, unless it is unknown (zero) or the endpoint has
// become slow, as the measured speed shows.
func EffectiveSpeed(rated, measured float64) float64 {
	speed := measured
	if rated > 0 && measured >= slowThreshold*rated {
		speed = rated
	}
	if math.IsNaN(speed) {
		return 1
	}
	return max(minSpeed, min(speed, maxSpeed))
}

// SetMedianSpeeds sets the median speed of each endpoint's service. With it,
// placement compares the endpoints of a fleet whose run times are all longer, or
// all shorter, than estimated.
func SetMedianSpeeds(endpoints []Endpoint) {
	speeds := make([]float64, 0, len(endpoints))
	for i := range endpoints {
		if endpoints[i].MedianSpeed > 0 {
			continue
		}
		speeds = speeds[:0]
		for k := range endpoints[i:] {
			if e := &endpoints[i+k]; e.Service == endpoints[i].Service {
				speeds = append(speeds, e.Speed)
			}
		}
		slices.Sort(speeds)
		median := max(minSpeed, speeds[len(speeds)/2])
		for k := range endpoints[i:] {
			if e := &endpoints[i+k]; e.Service == endpoints[i].Service {
				e.MedianSpeed = median
			}
		}
	}
}

// relativeSpeed returns the speed relative to the median of the service.
func (e *Endpoint) relativeSpeed() float64 {
	if e.MedianSpeed <= 0 {
		return e.Speed
	}
	return e.Speed / e.MedianSpeed
}

// comparedSpeed returns the speed relative to the median by which endpoints are
// compared: 1 for all that are near the median.
func (e *Endpoint) comparedSpeed() float64 {
	if s := e.relativeSpeed(); s < 1/usualSpeed || s > usualSpeed {
		return max(s, minSpeed)
	}
	return 1
}

// misses reports whether the job would miss its objective at the endpoint, because
// the tasks take longer there than estimated.
func (r *Request) misses(e *Endpoint) bool {
	speed := e.comparedSpeed()
	if e.MedianSpeed > 0 {
		speed *= e.MedianSpeed
	}
	extra := slowestTask*float64(r.Estimate)/speed - float64(r.Estimate)
	return r.Estimate > 0 && time.Duration(extra) > r.Slack
}

// queueTime returns the time until one of the tasks would start at the endpoint's
// runner, in units of the mean duration of tasks.
func (r *Request) queueTime(e *Endpoint) float64 {
	queued := r.Resources.MilliCPU - e.Free.MilliCPU
	return float64(queued) / (float64(e.Capacity.MilliCPU) * e.comparedSpeed())
}

// shortestQueue returns the index of the eligible endpoint with queue headroom
// at which a task would start first, or -1 if there is none. Endpoints at which
// the job misses its objective come last. Tasks are not queued at probed or
// avoided endpoints, nor if the request has a bound of tasks per endpoint.
func (r *Request) shortestQueue(endpoints []Endpoint) int {
	best, bestMisses, bestTime := -1, false, 0.0
	if r.MaxPerEndpoint > 0 {
		return best
	}
	for i := range endpoints {
		e := &endpoints[i]
		tier := r.tier(e)
		if tier > tierSlow || tier == tierProbe || !r.Resources.Fits(e.Capacity) || e.queueHeadroom() <= 0 {
			continue
		}
		misses, queueTime := r.misses(e), r.queueTime(e)
		if best < 0 || (bestMisses && !misses) || (misses == bestMisses && queueTime < bestTime) {
			best, bestMisses, bestTime = i, misses, queueTime
		}
	}
	return best
}

// candidate is an endpoint that can take at least one task.
type candidate struct {
	index, fit, tier int
	misses           bool
	speed            float64
}

// before reports whether the candidate is used before another one at any speed.
func (c *candidate) before(other *candidate) bool {
	if c.tier != other.tier {
		return c.tier < other.tier
	}
	return !c.misses && other.misses
}

// ties reports whether only speed and fit distinguish the candidates.
func (c *candidate) ties(other *candidate) bool {
	return c.tier == other.tier && c.misses == other.misses
}

// pickBest returns the index of a random candidate among the best: those of the
// best tier at which the job meets its objective, of the speed that the job needs
// to end first, that take all of the tasks, or else the most.
func pickBest(candidates []candidate, count int, randIntN func(n int) int) int {
	best := candidates[0]
	for i := range candidates {
		if candidates[i].before(&best) {
			best = candidates[i]
		}
	}
	slowest := leastSpeed(candidates, best, count)
	most, equal := 0, 0
	for i := range candidates {
		c := &candidates[i]
		if !c.ties(&best) || c.speed < slowest {
			continue
		}
		switch fit := min(c.fit, count); {
		case fit > most:
			most, equal = fit, 1
		case fit == most:
			equal++
		}
	}
	skip := randIntN(equal)
	for i := range candidates {
		c := &candidates[i]
		if !c.ties(&best) || c.speed < slowest || min(c.fit, count) != most {
			continue
		}
		if skip == 0 {
			return i
		}
		skip--
	}
	return 0
}

// leastSpeed returns the least compared speed of the endpoints that a step uses,
// from those that tie in all but speed. A step ends when its slowest task ends, so
// this is the highest speed above which enough of the tasks fit: to put a part of
// them at still faster endpoints would spread the job without an earlier end.
func leastSpeed(candidates []candidate, best candidate, count int) float64 {
	group := math.Inf(1)
	for {
		fastest, fit := 0.0, 0
		for i := range candidates {
			if c := &candidates[i]; c.ties(&best) && c.speed < group {
				fastest = max(fastest, c.speed)
			}
		}
		if fastest == 0 {
			return 0
		}
		group = fastest / nearlyEqualSpeed
		for i := range candidates {
			if c := &candidates[i]; c.ties(&best) && c.speed >= group {
				fit += c.fit
			}
		}
		if fit >= spareFit*count {
			return group
		}
	}
}
