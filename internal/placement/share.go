package placement

import (
	"math"
	"time"

	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/workload"
)

const (
	// MinLevelShare is the fraction of the started work that a priority level with
	// waiting work gets at least, so that no route starves.
	MinLevelShare = 0.1
	// startedTimeConstant is the time in which the weight of started work decays to
	// 1/e.
	startedTimeConstant = time.Second
)

const (
	// unknownDuration is assumed for a task without an estimate. Counted as nothing,
	// such tasks would keep their level below its minimum share however many start.
	unknownDuration = 200 * time.Millisecond
	// minCountedDuration and maxCountedDuration bound the estimate of one task, so
	// that a wrong one can't distort the shares for longer than a few seconds.
	minCountedDuration = 10 * time.Millisecond
	maxCountedDuration = 10 * time.Second
	// noCPUMilli is counted for a task that needs no CPU but memory or GPUs.
	noCPUMilli = 1000
)

// TaskWork returns the work of one task in core-seconds, as counted for the minimum
// share of its level. It is positive and finite for any values.
func TaskWork(r workload.Resources, estimate time.Duration) float64 {
	if estimate <= 0 {
		estimate = unknownDuration
	}
	milliCPU := r.MilliCPU
	if milliCPU <= 0 {
		milliCPU = noCPUMilli
	}
	const milliPerCore = 1000
	return float64(milliCPU) / milliPerCore * min(max(estimate, minCountedDuration), maxCountedDuration).Seconds()
}

// StartedWork measures the recently started work by priority level, as
// exponentially decaying sums in core-seconds. It addresses contention: it tells
// which levels get less than the minimum share while a higher level has more work
// than there is capacity for. The zero value has no level below its share.
type StartedWork struct {
	sums      [policy.MaxLevels]float64
	updatedAt time.Duration
}

// decayFactor returns the weight of work that was started the given time ago.
func decayFactor(age time.Duration) float64 {
	return math.Exp(-max(age, 0).Seconds() / startedTimeConstant.Seconds())
}

// Add counts work of a level that starts now.
func (s *StartedWork) Add(level int, work float64, now time.Duration) {
	factor := decayFactor(now - s.updatedAt)
	for i := range s.sums {
		s.sums[i] *= factor
	}
	s.updatedAt = max(now, s.updatedAt)
	s.sums[level] += work
}

// Remove takes back work that was counted at addedAt and turned out not to start.
func (s *StartedWork) Remove(level int, work float64, addedAt, now time.Duration) {
	s.Add(level, -work*decayFactor(now-addedAt), now)
	s.sums[level] = max(s.sums[level], 0)
}

// Fraction returns the level's fraction of the started work, zero if there is none.
// All sums decay alike, so that it only changes when work starts.
func (s *StartedWork) Fraction(level int) float64 {
	total := s.total()
	if total <= 0 {
		return 0
	}
	return s.sums[level] / total
}

// belowMinimum reports whether the level has less than the minimum share. It is
// false before any work has started.
func (s *StartedWork) belowMinimum(level int) bool {
	return s.sums[level] < MinLevelShare*s.total()
}

func (s *StartedWork) total() float64 {
	total := 0.0
	for _, sum := range s.sums {
		total += sum
	}
	return total
}
