package sched

import (
	"time"
)

// Next picks the next task and its endpoint and occupies a slot there. It
// returns false if no waiting task may start now.
func (s *Scheduler) Next(now time.Time) (Assignment, bool) {
	s.applyTime(now)
	t := s.nextTeam()
	if t == nil {
		return Assignment{}, false
	}
	e := s.bestEndpoint(t)
	j := t.readyJobs[0]
	index := j.waiting[0]
	j.waiting = j.waiting[1:]
	s.countWaiting(j, -1)
	if len(j.waiting) == 0 {
		s.removeFromReady(j)
	}
	s.assignments++
	e.lastAssignment = s.assignments
	s.occupySlot(j, index, e)
	s.totals.Started++
	if e.running > e.Slots {
		s.violationf("endpoint %s runs %d tasks on %d slots", e.Name, e.running, e.Slots)
	}
	s.updateAvailability(e)
	return Assignment{Key: j.key, Index: index, Endpoint: e.Name}, true
}

// nextTeam returns the team whose first job goes next, or nil if no team may
// start a task now. Teams that run less than their share go before the others;
// within both groups the rank of the first job decides.
func (s *Scheduler) nextTeam() *team {
	if s.availableEndpoints == 0 {
		return nil
	}
	var best *team
	slotsPerWeight := float64(s.inServiceSlots) / float64(max(s.activeWeight, 1))
	bestBelow := false
	for _, t := range s.activeTeams {
		if t.atRunningLimit() {
			continue
		}
		below := t.runningPerWeight < slotsPerWeight
		if best != nil && !t.before(below, best, bestBelow) {
			continue
		}
		if s.hasAvailableEndpoint(t) && (!t.hasLongTasks || s.longMayStart()) {
			best = t
			bestBelow = below
		}
	}
	return best
}

// hasAvailableEndpoint reports whether a domain that t may use has an available
// endpoint.
func (s *Scheduler) hasAvailableEndpoint(t *team) bool {
	for _, d := range s.domains {
		if len(d.available) > 0 && t.allowsDomain(d.name) {
			return true
		}
	}
	return false
}

// bestEndpoint returns the best available endpoint that t may use, or nil.
func (s *Scheduler) bestEndpoint(t *team) *endpoint {
	var best *endpoint
	for _, d := range s.domains {
		if len(d.available) == 0 || !t.allowsDomain(d.name) {
			continue
		}
		if head := d.available[0]; best == nil || head.preferredTo(best) {
			best = head
		}
	}
	return best
}
