// Package placement decides which job's tasks start next, and at which
// endpoints. It does no I/O and reads no clock; the caller passes the time.
package placement

import (
	"cmp"
	"slices"

	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/workload"
)

// Endpoint is a dispatcher's view of one endpoint.
type Endpoint struct {
	Name    string
	Service string
	Labels  []string
	// Free is the unused capacity, as far as the dispatcher knows. It is
	// negative while tasks are queued at the endpoint's runner.
	Free     workload.Resources
	Capacity workload.Resources
	// QueuedByLevel is the CPU of the tasks queued at the endpoint's runner, in
	// thousandths of a core by priority level. Free includes it.
	QueuedByLevel [policy.MaxLevels]int64
	// Speed is the endpoint's speed relative to the task estimates; 1 means
	// that tasks take as long as estimated.
	Speed float64
	// Healthy is false for an endpoint that gets probe tasks only.
	Healthy bool
	// Rank orders the endpoints alike at all dispatchers, and has nothing to do
	// with where they are.
	Rank uint64
	// Containment is set for the endpoints that contained jobs use.
	Containment bool
	// HasContained is set while a contained job runs or waits there.
	HasContained bool
}

// maxQueueFraction bounds the tasks queued at an endpoint's runner, as a
// fraction of the endpoint's capacity. The runner can start a queued task as
// soon as another one ends, and it knows the urgency of all dispatchers' tasks.
const maxQueueFraction = 0.5

// Reserve subtracts resources from the free capacity.
func (e *Endpoint) Reserve(resources workload.Resources) { e.Free = e.Free.Minus(resources) }

// queueHeadroom returns the fraction of the capacity for which further tasks of a
// priority level may be queued at the runner. Queued tasks of lower levels don't
// count, because the runner starts them later: otherwise a flood of a lower level
// fills the queues, and tasks wait at dispatchers, which learn of each place that
// becomes free with a delay.
func (e *Endpoint) queueHeadroom(level int) float64 {
	if e.Capacity.MilliCPU <= 0 {
		return 0
	}
	free := e.Free.MilliCPU
	for _, queued := range e.QueuedByLevel[level+1:] {
		free += queued
	}
	return maxQueueFraction + float64(free)/float64(e.Capacity.MilliCPU)
}

// Request asks for the placement of a group of equal tasks of one step.
type Request struct {
	Service       string
	Resources     workload.Resources
	Count         int
	RequiredLabel string
	// MaxPerEndpoint bounds the step's tasks on one endpoint; zero means no
	// bound. PlacedByEndpoint counts the step's tasks that are already placed.
	MaxPerEndpoint   int
	PlacedByEndpoint map[string]int
	// Avoid holds endpoints on which the job has failed before; they are used
	// last.
	Avoid map[string]bool
	// Area bounds the endpoints by their Containment.
	Area Area
	// Level is the priority level of the job's route; 0 comes first.
	Level int
}

// Assignment assigns Count tasks to the endpoint with index EndpointIndex in
// the slice passed to Assign.
type Assignment struct {
	EndpointIndex int
	Count         int
	// Queued is set if the endpoint has no free capacity for the tasks, so that
	// they are to wait at its runner.
	Queued bool
}

// Tiers of endpoints, the best first.
const (
	tierPreferred = iota
	tierProbe
	tierSlow
	tierAvoided
	tierIneligible
)

// slowThreshold is the speed below which an endpoint is used only after the
// faster ones.
const slowThreshold = 0.6

func (r *Request) tier(e *Endpoint) int {
	switch {
	case e.Service != r.Service, !r.Area.Includes(e), r.RequiredLabel != "" && !slices.Contains(e.Labels, r.RequiredLabel):
		return tierIneligible
	case r.Avoid[e.Name]:
		return tierAvoided
	case !e.Healthy:
		return tierProbe
	case e.Speed < slowThreshold:
		return tierSlow
	}
	return tierPreferred
}

// FitCount returns how many of the tasks fit at the endpoint now.
func (r *Request) FitCount(e *Endpoint) int {
	if r.Area == Inside && e.HasContained {
		return 0
	}
	n := r.Count
	if r.MaxPerEndpoint > 0 {
		n = min(n, r.MaxPerEndpoint-r.PlacedByEndpoint[e.Name])
	}
	for _, p := range [][2]int64{
		{r.Resources.MilliCPU, e.Free.MilliCPU}, {r.Resources.MemoryMB, e.Free.MemoryMB}, {r.Resources.GPUs, e.Free.GPUs},
	} {
		if p[0] > 0 {
			n = min(n, int(p[1]/p[0]))
		}
	}
	return max(n, 0)
}

// CanEverFit reports whether one task would fit at the endpoint if it were
// empty.
func (r *Request) CanEverFit(e *Endpoint) bool {
	return r.tier(e) < tierIneligible && r.Resources.Fits(e.Capacity)
}

// maxProbeTasks bounds the tasks that one request assigns to an unhealthy
// endpoint.
const maxProbeTasks = 1

// Assign assigns as many of the tasks as fit to endpoints with free capacity,
// and the others to endpoints whose runner's queue has space. It reserves the
// assigned capacity in endpoints. randIntN returns a random number that is at
// least 0 and less than n.
func Assign(r *Request, endpoints []Endpoint, randIntN func(n int) int) []Assignment {
	if !r.anySpace(endpoints) {
		return nil
	}
	remaining := *r
	assignments := assignToFree(&remaining, endpoints, randIntN)
	for _, a := range assignments {
		remaining.Count -= a.Count
		endpoints[a.EndpointIndex].Reserve(r.Resources.Times(a.Count))
	}
	for remaining.Count > 0 {
		index := remaining.shortestQueue(endpoints)
		if index < 0 {
			break
		}
		remaining.Count--
		endpoints[index].Reserve(r.Resources)
		assignments = addQueued(assignments, index)
	}
	return assignments
}

// anySpace reports whether any endpoint may have space for a task. It is a fast check
// for the many jobs that wait under overload. Tasks that need no CPU may always have.
func (r *Request) anySpace(endpoints []Endpoint) bool {
	if r.Resources.MilliCPU <= 0 {
		return true
	}
	for i := range endpoints {
		if endpoints[i].Free.MilliCPU > 0 || endpoints[i].queueHeadroom(r.Level) > 0 {
			return true
		}
	}
	return false
}

// addQueued adds one task to those that are to wait at the endpoint's runner.
func addQueued(assignments []Assignment, index int) []Assignment {
	for i := range assignments {
		if assignments[i].EndpointIndex == index && assignments[i].Queued {
			assignments[i].Count++
			return assignments
		}
	}
	return append(assignments, Assignment{EndpointIndex: index, Count: 1, Queued: true})
}

// shortestQueue returns the index of the eligible endpoint with the most queue
// headroom, or -1 if there is none. Tasks are not queued at probed or avoided
// endpoints, nor if the request has a bound of tasks per endpoint.
func (r *Request) shortestQueue(endpoints []Endpoint) int {
	best := -1
	for i := range endpoints {
		e := &endpoints[i]
		if r.tier(e) > tierSlow || r.tier(e) == tierProbe || !r.Resources.Fits(e.Capacity) || r.MaxPerEndpoint > 0 {
			continue
		}
		if e.queueHeadroom(r.Level) > 0 && (best < 0 || e.queueHeadroom(r.Level) > endpoints[best].queueHeadroom(r.Level)) {
			best = i
		}
	}
	return best
}

// candidate is an endpoint that can take at least one task.
type candidate struct{ index, fit, tier int }

// assignToFree fills endpoints one after the other, so that the tasks of a job
// share few endpoints: a failing endpoint fails every job with a task there, so
// jobs that use fewer endpoints fail less often. The choice between equal
// endpoints is random because other dispatchers choose at the same time.
func assignToFree(r *Request, endpoints []Endpoint, randIntN func(n int) int) []Assignment {
	candidates := r.candidates(endpoints)
	remaining := r.Count
	var assignments []Assignment
	for remaining > 0 && len(candidates) > 0 {
		i := pickBest(candidates, remaining, randIntN)
		c := candidates[i]
		n := min(remaining, c.fit)
		assignments = append(assignments, Assignment{EndpointIndex: c.index, Count: n})
		remaining -= n
		candidates = slices.Delete(candidates, i, i+1)
	}
	return assignments
}

func (r *Request) candidates(endpoints []Endpoint) []candidate {
	var candidates []candidate
	for i := range endpoints {
		e := &endpoints[i]
		tier := r.tier(e)
		fit := r.FitCount(e)
		if tier == tierProbe {
			fit = min(fit, maxProbeTasks)
		}
		if tier < tierIneligible && fit > 0 {
			candidates = append(candidates, candidate{index: i, fit: fit, tier: tier})
		}
	}
	return candidates
}

// pickBest returns the index of a random candidate among the best: those of the
// best tier that take all of the tasks, or else the most.
func pickBest(candidates []candidate, count int, randIntN func(n int) int) int {
	var best []int
	for i, c := range candidates {
		switch order := compareCandidates(c, candidates[firstOr(best, i)], count); {
		case order < 0:
			best = []int{i}
		case order == 0:
			best = append(best, i)
		}
	}
	return best[randIntN(len(best))]
}

func firstOr(s []int, fallback int) int {
	if len(s) == 0 {
		return fallback
	}
	return s[0]
}

func compareCandidates(a, b candidate, count int) int {
	return cmp.Or(
		cmp.Compare(a.tier, b.tier),
		-cmp.Compare(min(a.fit, count), min(b.fit, count)),
	)
}
