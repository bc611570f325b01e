package cell

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
)

// A cell's decisions depend on its inputs only, so that a run can be played
// again: where the order matters, maps are walked in the order of their keys.

// sortedEndpoints returns the endpoints that the test picks, by name.
func (c *Cell) sortedEndpoints(pick func(*endpoint) bool) []*endpoint {
	var all []*endpoint
	for _, e := range c.endpoints {
		if pick(e) {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b *endpoint) int { return cmp.Compare(a.name, b.name) })
	return all
}

func anyEndpoint(*endpoint) bool { return true }

// sortedOutstanding returns the tasks that were sent and have no outcome yet.
func (e *endpoint) sortedOutstanding() []taskKey {
	return slices.SortedFunc(maps.Keys(e.outstanding), func(a, b taskKey) int {
		return cmp.Or(bytes.Compare(a.job[:], b.job[:]), cmp.Compare(a.index, b.index))
	})
}

// sortedActiveJobs returns the active jobs that the test picks.
func (c *Cell) sortedActiveJobs(pick func(*job) bool) []*job {
	var jobs []*job
	for _, j := range c.active {
		if pick(j) {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return bytes.Compare(a.key[:], b.key[:]) })
	return jobs
}
