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
	Labels  []string
	// Free is the room that is left, as far as the dispatcher knows.
	Free     work.Resources
	Capacity work.Resources
	// Speed is how fast it works against the estimates.
	Speed float64
	// Healthy is false for an endpoint that has to prove itself first.
	Healthy bool
}

// queueShare is the part of an endpoint's capacity for which orders may wait
// at its runner: what ends there makes room for them at once, and the runner
// knows the urgency of all dispatchers' orders.
const queueShare = 0.5

// Take reserves room.
func (e *Endpoint) Take(r work.Resources) { e.Free = e.Free.Minus(r) }

// queueRoom is the share of the capacity that is left for waiting orders.
func (e *Endpoint) queueRoom() float64 {
	if e.Capacity.CPU <= 0 {
		return 0
	}
	return queueShare + float64(e.Free.CPU)/float64(e.Capacity.CPU)
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

// Choose picks endpoints for as many of the tasks as fit now, and lets the
// others wait at runners. shuffle gives a random number below its argument.
// It reserves the room in endpoints.
func Choose(w *Wish, endpoints []Endpoint, shuffle func(n int) int) []Pick {
	rest := *w
	picks := choose(&rest, endpoints, shuffle)
	for _, p := range picks {
		rest.Count -= p.Count
		endpoints[p.At].Take(w.Need.Times(p.Count))
	}
	for rest.Count > 0 {
		at := rest.shortestQueue(endpoints)
		if at < 0 {
			break
		}
		rest.Count--
		endpoints[at].Take(w.Need)
		picks = add(picks, at)
	}
	return picks
}

// add adds one task to the picks.
func add(picks []Pick, at int) []Pick {
	for i := range picks {
		if picks[i].At == at {
			picks[i].Count++
			return picks
		}
	}
	return append(picks, Pick{At: at, Count: 1})
}

// shortestQueue is the endpoint with the most room for waiting orders, -1 if
// there is none.
func (w *Wish) shortestQueue(endpoints []Endpoint) int {
	best := -1
	for i := range endpoints {
		e := &endpoints[i]
		if w.tier(e) > tierSlow || w.tier(e) == tierTrial || !w.Need.Fits(e.Capacity) || w.MaxPerEndpoint > 0 {
			continue
		}
		if e.queueRoom() > 0 && (best < 0 || e.queueRoom() > endpoints[best].queueRoom()) {
			best = i
		}
	}
	return best
}

// option is an endpoint that could take tasks.
type option struct{ at, fit, tier int }

// choose fills the endpoints one after the other. The tasks of a job stay
// together: each endpoint that fails takes a whole job with it, so the fewer
// endpoints a job needs, the fewer jobs fail. Among equals the choice is
// random, as other dispatchers choose at the same moment.
func choose(w *Wish, endpoints []Endpoint, shuffle func(n int) int) []Pick {
	options := w.options(endpoints)
	left := w.Count
	var picks []Pick
	for left > 0 && len(options) > 0 {
		i := best(options, left, shuffle)
		o := options[i]
		n := min(left, o.fit)
		picks = append(picks, Pick{At: o.at, Count: n})
		left -= n
		options = slices.Delete(options, i, i+1)
	}
	return picks
}

func (w *Wish) options(endpoints []Endpoint) []option {
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
	return options
}

// best picks one of the options of the best tier: any that takes all of the
// tasks, else the one that takes most.
func best(options []option, count int, shuffle func(n int) int) int {
	var equal []int
	for i, o := range options {
		switch c := compare(o, options[first(equal, i)], count); {
		case c < 0:
			equal = []int{i}
		case c == 0:
			equal = append(equal, i)
		}
	}
	return equal[shuffle(len(equal))]
}

func first(of []int, otherwise int) int {
	if len(of) == 0 {
		return otherwise
	}
	return of[0]
}

func compare(a, b option, count int) int {
	return cmp.Or(
		cmp.Compare(a.tier, b.tier),
		-cmp.Compare(min(a.fit, count), min(b.fit, count)),
	)
}
