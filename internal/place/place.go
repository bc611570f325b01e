// Package place decides which job's task starts next and at which endpoint.
// It has no input, output or clock: instants come from the caller.
package place

import (
	"cmp"
	"slices"

	"github.com/pomelosill/pomelosill/internal/work"
)

// Endpoint is what a dispatcher knows of one endpoint.
type Endpoint struct {
	Name    string
	Service string
	Domain  string
	Labels  []string
	// Free is the room that is left, as far as the dispatcher knows.
	Free     work.Resources
	Capacity work.Resources
	// Speed is how fast it works against the estimates.
	Speed float64
	// Healthy is false for an endpoint that has to prove itself first.
	Healthy bool
}

// Wish is a group of equal tasks that look for room.
type Wish struct {
	Service string
	Need    work.Resources
	Count   int
	Label   string
	// MaxPerEndpoint bounds the step's tasks on one endpoint; zero is no
	// bound. Present counts those that are there already.
	MaxPerEndpoint int
	Present        map[string]int
	// Avoid are endpoints that failed the job before; they come last.
	Avoid map[string]bool
}

// Pick is a number of tasks for one endpoint, which is Endpoints[At].
type Pick struct {
	At    int
	Count int
}

// tiers of endpoints, the best first.
const (
	tierGood = iota
	tierTrial
	tierSlow
	tierAvoided
	tierNone
)

// slowSpeed is the speed below which an endpoint comes after the others.
const slowSpeed = 0.6

func (w *Wish) tier(e *Endpoint) int {
	switch {
	case e.Service != w.Service, w.Label != "" && !slices.Contains(e.Labels, w.Label):
		return tierNone
	case w.Avoid[e.Name]:
		return tierAvoided
	case !e.Healthy:
		return tierTrial
	case e.Speed < slowSpeed:
		return tierSlow
	}
	return tierGood
}

// Fit is how many of the tasks fit at the endpoint now.
func (w *Wish) Fit(e *Endpoint) int {
	n := w.Count
	if w.MaxPerEndpoint > 0 {
		n = min(n, w.MaxPerEndpoint-w.Present[e.Name])
	}
	for _, r := range [][2]int64{
		{w.Need.CPU, e.Free.CPU}, {w.Need.MemoryMB, e.Free.MemoryMB}, {w.Need.GPUs, e.Free.GPUs},
	} {
		if r[0] > 0 {
			n = min(n, int(r[1]/r[0]))
		}
	}
	return max(n, 0)
}

// Possible tells whether one task would fit at the endpoint if it were empty.
func (w *Wish) Possible(e *Endpoint) bool {
	return w.tier(e) < tierNone && w.Need.Fits(e.Capacity)
}

// trialTasks is how many tasks an endpoint gets that has to prove itself.
const trialTasks = 1

// Choose picks endpoints for as many of the tasks as fit. The tasks of a job
// stay together: each endpoint that fails takes a whole job with it, so the
// fewer endpoints a job needs, the fewer jobs fail.
func Choose(w *Wish, endpoints []Endpoint) []Pick {
	type option struct{ at, fit, tier int }
	var options []option
	for i := range endpoints {
		e := &endpoints[i]
		tier := w.tier(e)
		fit := w.Fit(e)
		if tier == tierTrial {
			fit = min(fit, trialTasks)
		}
		if tier < tierNone && fit > 0 {
			options = append(options, option{at: i, fit: fit, tier: tier})
		}
	}
	slices.SortStableFunc(options, func(a, b option) int {
		ea, eb := &endpoints[a.at], &endpoints[b.at]
		return cmp.Or(
			cmp.Compare(a.tier, b.tier),
			-cmp.Compare(a.fit, b.fit),
			-cmp.Compare(ea.Free.CPU, eb.Free.CPU),
		)
	})
	left := w.Count
	var picks []Pick
	for _, o := range options {
		if left == 0 {
			break
		}
		n := min(left, o.fit)
		picks = append(picks, Pick{At: o.at, Count: n})
		left -= n
	}
	return picks
}
