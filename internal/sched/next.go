package sched

import (
	"time"
)

// Next picks the next task and its endpoint and takes the slot. It returns
// false when no waiting task may start now.
func (s *Scheduler) Next(now time.Time) (Assignment, bool) {
	s.advance(now)
	t := s.nextTeam()
	if t == nil {
		return Assignment{}, false
	}
	e := s.bestEndpoint(t)
	j := t.ready[0]
	index := j.waiting[0]
	j.waiting = j.waiting[1:]
	s.countWaiting(j, -1)
	if len(j.waiting) == 0 {
		s.unready(j)
	}
	s.served++
	e.served = s.served
	s.hold(j, index, e)
	s.counts.Started++
	if e.running > e.Slots {
		s.failf("endpoint %s runs %d tasks on %d slots", e.Name, e.running, e.Slots)
	}
	s.place(e)
	return Assignment{Key: j.key, Index: index, Endpoint: e.Name}, true
}

// nextTeam returns the team whose first job goes next, or nil when none may
// start a task now. Teams that run less than their share go before the
// others; among either the rank of the first job decides.
func (s *Scheduler) nextTeam() *team {
	if s.roomy == 0 {
		return nil
	}
	var best *team
	perWeight := float64(s.inService) / float64(max(s.activeWeight, 1))
	bestBelow := false
	for _, t := range s.active {
		if t.atBound() {
			continue
		}
		below := t.level < perWeight
		if best != nil && !t.before(below, best, bestBelow) {
			continue
		}
		if s.hasRoom(t) && (!t.long || s.longMayStart()) {
			best = t
			bestBelow = below
		}
	}
	return best
}

// hasRoom tells whether a domain that t may use has room.
func (s *Scheduler) hasRoom(t *team) bool {
	for _, d := range s.domains {
		if len(d.room) > 0 && t.allows(d.name) {
			return true
		}
	}
	return false
}

// bestEndpoint returns the best endpoint with room that t may use, or nil.
func (s *Scheduler) bestEndpoint(t *team) *endpoint {
	var best *endpoint
	for _, d := range s.domains {
		if len(d.room) == 0 || !t.allows(d.name) {
			continue
		}
		if head := d.room[0]; best == nil || head.better(best) {
			best = head
		}
	}
	return best
}
