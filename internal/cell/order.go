package cell

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
)

// A cell's decisions depend only on its inputs, so that a run can be replayed.
// Where the order of a map's elements affects a decision, they are therefore
// sorted by key first.

// sortedEndpoints returns the matching endpoints, sorted by name.
func (c *Cell) sortedEndpoints(match func(*endpoint) bool) []*endpoint {
	var endpoints []*endpoint
	for _, e := range c.endpoints {
		if match(e) {
			endpoints = append(endpoints, e)
		}
	}
	slices.SortFunc(endpoints, func(a, b *endpoint) int { return cmp.Compare(a.name, b.name) })
	return endpoints
}

func anyEndpoint(*endpoint) bool { return true }

// sortedOutstanding returns the outstanding tasks, sorted by submission and
// index.
func (e *endpoint) sortedOutstanding() []taskKey {
	return slices.SortedFunc(maps.Keys(e.outstanding), func(a, b taskKey) int {
		return cmp.Or(bytes.Compare(a.job[:], b.job[:]), cmp.Compare(a.index, b.index))
	})
}

// sortedActiveJobs returns the matching active jobs, sorted by submission ID.
func (c *Cell) sortedActiveJobs(match func(*job) bool) []*job {
	var jobs []*job
	for _, j := range c.active {
		if match(j) {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return bytes.Compare(a.key[:], b.key[:]) })
	return jobs
}
