package placement

import (
	"math"
	"slices"
)

const (
	// slowSpeedRatio is the fraction of the median speed below which an endpoint is
	// used only after the faster ones, and the fraction of its usual speed below
	// which an endpoint is judged by its present speed.
	slowSpeedRatio = 0.6
	// nearlyEqualSpeed is the factor within which speeds count as equal: learned
	// speeds of equal endpoints differ by some percent.
	nearlyEqualSpeed = 1.25
	// usualSpeed is the factor around the median within which an endpoint counts
	// as one of median speed. It is less than nearlyEqualSpeed, so that an endpoint
	// just outside of it is still nearly equal to the median.
	usualSpeed = 1.2
	// slowestTask is the run time of a job's slowest task over that of its median
	// task, in most jobs.
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
	if rated > 0 && measured >= slowSpeedRatio*rated {
		speed = rated
	}
	if math.IsNaN(speed) {
		return 1
	}
	return max(minSpeed, min(speed, maxSpeed))
}

// comparedSpeed holds the speeds of an endpoint by which it is compared to others.
type comparedSpeed struct {
	// relative is the speed relative to the median of the service. grouped is the
	// same, but 1 near the median, and absolute is grouped relative to the estimates.
	relative, grouped, absolute float64
}

func newComparedSpeed(speed, median float64) comparedSpeed {
	relative := speed / median
	grouped := 1.0
	if relative < 1/usualSpeed || relative > usualSpeed {
		grouped = max(relative, minSpeed)
	}
	return comparedSpeed{relative: relative, grouped: grouped, absolute: grouped * median}
}

// speeds returns the endpoint's speeds, with a median of 1 before SetMedianSpeeds.
func (e *Endpoint) speeds() *comparedSpeed {
	if e.compared.absolute == 0 {
		e.compared = newComparedSpeed(e.Speed, 1)
	}
	return &e.compared
}

// SetMedianSpeeds sets what the endpoints' speeds are compared to: the median of each
// service. With it, placement compares the endpoints of a fleet whose run times are
// all longer, or all shorter, than estimated.
func SetMedianSpeeds(endpoints []Endpoint) {
	var buffer [inlineEndpoints]float64
	for i := range endpoints {
		endpoints[i].compared = comparedSpeed{}
	}
	for i := range endpoints {
		if endpoints[i].compared.absolute > 0 {
			continue
		}
		service := endpoints[i].Service
		speeds := buffer[:0]
		for k := i; k < len(endpoints); k++ {
			if endpoints[k].Service == service {
				speeds = append(speeds, endpoints[k].Speed)
			}
		}
		slices.Sort(speeds)
		median := max(minSpeed, speeds[len(speeds)/2])
		for k := i; k < len(endpoints); k++ {
			if e := &endpoints[k]; e.Service == service {
				e.compared = newComparedSpeed(e.Speed, median)
			}
		}
	}
}

// neededSpeed returns the speed below which an endpoint's tasks take so long that the
// job misses its objective.
func (r *Request) neededSpeed() float64 {
	if r.Estimate <= 0 {
		return 0
	}
	available := float64(r.Estimate) + float64(r.Slack)
	if available <= 0 {
		return math.Inf(1)
	}
	return slowestTask * float64(r.Estimate) / available
}

// inlineEndpoints is the number of endpoints up to which a decision allocates no
// memory for its working set.
const inlineEndpoints = 96

// queue is the queue of an endpoint's runner.
type queue struct {
	index, class int
	// wait is the time until a further task starts there, in units of the mean
	// duration of tasks, and waitPerTask what a task adds to it.
	wait, waitPerTask float64
	// headroom is the CPU for which further tasks may be queued.
	headroom float64
}

// assignToQueues adds the tasks to the queues of runners where they start first, in
// queues at which the job meets its objective if there are any. Tasks are not queued
// at probed or avoided endpoints, nor if the request has a bound of tasks per endpoint.
func assignToQueues(r *Request, endpoints []Endpoint, assignments []Assignment) []Assignment {
	if r.MaxPerEndpoint > 0 {
		return assignments
	}
	var buffer [inlineEndpoints]queue
	queues := r.appendQueues(buffer[:0], endpoints)
	for n := r.Count; n > 0 && len(queues) > 0; n-- {
		i := firstToStart(queues)
		best := &queues[i]
		endpoints[best.index].Reserve(r.Resources)
		assignments = addQueued(assignments, best.index)
		best.wait += best.waitPerTask
		if best.headroom -= float64(r.Resources.MilliCPU); best.headroom <= 0 {
			queues = slices.Delete(queues, i, i+1)
		}
	}
	return assignments
}

// firstToStart returns the index of the best queue.
func firstToStart(queues []queue) int {
	best, bestClass, bestWait := 0, queues[0].class, queues[0].wait
	for i := range queues {
		q := &queues[i]
		if q.class < bestClass || (q.class == bestClass && q.wait < bestWait) {
			best, bestClass, bestWait = i, q.class, q.wait
		}
	}
	return best
}

func (r *Request) appendQueues(queues []queue, endpoints []Endpoint) []queue {
	needed, need := r.neededSpeed(), float64(r.Resources.MilliCPU)
	for i := range endpoints {
		e := &endpoints[i]
		free := e.freeForQueued(r.Level)
		headroom := e.queueHeadroom(r.Level)
		if headroom <= 0 || !r.Resources.Fits(e.Capacity) {
			continue
		}
		if tier := r.tier(e); tier != tierPreferred && tier != tierSlow {
			continue
		}
		speeds := e.speeds()
		perMilliCPU := 1 / (float64(e.Capacity.MilliCPU) * speeds.grouped)
		queues = append(queues, queue{
			index: i, class: class(tierPreferred, speeds.absolute < needed),
			wait: (need - free) * perMilliCPU, waitPerTask: need * perMilliCPU,
			headroom: headroom,
		})
	}
	return queues
}

// candidate is an endpoint that can take at least one task. Those of a lower class
// are used first, at any speed.
type candidate struct {
	index, fit, class int
	// likely is how many of the tasks probably find capacity there, at most fit.
	likely, speed float64
}

// class orders endpoints by tier, then by whether the job meets its objective there.
func class(tier int, misses bool) int {
	if misses {
		return 2*tier + 1
	}
	return 2 * tier
}

// pickBest returns the index of a random candidate among the best: those of the
// best class, of the speed that the job needs to end first, that probably take all of
// the tasks, or else the most.
func pickBest(candidates []candidate, count int, randIntN func(n int) int) int {
	best, fastest := candidates[0].class, 0.0
	for i := range candidates {
		c := &candidates[i]
		if c.class < best {
			best, fastest = c.class, 0
		}
		if c.class == best {
			fastest = max(fastest, c.speed)
		}
	}
	slowest := leastSpeed(candidates, best, fastest, count)
	most, equal, first, all := 0.0, 0, 0, float64(count)
	for i := range candidates {
		c := &candidates[i]
		if c.class != best || c.speed < slowest {
			continue
		}
		likely := c.likely
		if likely > all {
			likely = all
		}
		switch {
		case likely > most:
			most, equal, first = likely, 1, i
		case likely == most:
			equal++
		}
	}
	skip := randIntN(equal)
	if skip == 0 {
		return first
	}
	return slices.IndexFunc(candidates, func(c candidate) bool {
		if c.class != best || c.speed < slowest || min(c.likely, all) != most {
			return false
		}
		skip--
		return skip < 0
	})
}

// leastSpeed returns the least grouped speed of the endpoints of a class that a step
// uses, where fastest is the highest there is. A step ends when its slowest task ends,
// so this is the highest speed above which enough of the tasks fit: to put a part of
// them at still faster endpoints would spread the job without an earlier end.
func leastSpeed(candidates []candidate, class int, fastest float64, count int) float64 {
	for fastest > 0 {
		group := fastest / nearlyEqualSpeed
		fit := 0
		fastest = 0
		for i := range candidates {
			switch c := &candidates[i]; {
			case c.class != class:
			case c.speed >= group:
				fit += c.fit
			case c.speed > fastest:
				fastest = c.speed
			}
		}
		if fit >= spareFit*count {
			return group
		}
	}
	return 0
}
