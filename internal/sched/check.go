package sched

import (
	"fmt"
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
)

// violationf notes the first broken invariant or wrong call; Check returns it.
func (s *Scheduler) violationf(format string, args ...any) {
	if s.violation == nil {
		s.violation = result.Errorf(result.Internal, format, args...)
	}
}

// CheckInvariants returns a *result.Error with code Internal when an invariant is, or
// ever was, broken: each task is in one place, slots are neither lost nor
// used twice, and the sums add up. It looks at everything once.
func (s *Scheduler) CheckInvariants() error {
	if s.violation == nil {
		s.checkJobs()
		s.checkTeams()
		s.checkEndpoints()
		s.checkHeaps()
	}
	return s.violation
}

// AuditInterval is the shortest time between two checks by Audit.
const AuditInterval = time.Second

// Audit is Check at most once in AuditEvery; in between it returns what the
// last one did, or a wrong call since.
func (s *Scheduler) Audit(now time.Time) error {
	if now.Sub(s.lastAudit) < AuditInterval {
		return s.violation
	}
	s.lastAudit = now
	return s.CheckInvariants()
}

// recount counts anew what the Scheduler counts as it goes.
type recount struct {
	running, waiting, jobs int
	work                   time.Duration
}

// seenIndexes tells which indexes of one job were seen, without clearing between
// jobs.
type seenIndexes struct {
	jobSerial uint32
	lastJob   []uint32
}

// mark marks an index and tells whether it was marked before.
func (m *seenIndexes) mark(index int) bool {
	for index >= len(m.lastJob) {
		m.lastJob = append(m.lastJob, 0)
	}
	seen := m.lastJob[index] == m.jobSerial
	m.lastJob[index] = m.jobSerial
	return seen
}

func (s *Scheduler) checkJobs() {
	for _, t := range s.teams {
		t.recount = recount{}
	}
	for _, e := range s.endpoints {
		e.recount = 0
	}
	sum := recount{}
	seen := seenIndexes{}
	for _, j := range s.jobs {
		seen.jobSerial++
		s.checkJob(j, &seen)
		t := &j.team.recount
		t.jobs++
		t.running += len(j.running)
		t.waiting += len(j.waiting)
		t.work += time.Duration(len(j.waiting)) * j.expectedRunTime
		sum.running += len(j.running)
		sum.waiting += len(j.waiting)
		for _, r := range j.running {
			r.endpoint.recount++
		}
	}
	s.checkEqual("running tasks", s.running, sum.running)
	s.checkEqual("waiting tasks", s.waiting, sum.waiting)
	for _, t := range s.teams {
		have := recount{running: t.running, waiting: t.waiting, jobs: t.jobs, work: t.queuedWork}
		if have != t.recount {
			s.violationf("team %s counts %+v, has %+v", t.Name, have, t.recount)
		}
	}
	for _, e := range s.endpoints {
		if e.running != e.recount {
			s.violationf("endpoint %s counts %d tasks, has %d", e.Name, e.running, e.recount)
		}
	}
}

// checkJob checks that each of a job's tasks is in one place, and that the
// job is in the heaps if and only if it may start a task.
func (s *Scheduler) checkJob(j *job, seen *seenIndexes) {
	for _, index := range j.waiting {
		if seen.mark(index) {
			s.violationf("task %d of %x waits twice", index, j.key)
		}
	}
	for _, r := range j.running {
		if seen.mark(r.index) {
			s.violationf("task %d of %x is in two places", r.index, j.key)
		}
		if s.endpoints[r.endpoint.Name] != r.endpoint {
			s.violationf("task %d of %x runs on a forgotten endpoint", r.index, j.key)
		}
	}
	if len(j.waiting)+len(j.running) == 0 {
		s.violationf("job %x is kept without tasks", j.key)
	}
	ready := len(j.waiting) > 0 && !j.expired && !j.removed
	if ready != (j.readyIndex >= 0) || ready != (j.deadlineIndex >= 0) {
		s.violationf("job %x: ready %t, places %d and %d", j.key, ready, j.readyIndex, j.deadlineIndex)
	}
}

func (s *Scheduler) checkTeams() {
	active, weight, long, demand := 0, 0, 0, 0
	for _, t := range s.teams {
		if t.hasLongTasks {
			long += t.running
			demand += t.running + t.waiting
		}
		if len(t.readyJobs) > 0 {
			active++
			weight += t.weight()
			if s.activeTeams[t.activeIndex] != t {
				s.violationf("team %s is not in its place", t.Name)
			}
		}
		for i, j := range t.readyJobs {
			if j.readyIndex != i || j.team != t {
				s.violationf("job %x is not in its place", j.key)
			}
		}
	}
	s.checkEqual("active teams", len(s.activeTeams), active)
	s.checkEqual("weight of active teams", s.activeWeight, weight)
	s.checkEqual("running tasks of teams with long tasks", s.longRunning, long)
	s.checkEqual("tasks of teams with long tasks", s.longDemand, demand)
}

func (s *Scheduler) checkEndpoints() {
	inService, usable, busy, out := 0, 0, 0, 0
	for _, d := range s.domains {
		d.recount = 0
	}
	for _, e := range s.endpoints {
		e.domain.recount++
		if e.domain.name != e.FailureDomain {
			s.violationf("endpoint %s is in domain %s", e.Name, e.domain.name)
		}
		if e.State != InService {
			continue
		}
		inService += e.Slots
		if e.health == healthy {
			usable += e.Slots
			if e.Slots > 0 {
				busy += e.running
			}
		} else {
			out += e.Slots
		}
	}
	s.checkEqual("slots in service", s.inServiceSlots, inService)
	s.checkEqual("usable slots", s.usableSlots, usable)
	s.checkEqual("tasks on usable slots", s.usableRunning, busy)
	s.checkEqual("ejected slots", s.ejectedSlots, out)
	sum := 0
	for _, d := range s.domains {
		sum += d.usableSlots
		s.checkEqual("endpoints of a domain", d.endpoints, d.recount)
	}
	s.checkEqual("usable slots of domains", sum, usable)
}

// checkHeaps checks that endpoints are in the heaps if and only if they have
// room or a wake, as of the latest call.
func (s *Scheduler) checkHeaps() {
	roomy := 0
	for _, d := range s.domains {
		roomy += len(d.available)
		for i, e := range d.available {
			if e.availableIndex != i || e.domain != d || e.removed || e.State != InService {
				s.violationf("endpoint %s has room out of place", e.Name)
			}
			if e.running >= e.Slots {
				s.violationf("endpoint %s has room without a free slot", e.Name)
			}
		}
	}
	s.checkEqual("endpoints with room", s.availableEndpoints, roomy)
	for i, j := range s.expired {
		if j.expiredIndex != i || j.removed || !j.expired {
			s.violationf("job %x is listed as expired out of place", j.key)
		}
	}
	for i, e := range s.wakeups {
		if e.wakeupIndex != i || e.wakeupTime.IsZero() {
			s.violationf("endpoint %s wakes out of place", e.Name)
		}
	}
	for _, e := range s.endpoints {
		allowed, _ := e.allowed(s.now, &s.cfg)
		due := e.wakeupIndex >= 0 && !s.now.Before(e.wakeupTime)
		if !due && (e.running < allowed) != (e.availableIndex >= 0) {
			s.violationf("endpoint %s runs %d of %d, place %d", e.Name, e.running, allowed, e.availableIndex)
		}
	}
}

func (s *Scheduler) checkEqual(what string, have, want int) {
	if have != want {
		s.violationf("%s: counted %d, are %d", what, have, want)
	}
}

// String names the health for messages.
func (h health) String() string {
	return [...]string{"healthy", "ejected", "probing"}[h]
}

var _ fmt.Stringer = healthy
