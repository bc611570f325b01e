package placement

import (
	"cmp"
	"math"
	"slices"
)

// Area is the set of endpoints that a job may use. While tasks crash the
// endpoints that start them, all jobs that may be the cause run on a part of the
// endpoints, one job at a time on each, so that a crash there identifies its
// cause and takes no other work with it, and the other jobs run elsewhere.
type Area int

// The areas.
const (
	// Anywhere is all endpoints: nothing is contained.
	Anywhere Area = iota
	// Inside is the endpoints for contained jobs.
	Inside
	// Outside is the other endpoints.
	Outside
)

// Includes reports whether the endpoint is in the area.
func (a Area) Includes(e *Endpoint) bool {
	switch a {
	case Inside:
		return e.Containment
	case Outside:
		return !e.Containment
	}
	return true
}

// containmentFraction is the fraction of a service's endpoints that contained
// jobs use. The others must have capacity for the rest of the load.
const containmentFraction = 0.25

// MarkContainment marks the endpoints for contained jobs: of each service those
// that rank lowest, at least one. All dispatchers choose alike, or almost
// so where they know different endpoints. An endpoint that is down must be among
// them, so that it is not replaced by another, which would crash next.
func MarkContainment(endpoints []Endpoint) {
	services := map[string][]*Endpoint{}
	for i := range endpoints {
		e := &endpoints[i]
		services[e.Service] = append(services[e.Service], e)
	}
	for _, members := range services {
		slices.SortFunc(members, func(a, b *Endpoint) int {
			return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Name, b.Name))
		})
		n := int(math.Ceil(containmentFraction * float64(len(members))))
		for _, e := range members[:n] {
			e.Containment = true
		}
	}
}

// maxContainedJobs is how many contained jobs are open for each usable endpoint:
// one that runs there and one that waits.
const maxContainedJobs = 2

// AdmitContained reports whether a further contained job is admitted by a
// dispatcher that has open ones, where usable endpoints serve contained jobs and
// share is the dispatcher's fraction of the load. It may always have one.
func AdmitContained(open, usable int, share float64) bool {
	return float64(open) < max(1, share*float64(maxContainedJobs*usable))
}
