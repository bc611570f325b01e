package sched

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
)

// Admit queues a job's waiting tasks and returns OK, or refuses the whole job
// with DeadlinePassed, IDConflict, UnknownTeam, CannotRun, OverQuota, QueueFull
// or Overloaded. A job whose key is already known is refused with IDConflict.
// The Scheduler takes ownership of j.Waiting.
func (s *Scheduler) Admit(now time.Time, j Job) result.Code {
	s.updateNow(now)
	code := s.checkAdmission(j)
	s.totals.countAdmission(code)
	if code == result.OK {
		s.enqueue(j)
	}
	return code
}

// checkAdmission returns OK if the job can be admitted, or the reason to refuse
// it.
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

// canEverRun reports whether a job of n tasks is within the queue limits and
// some known endpoint may run the team's tasks. While no endpoint is known,
// none is ruled out.
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

// overloaded reports whether the queued work of the job's team is expected to
// take more than MaxWaitFraction of the time to the job's deadline, or the job
// itself is expected to finish after its deadline. A job is never refused
// while nothing of its team is queued: the learned run times may be too long,
// and only new runs can correct them.
func (s *Scheduler) overloaded(t *team, j Job) bool {
	slots := s.teamUsableSlots(t)
	if slots == 0 || t.queuedWork == 0 {
		return false
	}
	slotShare := s.expectedSlots(t, slots)
	queueTime := float64(t.queuedWork) / slotShare
	ownTime := float64(len(j.Waiting)) * float64(s.expectedRunTime(t, j.DeclaredRunTime)) / slotShare
	timeLeft := float64(j.Deadline.Sub(s.now))
	return queueTime > timeLeft*s.cfg.Overload.MaxWaitFraction || queueTime+ownTime > timeLeft
}

// teamUsableSlots returns the number of usable slots in the failure domains
// that the team may use.
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

// expectedSlots returns how many of the slots the team can expect: its share by
// weight, or what the other teams leave unused if that is more.
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
