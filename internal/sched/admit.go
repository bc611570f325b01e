package sched

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
)

// Admit queues a job's waiting tasks and returns OK, or refuses the job with
// DeadlinePassed, UnknownTeam, CannotRun, OverQuota, QueueFull or Overloaded
// and keeps nothing of it. A key that is known is refused with IDConflict.
// The Scheduler keeps j.Waiting.
func (s *Scheduler) Admit(now time.Time, j Job) result.Code {
	s.updateNow(now)
	code := s.checkAdmission(j)
	s.totals.countAdmission(code)
	if code == result.OK {
		s.enqueue(j)
	}
	return code
}

// checkAdmission decides whether a job is let in.
func (s *Scheduler) checkAdmission(j Job) result.Code {
	if !s.now.Before(j.Deadline) {
		return result.DeadlinePassed
	}
	if s.jobs[j.Key] != nil {
		return result.IDConflict
	}
	t := s.teams[j.Team]
	if t == nil || !t.configured {
		return result.UnknownTeam
	}
	n := len(j.Waiting)
	if !s.canEverRun(t, n) {
		return result.CannotRun
	}
	if t.MaxQueued > 0 && t.waiting+n > t.MaxQueued {
		return result.OverQuota
	}
	if s.waiting+n > s.cfg.MaxWaiting {
		return result.QueueFull
	}
	if s.overloaded(t, j) {
		return result.Overloaded
	}
	return result.OK
}

// canEverRun tells whether a job of n tasks fits into the bounds at all, and
// whether an endpoint that the team may use is known. While no endpoint is
// known none is ruled out.
func (s *Scheduler) canEverRun(t *team, n int) bool {
	if n > s.cfg.MaxWaiting || t.MaxQueued > 0 && n > t.MaxQueued {
		return false
	}
	if len(s.endpoints) == 0 {
		return true
	}
	for _, d := range s.domains {
		if d.endpoints > 0 && t.allowsDomain(d.name) {
			return true
		}
	}
	return false
}

// overloaded tells whether the work ahead of a job is expected to leave later
// than the share of the time to its deadline that is meant for waiting, or the
// job itself later than its deadline. A job with no work of its team ahead is
// let in, so that run times which were learned too long are learned anew.
func (s *Scheduler) overloaded(t *team, j Job) bool {
	slots := s.teamUsableSlots(t)
	if slots == 0 || t.queuedWork == 0 {
		return false
	}
	share := s.expectedSlots(t, slots)
	wait := float64(t.queuedWork) / share
	own := float64(len(j.Waiting)) * float64(s.expectedRunTime(t, j.DeclaredRunTime)) / share
	left := float64(j.Deadline.Sub(s.now))
	return wait > left*s.cfg.Overload.MaxWaitFraction || wait+own > left
}

// teamUsableSlots returns the slots in service that a team may use.
func (s *Scheduler) teamUsableSlots(t *team) int {
	if len(t.Domains) == 0 {
		return s.usableSlots
	}
	sum := 0
	for _, d := range s.domains {
		if t.allowsDomain(d.name) {
			sum += d.usableSlots
		}
	}
	return sum
}

// expectedSlots returns how many of the slots a team can count on: its share
// by weight, or what the other teams leave if that is more.
func (s *Scheduler) expectedSlots(t *team, slots int) float64 {
	weights := s.activeWeight
	if len(t.readyJobs) == 0 {
		weights += t.weight()
	}
	share := float64(slots) * float64(t.weight()) / float64(weights)
	others := s.running + s.waiting - t.running - t.waiting
	expected := max(share, float64(slots-others))
	if t.MaxRunning > 0 {
		expected = min(expected, float64(t.MaxRunning))
	}
	return max(expected, 1)
}
