// Package placement decides which job's tasks start next, and at which
// endpoints. It does no I/O and reads no clock; the caller passes the time.
package placement

import (
	"slices"
	"time"

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
	// Speed is the endpoint's speed relative to the task estimates; 1 means
	// that tasks take as long as estimated.
	Speed float64
	// MedianSpeed is the median speed of the endpoints of the service; zero counts
	// as 1.
	MedianSpeed float64
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

// queueHeadroom returns the fraction of the capacity for which further tasks
// may be queued at the runner.
func (e *Endpoint) queueHeadroom() float64 {
	if e.Capacity.MilliCPU <= 0 {
		return 0
	}
	return maxQueueFraction + float64(e.Free.MilliCPU)/float64(e.Capacity.MilliCPU)
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
	// Estimate is the expected run time of each task at speed 1, zero if it is
	// unknown. Slack is how long the job can still wait and meet its objective at
	// speed 1.
	Estimate time.Duration
	Slack    time.Duration
	// Area bounds the endpoints by their Containment.
	Area Area
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

func (r *Request) tier(e *Endpoint) int {
	switch {
	case e.Service != r.Service, !r.Area.Includes(e), r.RequiredLabel != "" && !slices.Contains(e.Labels, r.RequiredLabel):
		return tierIneligible
	case r.Avoid[e.Name]:
		return tierAvoided
	case !e.Healthy:
		return tierProbe
	case e.relativeSpeed() < slowThreshold:
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
	candidates := make([]candidate, 0, len(endpoints))
	for i := range endpoints {
		e := &endpoints[i]
		tier := r.tier(e)
		fit := r.FitCount(e)
		if tier == tierProbe {
			fit = min(fit, maxProbeTasks)
		}
		if tier < tierIneligible && fit > 0 {
			candidates = append(candidates, candidate{index: i, fit: fit, tier: tier, misses: r.misses(e), speed: e.comparedSpeed()})
		}
	}
	return candidates
}
