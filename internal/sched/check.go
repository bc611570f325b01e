package sched

import (
	"fmt"
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
)

// violationf records the first invariant violation or invalid call, which
// CheckInvariants then returns.
func (s *Scheduler) violationf(format string, args ...any) {
	if s.violation == nil {
		s.violation = result.Errorf(result.Internal, format, args...)
	}
}

// CheckInvariants returns a *result.Error with code Internal if an invariant is
// or ever was violated: every task is either waiting or running once, no slot
// is lost or used twice, and the running totals match the state. It visits
// every job, team and endpoint.
func (s *Scheduler) CheckInvariants() error {
	if s.violation == nil {
		s.checkJobs()
		s.checkTeams()
		s.checkEndpoints()
		s.checkHeaps()
	}
	return s.violation
}

// AuditInterval is the shortest time between two full checks by Audit.
const AuditInterval = time.Second

// Audit runs CheckInvariants at most once per AuditInterval. In between it
// returns the first violation known so far.
func (s *Scheduler) Audit(now time.Time) error {
	if now.Sub(s.lastAudit) < AuditInterval {
		return s.violation
	}
	s.lastAudit = now
	return s.CheckInvariants()
}

// recount holds totals counted from scratch, to compare with those that the
// Scheduler updates incrementally.
type recount struct {
	running, waiting, jobs int
	work                   time.Duration
}

// seenIndexes records which task indexes of the current job were seen. Each job
// has its own serial number, so nothing is cleared between jobs.
type seenIndexes struct {
	jobSerial uint32
	lastJob   []uint32
}

// mark marks an index and reports whether it was already marked.
func (s *seenIndexes) mark(index int) bool {
	for index >= len(s.lastJob) {
		s.lastJob = append(s.lastJob, 0)
	}
	seen := s.lastJob[index] == s.jobSerial
	s.lastJob[index] = s.jobSerial
	return seen
}

func (s *Scheduler) checkJobs() {
	for _, t := range s.teams {
		t.recount = recount{}
	}
	for _, e := range s.endpoints {
		e.recount = 0
	}
	total := recount{}
	seen := seenIndexes{}
	for _, j := range s.jobs {
		seen.jobSerial++
		s.checkJob(j, &seen)
		t := &j.team.recount
		t.jobs++
		t.running += len(j.running)
		t.waiting += len(j.waiting)
		t.work += time.Duration(len(j.waiting)) * j.expectedRunTime
		total.running += len(j.running)
		total.waiting += len(j.waiting)
		for _, r := range j.running {
			r.endpoint.recount++
		}
	}
	s.checkEqual("running tasks", s.running, total.running)
	s.checkEqual("waiting tasks", s.waiting, total.waiting)
	for _, t := range s.teams {
		have := recount{running: t.running, waiting: t.waiting, jobs: t.jobs, work: t.queuedWork}
		if have != t.recount {
			s.violationf("team %s: totals are %+v, recount is %+v", t.Name, have, t.recount)
		}
	}
	for _, e := range s.endpoints {
		if e.running != e.recount {
			s.violationf("endpoint %s: total of tasks is %d, recount is %d", e.Name, e.running, e.recount)
		}
	}
}

// checkJob checks that each of a job's tasks is recorded once, and that the job
// is in the heaps if and only if it may start a task.
func (s *Scheduler) checkJob(j *job, seen *seenIndexes) {
	for _, index := range j.waiting {
		if seen.mark(index) {
			s.violationf("task %d of job %x is queued twice", index, j.key)
		}
	}
	for _, r := range j.running {
		if seen.mark(r.index) {
			s.violationf("task %d of job %x is recorded twice", r.index, j.key)
		}
		if s.endpoints[r.endpoint.Name] != r.endpoint {
			s.violationf("task %d of job %x runs on a deleted endpoint", r.index, j.key)
		}
	}
	if len(j.waiting)+len(j.running) == 0 {
		s.violationf("job %x has no tasks", j.key)
	}
	ready := len(j.waiting) > 0 && !j.expired && !j.removed
	if ready != (j.readyIndex >= 0) || ready != (j.deadlineIndex >= 0) {
		s.violationf("job %x: ready is %t, but its heap indexes are %d and %d", j.key, ready, j.readyIndex, j.deadlineIndex)
	}
}

func (s *Scheduler) checkTeams() {
	active, weight, longRunning, longDemand := 0, 0, 0, 0
	for _, t := range s.teams {
		if t.hasLongTasks {
			longRunning += t.running
			longDemand += t.running + t.waiting
		}
		if len(t.readyJobs) > 0 {
			active++
			weight += t.weight()
			if s.activeTeams[t.activeIndex] != t {
				s.violationf("team %s is not at its index in the active teams", t.Name)
			}
		}
		for i, j := range t.readyJobs {
			if j.readyIndex != i || j.team != t {
				s.violationf("job %x is not at its index in its team's heap", j.key)
			}
		}
	}
	s.checkEqual("active teams", len(s.activeTeams), active)
	s.checkEqual("weight of active teams", s.activeWeight, weight)
	s.checkEqual("running tasks of teams with long tasks", s.longRunning, longRunning)
	s.checkEqual("waiting and running tasks of teams with long tasks", s.longDemand, longDemand)
}

func (s *Scheduler) checkEndpoints() {
	inService, usable, running, ejectedSlots := 0, 0, 0, 0
	for _, d := range s.domains {
		d.recount = 0
	}
	for _, e := range s.endpoints {
		e.domain.recount++
		if e.domain.name != e.FailureDomain {
			s.violationf("endpoint %s is linked to the wrong domain %s", e.Name, e.domain.name)
		}
		if e.State != InService {
			continue
		}
		inService += e.Slots
		if e.health == healthy {
			usable += e.Slots
			if e.Slots > 0 {
				running += e.running
			}
		} else {
			ejectedSlots += e.Slots
		}
	}
	s.checkEqual("slots in service", s.inServiceSlots, inService)
	s.checkEqual("usable slots", s.usableSlots, usable)
	s.checkEqual("tasks running on usable slots", s.usableRunning, running)
	s.checkEqual("ejected slots", s.ejectedSlots, ejectedSlots)
	domainSlots := 0
	for _, d := range s.domains {
		domainSlots += d.usableSlots
		s.checkEqual("endpoints of a domain", d.endpoints, d.recount)
	}
	s.checkEqual("usable slots of domains", domainSlots, usable)
}

// checkHeaps checks that the heaps and the list of expired jobs hold only what
// belongs there, and that an endpoint is in its domain's heap if and only if it
// may be given a task, as of the latest call.
func (s *Scheduler) checkHeaps() {
	available := 0
	for _, d := range s.domains {
		available += len(d.available)
		for i, e := range d.available {
			if e.availableIndex != i || e.domain != d || e.removed || e.State != InService {
				s.violationf("endpoint %s is wrongly in the heap of available endpoints", e.Name)
			}
			if e.running >= e.Slots {
				s.violationf("endpoint %s is available without a free slot", e.Name)
			}
		}
	}
	s.checkEqual("available endpoints", s.availableEndpoints, available)
	for i, j := range s.expired {
		if j.expiredIndex != i || j.removed || !j.expired {
			s.violationf("job %x is wrongly in the list of expired jobs", j.key)
		}
	}
	for i, e := range s.wakeups {
		if e.wakeupIndex != i || e.wakeupTime.IsZero() {
			s.violationf("endpoint %s is wrongly in the heap of wakeups", e.Name)
		}
	}
	for _, e := range s.endpoints {
		allowed, _ := e.allowed(s.now, &s.cfg)
		due := e.wakeupIndex >= 0 && !s.now.Before(e.wakeupTime)
		if !due && (e.running < allowed) != (e.availableIndex >= 0) {
			s.violationf("endpoint %s runs %d of %d allowed tasks, but its heap index is %d", e.Name, e.running, allowed, e.availableIndex)
		}
	}
}

func (s *Scheduler) checkEqual(what string, have, want int) {
	if have != want {
		s.violationf("%s: total is %d, recount is %d", what, have, want)
	}
}

// String returns the name that appears in messages.
func (h health) String() string {
	return [...]string{"healthy", "ejected", "probing"}[h]
}

var _ fmt.Stringer = healthy
