package dispatch

import "time"

const (
	// maxTickDelay is the time since the last tick from which the process counts as
	// suspended meanwhile, ten times the interval. It is less than connectionTimeout
	// and the time within which runners stop the runs of a silent dispatcher.
	maxTickDelay = 200 * time.Millisecond
	// settleDelay is the time after a suspension in which what has arrived meanwhile
	// is handled. It takes a few milliseconds unless the process is short of
	// processor time.
	settleDelay = 2 * tickInterval
)

// suspension detects that the process did not run for a while, because it or its host
// was suspended. Then frames of runners and closed connections of callers are waiting
// to be handled: until they are, the dispatcher must neither place jobs, whose callers
// may have left and sent them to another dispatcher, nor take runners for silent, nor
// give up jobs, whose runs may be done.
type suspension struct {
	// tickedAt is when the last tick began, zero before the first.
	tickedAt time.Duration
	// settling is set from the first tick after a suspension until the first one
	// after settledAt.
	settling  bool
	settledAt time.Duration
}

// tick records that a tick begins. The delay is not prolonged, so that a process that is
// so short of processor time that all of its ticks are late still serves jobs.
func (s *suspension) tick(now time.Duration) {
	switch {
	case s.suspended(now) && !s.settling:
		s.settling, s.settledAt = true, now+settleDelay
	case now >= s.settledAt:
		s.settling = false
	}
	s.tickedAt = now
}

// suspended reports whether the process was suspended since the last tick.
func (s *suspension) suspended(now time.Duration) bool {
	return s.tickedAt > 0 && now-s.tickedAt > maxTickDelay
}

// settled reports whether no suspension has been so recent that what arrived during it
// may not have been handled.
func (s *suspension) settled(now time.Duration) bool { return !s.suspended(now) && !s.settling }
