// Package estimate predicts the run times of tasks from their callers' estimates and
// from the run times of earlier jobs. It does no I/O and reads no clock.
//
// It addresses loads in which callers' estimates are inaccurate: an estimate far from
// the usual run time of its route is mostly error, so that a job whose estimate is too
// long appears to have time to wait, and becomes late.
package estimate

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxRoutes bounds the routes of a model.
	maxRoutes = 256
	// maxChange bounds a prediction by the caller's estimate, times and divided by it.
	maxChange = 4
	// maxRatio bounds the ratio of run time to estimate of a sample.
	maxRatio = 16
	// minRunTime and maxRunTime bound the run time of a sample, and the estimates
	// that the model applies to.
	minRunTime = 100 * time.Microsecond
	maxRunTime = 24 * time.Hour
)

// Model predicts the run times of tasks by route. It is not safe for concurrent use.
type Model struct {
	routes map[string]*route
	// observed counts the samples of all routes.
	observed uint64
}

// New returns a model without samples, which predicts the callers' estimates.
func New() *Model { return &Model{routes: map[string]*route{}} }

// Predict returns the median run time, at speed 1, of the route's tasks with the
// caller's estimate. It is at least a quarter of the estimate and at most four times
// as much. Without an estimate (zero), it is the route's usual run time, and zero
// while that is unknown.
//
// The median is meant for both the objective of a job and its remaining work. The
// slack is their difference, (stretch - 1) times the run time plus a constant: a
// prediction that is too short gives too little slack and an early start, and only one
// that is too long makes a job late. A higher quantile would therefore harm; the
// fraction of the slack that admission leaves covers a prediction that is too long.
func (m *Model) Predict(routeName string, estimate time.Duration) time.Duration {
	r := m.routes[routeName]
	switch {
	case estimate > maxRunTime:
		return estimate
	case estimate <= 0 && r != nil:
		return r.usualRunTime()
	case r == nil:
		return max(estimate, 0)
	}
	limit := math.Log(maxChange)
	change := min(max(r.fit.logRatio(logSeconds(estimate)), -limit), limit)
	return time.Duration(float64(estimate) * math.Exp(change))
}

// Observe adds the run time of a job's tasks at speed 1 and the caller's estimate of
// it, zero if there was none. It ignores a run time that is not positive.
func (m *Model) Observe(routeName string, estimate, runTime time.Duration) {
	if runTime <= 0 {
		return
	}
	m.observed++
	r := m.routes[routeName]
	if r == nil {
		if len(m.routes) >= maxRoutes {
			m.removeLeastRecent()
		}
		r = newRoute()
		m.routes[routeName] = r
	}
	r.lastObserved = m.observed
	r.add(estimate, runTime)
}

// removeLeastRecent removes the route that has had no sample for the longest time.
func (m *Model) removeLeastRecent() {
	name, oldest := "", uint64(math.MaxUint64)
	for n, r := range m.routes {
		if r.lastObserved < oldest {
			name, oldest = n, r.lastObserved
		}
	}
	delete(m.routes, name)
}

// RouteState describes what is known about one route, for the state dump.
type RouteState struct {
	Route string `json:"route"`
	// Samples is the number of jobs observed.
	Samples int `json:"samples"`
	// Slope is the increase of the logarithm of the run time with that of the
	// estimate: 1 means that estimates are relied on, 0 that they are ignored.
	Slope float64 `json:"slope"`
	// MeanMS is the geometric mean of the run times, in milliseconds.
	MeanMS float64 `json:"mean_ms"`
	// Ratio is the predicted run time over the estimate, for the mean estimate.
	Ratio float64 `json:"ratio"`
	// Deviation is the standard deviation of the logarithm of run time over
	// prediction.
	Deviation float64 `json:"deviation"`
}

// State returns the state of all routes, sorted by name.
func (m *Model) State() []RouteState {
	states := make([]RouteState, 0, len(m.routes))
	for name, r := range m.routes {
		states = append(states, RouteState{
			Route: name, Samples: r.samples, Slope: 1 + r.fit.slope(),
			MeanMS: millisecondsPerSecond * math.Exp(r.logRunTime), Ratio: math.Exp(r.fit.offset()),
			Deviation: r.residuals.deviation(),
		})
	}
	slices.SortFunc(states, func(a, b RouteState) int { return cmp.Compare(a.Route, b.Route) })
	return states
}

const millisecondsPerSecond = 1000

// logSeconds returns the natural logarithm of a duration in seconds, within the bounds
// of run times.
func logSeconds(d time.Duration) float64 {
	return math.Log(min(max(d, minRunTime), maxRunTime).Seconds())
}
