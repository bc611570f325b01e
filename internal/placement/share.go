package placement

import (
	"math"
	"time"
)

const (
	// loadTimeConstant is the time in which the weight of work that came falls to
	// 1/e.
	loadTimeConstant = 2 * time.Second
	// minShare bounds what a dispatcher with little load makes of its queue.
	minShare = 0.02
)

// Load is how much work has come lately, old work counting less and less.
type Load struct {
	sum       float64
	updatedAt time.Duration
}

// Add counts work that comes now, in thousandths of a core.
func (l *Load) Add(cpu int64, now time.Duration) {
	l.sum = l.Value(now) + float64(cpu)
	l.updatedAt = now
}

// Value is the load at an instant.
func (l *Load) Value(now time.Duration) float64 {
	return l.sum * math.Exp(-float64(now-l.updatedAt)/float64(loadTimeConstant))
}

// Share is a dispatcher's part of all the work that comes, by its own load and
// those of others; the load of unknown others is taken to be its own. It
// answers callers that are spread unevenly over dispatchers: a busy one that
// took the others' queues to be as long as its own would refuse jobs that there
// is room for.
func Share(own float64, others []float64, unknown int) float64 {
	all := own * float64(1+unknown)
	for _, load := range others {
		all += load
	}
	if all <= 0 {
		return 1 / float64(1+unknown+len(others))
	}
	return max(own/all, minShare)
}
