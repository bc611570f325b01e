package placement

import (
	"math"
	"time"
)

const (
	// loadTimeConstant is the time in which the weight of past arrivals decays
	// to 1/e.
	loadTimeConstant = 2 * time.Second
	// minShare keeps a dispatcher with little load from scaling its own queue
	// up without bound.
	minShare = 0.02
)

// Load measures the recently arrived work as an exponentially decaying sum.
type Load struct {
	sum       float64
	updatedAt time.Duration
}

// Add counts work that arrives now.
func (l *Load) Add(milliCPU int64, now time.Duration) {
	l.sum = l.Value(now) + float64(milliCPU)
	l.updatedAt = now
}

// Value returns the load at the given time.
func (l *Load) Value(now time.Duration) float64 {
	return l.sum * math.Exp(-float64(now-l.updatedAt)/float64(loadTimeConstant))
}

// ValidLoad reports whether a load from a message can be one.
func ValidLoad(load float64) bool { return load >= 0 && !math.IsInf(load, 0) }

// Share returns a dispatcher's fraction of the work that arrives for its
// runners, from its own load and that of the other dispatchers there. Callers
// may be spread unevenly over dispatchers: a busy dispatcher that assumed the
// others' queues to be as long as its own would refuse jobs for which there is
// capacity.
func Share(own, others float64) float64 {
	if own+others <= 0 {
		return 1
	}
	return max(own/(own+others), minShare)
}
