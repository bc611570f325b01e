package sched

import (
	"time"
)

// Expired returns the jobs with waiting tasks whose deadline has passed since
// the last call. None of their tasks starts any more; the caller removes
// them.
func (s *Scheduler) Expired(now time.Time) []Key {
	s.expire(now)
	if len(s.expired) == 0 {
		return nil
	}
	keys := make([]Key, 0, len(s.expired))
	for _, j := range s.expired {
		keys = append(keys, j.key)
		j.expiredAt = -1
	}
	s.expired = s.expired[:0]
	return keys
}

// expire takes jobs whose deadline has passed off the heaps.
func (s *Scheduler) expire(now time.Time) {
	for len(s.deadlines) > 0 && !now.Before(s.deadlines[0].deadline) {
		j := s.deadlines[0]
		s.unready(j)
		j.expired = true
		j.expiredAt = len(s.expired)
		s.expired = append(s.expired, j)
	}
}

// advance applies what the passing of time changes.
func (s *Scheduler) advance(now time.Time) {
	s.tick(now)
	s.expire(now)
	for len(s.wakes) > 0 && !s.now.Before(s.wakes[0].wake) {
		s.place(s.wakes[0])
	}
}

// tick notes the time; it never goes back.
func (s *Scheduler) tick(now time.Time) {
	if s.first.IsZero() {
		s.first = now
	}
	if now.After(s.now) {
		s.now = now
	}
}

// NextWake returns the next instant at which Next or Expired may have
// something new without another event, and false when there is none.
func (s *Scheduler) NextWake(now time.Time) (time.Time, bool) {
	if len(s.expired) > 0 {
		return now, true
	}
	var wake time.Time
	if len(s.deadlines) > 0 {
		wake = s.deadlines[0].deadline
	}
	if len(s.active) > 0 && len(s.wakes) > 0 {
		if first := s.wakes[0].wake; wake.IsZero() || first.Before(wake) {
			wake = first
		}
	}
	return wake, !wake.IsZero()
}
