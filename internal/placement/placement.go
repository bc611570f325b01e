// Package placement decides which job's tasks start next, and at which
// endpoints. It does no I/O and reads no clock; the caller passes the time.
package placement

import (
	"slices"
	"time"

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
	// ViewAge is how long ago the runner last confirmed Free.
	ViewAge time.Duration
	// taken is the fraction of Free that others have probably taken since; see
	// SetTakenByOthers.
	taken float64
	// compared holds the speeds by which endpoints are compared; see
	// SetMedianSpeeds.
	compared comparedSpeed
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

// queueHeadroom returns the CPU, in thousandths of a core, for which further tasks of a
// priority level may be queued at the runner.
func (e *Endpoint) queueHeadroom(level int) float64 {
	return maxQueueFraction*float64(e.Capacity.MilliCPU) + e.freeForQueued(level)
}

// freeForQueued returns the free CPU in thousandths of a core as seen by queued tasks
// of a priority level. Queued tasks of lower levels don't count, because the runner
// starts them later: otherwise a flood of a lower level fills the queues, and tasks
// wait at dispatchers, which learn of each place that becomes free with a delay.
func (e *Endpoint) freeForQueued(level int) float64 {
	free := e.Free.MilliCPU
	for _, queued := range e.QueuedByLevel[level+1:] {
		free += queued
	}
	return float64(free)
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
	// Level is the priority level of the job's route; 0 comes first.
	Level int
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
	case len(r.Avoid) > 0 && r.Avoid[e.Name]:
		return tierAvoided
	case !e.Healthy:
		return tierProbe
	case e.speeds().relative < slowSpeedRatio:
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
	n = boundByFree(n, r.Resources.MilliCPU, e.Free.MilliCPU)
	n = boundByFree(n, r.Resources.MemoryMB, e.Free.MemoryMB)
	n = boundByFree(n, r.Resources.GPUs, e.Free.GPUs)
	return max(n, 0)
}

// boundByFree returns n, or how many tasks fit if each needs an amount of what is
// free and fewer fit.
func boundByFree(n int, need, free int64) int {
	switch {
	case need <= 0:
		return n
	case need > free:
		return 0
	case need*int64(n) <= free:
		return n
	}
	return int(free / need)
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
	if remaining.Count > 0 {
		assignments = assignToQueues(&remaining, endpoints, assignments)
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

// assignToFree fills endpoints one after the other, so that the tasks of a job
// share few endpoints: a failing endpoint fails every job with a task there, so
// jobs that use fewer endpoints fail less often. The choice between equal
// endpoints is random because other dispatchers choose at the same time.
func assignToFree(r *Request, endpoints []Endpoint, randIntN func(n int) int) []Assignment {
	var buffer [inlineEndpoints]candidate
	candidates := r.appendCandidates(buffer[:0], endpoints)
	remaining := r.Count
	var assignments []Assignment
	for len(candidates) > 0 {
		i := pickBest(candidates, remaining, randIntN)
		c := candidates[i]
		n := min(remaining, max(1, int(c.likely+0.5)))
		assignments = append(assignments, Assignment{EndpointIndex: c.index, Count: n})
		if remaining -= n; remaining <= 0 {
			break
		}
		candidates = slices.Delete(candidates, i, i+1)
	}
	return assignments
}

func (r *Request) appendCandidates(candidates []candidate, endpoints []Endpoint) []candidate {
	needed := r.neededSpeed()
	for i := range endpoints {
		e := &endpoints[i]
		if e.Free.MilliCPU < r.Resources.MilliCPU {
			continue
		}
		fit := r.FitCount(e)
		if fit == 0 {
			continue
		}
		tier := r.tier(e)
		if tier == tierProbe {
			fit = min(fit, maxProbeTasks)
		}
		if tier < tierIneligible {
			speeds, likely := e.speeds(), float64(fit)
			if e.taken > 0 {
				likely = r.likelyFit(e, likely)
			}
			candidates = append(candidates, candidate{index: i, fit: fit, likely: likely, class: class(tier, speeds.absolute < needed), speed: speeds.grouped})
		}
	}
	return candidates
}
