package placement

import (
	"slices"
	"time"
)

// slowRunMargin is the factor by which the run time at a slow endpoint may exceed
// its estimate over the measured speed. The speed of an endpoint that is slowed by
// other load varies, and the slowest task of a job often takes 1.2 to 1.5 times as
// long as the median one.
const slowRunMargin = 1.5

// EndsBeforeLateBound reports whether a job whose remaining work begins now at an
// endpoint of this measured speed ends while its answer still has a value: within
// maxLatenessFactor times the objective, and before the caller stops waiting. The
// speed counts as 1 if it is higher. Without an estimate the end is unknown.
func EndsBeforeLateBound(u *Urgency, speed float64, callerDeadline, now time.Duration) bool {
	if speed <= 0 || u.RemainingWork <= 0 {
		return false
	}
	bound := min(u.ArrivedAt+maxLatenessFactor*u.Objective, callerDeadline)
	return float64(u.RemainingWork)*slowRunMargin/min(speed, 1) <= float64(bound-now)
}

// lateEnd is the condition on the end of an overflow job.
type lateEnd struct {
	urgency *Urgency
	// callerDeadline is when the caller stops waiting.
	callerDeadline time.Duration
	now            time.Duration
}

// PlaceOverflow assigns all tasks of a job to endpoints that are suspended because
// they are slow and are idle otherwise, while the backlog at the other endpoints
// makes the dispatcher refuse jobs. It returns the assignments of each request, and
// whether all of the tasks fit at once at endpoints where the job ends before its
// late bound. Without that nothing is assigned. It reserves the assigned capacity in
// endpoints. randIntN returns a random number that is at least 0 and less than n.
func PlaceOverflow(u *Urgency, requests []*Request, endpoints []Endpoint, callerDeadline, now time.Duration, randIntN func(n int) int) ([][]Assignment, bool) {
	if u.Suspect || len(endpoints) == 0 {
		return nil, false
	}
	end := &lateEnd{urgency: u, callerDeadline: callerDeadline, now: now}
	all := make([][]Assignment, len(requests))
	for i, r := range requests {
		var fits bool
		if all[i], fits = r.assignOverflow(endpoints, end, randIntN); !fits {
			releaseAssigned(requests, all, endpoints)
			return nil, false
		}
	}
	return all, true
}

// releaseAssigned releases the capacity that was reserved for the assignments.
func releaseAssigned(requests []*Request, all [][]Assignment, endpoints []Endpoint) {
	for i, assignments := range all {
		for _, a := range assignments {
			endpoints[a.EndpointIndex].Reserve(requests[i].Resources.Times(-a.Count))
		}
	}
}

// assignOverflow assigns the tasks of one request to as few endpoints as possible,
// reserves their capacity, and reports whether all of them fit.
func (r *Request) assignOverflow(endpoints []Endpoint, end *lateEnd, randIntN func(n int) int) ([]Assignment, bool) {
	var assignments []Assignment
	remaining := r.Count
	for remaining > 0 {
		index, n := r.largestOverflowFit(endpoints, assignments, remaining, end, randIntN(len(endpoints)))
		if n == 0 {
			return assignments, false
		}
		assignments = append(assignments, Assignment{EndpointIndex: index, Count: n})
		endpoints[index].Reserve(r.Resources.Times(n))
		remaining -= n
	}
	return assignments, true
}

// largestOverflowFit returns the endpoint without an assignment that takes most of
// the remaining tasks, and their number. The search starts at the index first, so
// that dispatchers choose different endpoints among equal ones.
func (r *Request) largestOverflowFit(endpoints []Endpoint, assigned []Assignment, remaining int, end *lateEnd, first int) (index, fit int) {
	for k := range endpoints {
		i := (first + k) % len(endpoints)
		n := min(remaining, r.overflowFit(&endpoints[i], end))
		if n > fit && !slices.ContainsFunc(assigned, func(a Assignment) bool { return a.EndpointIndex == i }) {
			index, fit = i, n
		}
		if fit == remaining {
			break
		}
	}
	return index, fit
}

// overflowFit returns how many of the tasks the endpoint can take. Endpoints at
// which the job has failed before take none: another failure would leave no time for
// a further try.
func (r *Request) overflowFit(e *Endpoint, end *lateEnd) int {
	if e.HasContained || r.tier(e) >= tierAvoided || !EndsBeforeLateBound(end.urgency, e.Speed, end.callerDeadline, end.now) {
		return 0
	}
	return r.FitCount(e)
}
