// Package place decides which job's task starts next and at which endpoint.
// It has no input, output or clock: instants come from the caller.
package placement

import (
	"cmp"
	"slices"

	"github.com/pomelosill/pomelosill/internal/workload"
)

// Endpoint is what a dispatcher knows of one endpoint.
type Endpoint struct {
	Name    string
	Service string
	Labels  []string
	// Free is the room that is left, as far as the dispatcher knows.
	Free     workload.Resources
	Capacity workload.Resources
	// Speed is how fast it works against the estimates.
	Speed float64
	// Healthy is false for an endpoint that has to prove itself first.
	Healthy bool
}

// maxQueueFraction is the part of an endpoint's capacity for which orders may wait
// at its runner: what ends there makes room for them at once, and the runner
// knows the urgency of all dispatchers' orders.
const maxQueueFraction = 0.5

// Reserve reserves room.
func (e *Endpoint) Reserve(r workload.Resources) { e.Free = e.Free.Minus(r) }

// queueHeadroom is the share of the capacity that is left for waiting orders.
func (e *Endpoint) queueHeadroom() float64 {
	if e.Capacity.MilliCPU <= 0 {
		return 0
	}
	return maxQueueFraction + float64(e.Free.MilliCPU)/float64(e.Capacity.MilliCPU)
}

// Request is a group of equal tasks that look for room.
type Request struct {
	Service       string
	Resources     workload.Resources
	Count         int
	RequiredLabel string
	// MaxPerEndpoint bounds the step's tasks on one endpoint; zero is no
	// bound. Present counts those that are there already.
	MaxPerEndpoint   int
	PlacedByEndpoint map[string]int
	// Avoid are endpoints that failed the job before; they come last.
	Avoid map[string]bool
}

// Assignment is a number of tasks for one endpoint, which is Endpoints[At].
type Assignment struct {
	EndpointIndex int
	Count         int
}

// tiers of endpoints, the best first.
const (
	tierPreferred = iota
	tierProbe
	tierSlow
	tierAvoided
	tierIneligible
)

// slowThreshold is the speed below which an endpoint comes after the others.
const slowThreshold = 0.6

func (w *Request) tier(e *Endpoint) int {
	switch {
	case e.Service != w.Service, w.RequiredLabel != "" && !slices.Contains(e.Labels, w.RequiredLabel):
		return tierIneligible
	case w.Avoid[e.Name]:
		return tierAvoided
	case !e.Healthy:
		return tierProbe
	case e.Speed < slowThreshold:
		return tierSlow
	}
	return tierPreferred
}

// FitCount is how many of the tasks fit at the endpoint now.
func (w *Request) FitCount(e *Endpoint) int {
	n := w.Count
	if w.MaxPerEndpoint > 0 {
		n = min(n, w.MaxPerEndpoint-w.PlacedByEndpoint[e.Name])
	}
	for _, r := range [][2]int64{
		{w.Resources.MilliCPU, e.Free.MilliCPU}, {w.Resources.MemoryMB, e.Free.MemoryMB}, {w.Resources.GPUs, e.Free.GPUs},
	} {
		if r[0] > 0 {
			n = min(n, int(r[1]/r[0]))
		}
	}
	return max(n, 0)
}

// CanEverFit tells whether one task would fit at the endpoint if it were empty.
func (w *Request) CanEverFit(e *Endpoint) bool {
	return w.tier(e) < tierIneligible && w.Resources.Fits(e.Capacity)
}

// maxProbeTasks is how many tasks an endpoint gets that has to prove itself.
const maxProbeTasks = 1

// Assign picks endpoints for as many of the tasks as fit now, and lets the
// others wait at runners. shuffle gives a random number below its argument.
// It reserves the room in endpoints.
func Assign(w *Request, endpoints []Endpoint, shuffle func(n int) int) []Assignment {
	rest := *w
	picks := assignToFree(&rest, endpoints, shuffle)
	for _, p := range picks {
		rest.Count -= p.Count
		endpoints[p.EndpointIndex].Reserve(w.Resources.Times(p.Count))
	}
	for rest.Count > 0 {
		at := rest.shortestQueue(endpoints)
		if at < 0 {
			break
		}
		rest.Count--
		endpoints[at].Reserve(w.Resources)
		picks = addTask(picks, at)
	}
	return picks
}

// addTask adds one task to the picks.
func addTask(picks []Assignment, at int) []Assignment {
	for i := range picks {
		if picks[i].EndpointIndex == at {
			picks[i].Count++
			return picks
		}
	}
	return append(picks, Assignment{EndpointIndex: at, Count: 1})
}

// shortestQueue is the endpoint with the most room for waiting orders, -1 if
// there is none.
func (w *Request) shortestQueue(endpoints []Endpoint) int {
	best := -1
	for i := range endpoints {
		e := &endpoints[i]
		if w.tier(e) > tierSlow || w.tier(e) == tierProbe || !w.Resources.Fits(e.Capacity) || w.MaxPerEndpoint > 0 {
			continue
		}
		if e.queueHeadroom() > 0 && (best < 0 || e.queueHeadroom() > endpoints[best].queueHeadroom()) {
			best = i
		}
	}
	return best
}

// candidate is an endpoint that could take tasks.
type candidate struct{ index, fit, tier int }

// assignToFree fills the endpoints one after the other. The tasks of a job stay
// together: each endpoint that fails takes a whole job with it, so the fewer
// endpoints a job needs, the fewer jobs fail. Among equals the choice is
// random, as other dispatchers choose at the same moment.
func assignToFree(w *Request, endpoints []Endpoint, shuffle func(n int) int) []Assignment {
	options := w.candidates(endpoints)
	left := w.Count
	var picks []Assignment
	for left > 0 && len(options) > 0 {
		i := pickBest(options, left, shuffle)
		o := options[i]
		n := min(left, o.fit)
		picks = append(picks, Assignment{EndpointIndex: o.index, Count: n})
		left -= n
		options = slices.Delete(options, i, i+1)
	}
	return picks
}

func (w *Request) candidates(endpoints []Endpoint) []candidate {
	var options []candidate
	for i := range endpoints {
		e := &endpoints[i]
		tier := w.tier(e)
		fit := w.FitCount(e)
		if tier == tierProbe {
			fit = min(fit, maxProbeTasks)
		}
		if tier < tierIneligible && fit > 0 {
			options = append(options, candidate{index: i, fit: fit, tier: tier})
		}
	}
	return options
}

// pickBest picks one of the options of the best tier: any that takes all of the
// tasks, else the one that takes most.
func pickBest(options []candidate, count int, shuffle func(n int) int) int {
	var equal []int
	for i, o := range options {
		switch c := compareCandidates(o, options[firstOr(equal, i)], count); {
		case c < 0:
			equal = []int{i}
		case c == 0:
			equal = append(equal, i)
		}
	}
	return equal[shuffle(len(equal))]
}

func firstOr(of []int, otherwise int) int {
	if len(of) == 0 {
		return otherwise
	}
	return of[0]
}

func compareCandidates(a, b candidate, count int) int {
	return cmp.Or(
		cmp.Compare(a.tier, b.tier),
		-cmp.Compare(min(a.fit, count), min(b.fit, count)),
	)
}
