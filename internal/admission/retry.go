package admission

import "time"

const (
	// minRetryAfter is the shortest delay that the answer to a caller can hold, which
	// counts in seconds. maxRetryAfter keeps a caller that waits for tens of seconds
	// from being sent away for longer.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
)

// RetryAfter returns how long a refused job of the level should stay away. The excess is
// the difference between its expected wait and its limit. The delay lasts until the
// excess of the backlog has drained, and the capacity left by the levels before it has
// served the work that was refused recently and returns as well. It addresses a
// sustained overload, in which callers that return earlier are refused again.
func (s *State) RetryAfter(level int, excess time.Duration) time.Duration {
	rate := float64(s.CapacityMilliCPU) * s.FreeFraction(level)
	if rate <= 0 {
		return maxRetryAfter
	}
	returning := s.RefusedWork.Through(level) / rate
	if returning >= maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	delay := max(excess, 0) + time.Duration(returning*float64(time.Second))
	return min(max(delay, minRetryAfter), maxRetryAfter)
}

// Spread returns the delay that is sent to one caller: evenly distributed between the
// given one and twice as much, so that the refused work returns at the rate at which
// capacity becomes free. The delay is in whole seconds, as it is sent; rounding it up
// later would send most callers of a short delay back at the same time.
func Spread(delay time.Duration, randIntN func(n int) int) time.Duration {
	seconds := int((delay + time.Second - 1) / time.Second)
	return time.Duration(seconds+randIntN(seconds+1)) * time.Second
}
