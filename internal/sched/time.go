package sched

import (
	"time"
)

// TakeExpired returns the jobs with waiting tasks whose deadline has passed
// since the last call. None of their tasks will start; the caller must remove
// them.
func (s *Scheduler) TakeExpired(now time.Time) []Key {
	s.expireJobs(now)
	if len(s.expired) == 0 {
		return nil
	}
	keys := make([]Key, 0, len(s.expired))
	for _, j := range s.expired {
		keys = append(keys, j.key)
		j.expiredIndex = -1
	}
	s.expired = s.expired[:0]
	return keys
}

// expireJobs moves jobs whose deadline has passed from the heaps to the list of
// expired jobs.
func (s *Scheduler) expireJobs(now time.Time) {
	for len(s.deadlines) > 0 && !now.Before(s.deadlines[0].deadline) {
		j := s.deadlines[0]
		s.removeFromReady(j)
		j.expired = true
		j.expiredIndex = len(s.expired)
		s.expired = append(s.expired, j)
	}
}

// applyTime expires jobs and wakes endpoints up to now.
func (s *Scheduler) applyTime(now time.Time) {
	s.updateNow(now)
	s.expireJobs(now)
	for len(s.wakeups) > 0 && !s.now.Before(s.wakeups[0].wakeupTime) {
		s.updateAvailability(s.wakeups[0])
	}
}

// updateNow sets the current time, which never goes backwards.
func (s *Scheduler) updateNow(now time.Time) {
	if s.startTime.IsZero() {
		s.startTime = now
	}
	if now.After(s.now) {
		s.now = now
	}
}

// NextWakeup returns the next time at which Next or TakeExpired may return
// something new with no other event, and false if there is none.
func (s *Scheduler) NextWakeup(now time.Time) (time.Time, bool) {
	if len(s.expired) > 0 {
		return now, true
	}
	var wakeup time.Time
	if len(s.deadlines) > 0 {
		wakeup = s.deadlines[0].deadline
	}
	if len(s.activeTeams) > 0 && len(s.wakeups) > 0 {
		if first := s.wakeups[0].wakeupTime; wakeup.IsZero() || first.Before(wakeup) {
			wakeup = first
		}
	}
	return wakeup, !wakeup.IsZero()
}
