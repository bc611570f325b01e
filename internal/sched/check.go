package sched

import (
	"fmt"
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
)

// failf notes the first broken invariant or wrong call; Check returns it.
func (s *Scheduler) failf(format string, args ...any) {
	if s.fault == nil {
		s.fault = result.Errorf(result.Internal, format, args...)
	}
}

// Check returns a *result.Error with code Internal when an invariant is, or
// ever was, broken: each task is in one place, slots are neither lost nor
// used twice, and the sums add up. It looks at everything once.
func (s *Scheduler) Check() error {
	if s.fault == nil {
		s.checkJobs()
		s.checkTeams()
		s.checkEndpoints()
		s.checkPlaces()
	}
	return s.fault
}

// AuditEvery is the shortest time between two checks by Audit.
const AuditEvery = time.Second

// Audit is Check at most once in AuditEvery; in between it returns what the
// last one did, or a wrong call since.
func (s *Scheduler) Audit(now time.Time) error {
	if now.Sub(s.audited) < AuditEvery {
		return s.fault
	}
	s.audited = now
	return s.Check()
}

// tally counts anew what the Scheduler counts as it goes.
type tally struct {
	running, waiting, jobs int
	work                   time.Duration
}

// marks tells which indexes of one job were seen, without clearing between
// jobs.
type marks struct {
	job   uint32
	byJob []uint32
}

// see marks an index and tells whether it was marked before.
func (m *marks) see(index int) bool {
	for index >= len(m.byJob) {
		m.byJob = append(m.byJob, 0)
	}
	seen := m.byJob[index] == m.job
	m.byJob[index] = m.job
	return seen
}

func (s *Scheduler) checkJobs() {
	for _, t := range s.teams {
		t.tally = tally{}
	}
	for _, e := range s.endpoints {
		e.tally = 0
	}
	sum := tally{}
	seen := marks{}
	for _, j := range s.jobs {
		seen.job++
		s.checkJob(j, &seen)
		t := &j.team.tally
		t.jobs++
		t.running += len(j.running)
		t.waiting += len(j.waiting)
		t.work += time.Duration(len(j.waiting)) * j.expected
		sum.running += len(j.running)
		sum.waiting += len(j.waiting)
		for _, r := range j.running {
			r.endpoint.tally++
		}
	}
	s.equal("running tasks", s.running, sum.running)
	s.equal("waiting tasks", s.waiting, sum.waiting)
	for _, t := range s.teams {
		have := tally{running: t.running, waiting: t.waiting, jobs: t.jobs, work: t.work}
		if have != t.tally {
			s.failf("team %s counts %+v, has %+v", t.Name, have, t.tally)
		}
	}
	for _, e := range s.endpoints {
		if e.running != e.tally {
			s.failf("endpoint %s counts %d tasks, has %d", e.Name, e.running, e.tally)
		}
	}
}

// checkJob checks that each of a job's tasks is in one place, and that the
// job is in the heaps if and only if it may start a task.
func (s *Scheduler) checkJob(j *job, seen *marks) {
	for _, index := range j.waiting {
		if seen.see(index) {
			s.failf("task %d of %x waits twice", index, j.key)
		}
	}
	for _, r := range j.running {
		if seen.see(r.index) {
			s.failf("task %d of %x is in two places", r.index, j.key)
		}
		if s.endpoints[r.endpoint.Name] != r.endpoint {
			s.failf("task %d of %x runs on a forgotten endpoint", r.index, j.key)
		}
	}
	if len(j.waiting)+len(j.running) == 0 {
		s.failf("job %x is kept without tasks", j.key)
	}
	ready := len(j.waiting) > 0 && !j.expired && !j.removed
	if ready != (j.readyAt >= 0) || ready != (j.deadlineAt >= 0) {
		s.failf("job %x: ready %t, places %d and %d", j.key, ready, j.readyAt, j.deadlineAt)
	}
}

func (s *Scheduler) checkTeams() {
	active, weight, long, demand := 0, 0, 0, 0
	for _, t := range s.teams {
		if t.long {
			long += t.running
			demand += t.running + t.waiting
		}
		if len(t.ready) > 0 {
			active++
			weight += t.weight()
			if s.active[t.activeAt] != t {
				s.failf("team %s is not in its place", t.Name)
			}
		}
		for i, j := range t.ready {
			if j.readyAt != i || j.team != t {
				s.failf("job %x is not in its place", j.key)
			}
		}
	}
	s.equal("active teams", len(s.active), active)
	s.equal("weight of active teams", s.activeWeight, weight)
	s.equal("running tasks of teams with long tasks", s.long, long)
	s.equal("tasks of teams with long tasks", s.longDemand, demand)
}

func (s *Scheduler) checkEndpoints() {
	inService, usable, busy, out := 0, 0, 0, 0
	for _, d := range s.domains {
		d.tally = 0
	}
	for _, e := range s.endpoints {
		e.domain.tally++
		if e.domain.name != e.FailureDomain {
			s.failf("endpoint %s is in domain %s", e.Name, e.domain.name)
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
	s.equal("slots in service", s.inService, inService)
	s.equal("usable slots", s.usable, usable)
	s.equal("tasks on usable slots", s.usableBusy, busy)
	s.equal("ejected slots", s.out, out)
	sum := 0
	for _, d := range s.domains {
		sum += d.usable
		s.equal("endpoints of a domain", d.endpoints, d.tally)
	}
	s.equal("usable slots of domains", sum, usable)
}

// checkPlaces checks that endpoints are in the heaps if and only if they have
// room or a wake, as of the latest call.
func (s *Scheduler) checkPlaces() {
	roomy := 0
	for _, d := range s.domains {
		roomy += len(d.room)
		for i, e := range d.room {
			if e.roomAt != i || e.domain != d || e.removed || e.State != InService {
				s.failf("endpoint %s has room out of place", e.Name)
			}
			if e.running >= e.Slots {
				s.failf("endpoint %s has room without a free slot", e.Name)
			}
		}
	}
	s.equal("endpoints with room", s.roomy, roomy)
	for i, j := range s.expired {
		if j.expiredAt != i || j.removed || !j.expired {
			s.failf("job %x is listed as expired out of place", j.key)
		}
	}
	for i, e := range s.wakes {
		if e.wakeAt != i || e.wake.IsZero() {
			s.failf("endpoint %s wakes out of place", e.Name)
		}
	}
	for _, e := range s.endpoints {
		allowed, _ := e.allowed(s.now, &s.cfg)
		due := e.wakeAt >= 0 && !s.now.Before(e.wake)
		if !due && (e.running < allowed) != (e.roomAt >= 0) {
			s.failf("endpoint %s runs %d of %d, place %d", e.Name, e.running, allowed, e.roomAt)
		}
	}
}

func (s *Scheduler) equal(what string, have, want int) {
	if have != want {
		s.failf("%s: counted %d, are %d", what, have, want)
	}
}

// String names the health for messages.
func (h health) String() string {
	return [...]string{"healthy", "ejected", "probing"}[h]
}

var _ fmt.Stringer = healthy
