package sched

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
)

// Occupy makes a task that was found running at a takeover hold its slot
// until Ended, also on an endpoint that is not known yet. Where the team is
// not known it is empty; Restore sets it.
func (s *Scheduler) Occupy(key Key, index int, endpointName string, teamName string) {
	e := s.endpoints[endpointName]
	if e == nil {
		e = s.addEndpoint(Endpoint{Name: endpointName, State: Detached})
	}
	j := s.job(key, teamName)
	if j.find(index, endpointName) >= 0 {
		s.failf("task %d of %x occupies %s twice", index, key, endpointName)
		return
	}
	s.hold(j, index, e)
	s.place(e)
}

// hold counts a task as running on e. The caller places e anew.
func (s *Scheduler) hold(j *job, index int, e *endpoint) {
	j.running = append(j.running, runningTask{index: index, endpoint: e})
	s.countBusy(e, 1)
	s.countRunning(j.team, 1)
}

// release is the reverse of hold; it returns false when no such task runs.
func (s *Scheduler) release(key Key, index int, endpointName string) (*job, *endpoint, bool) {
	j := s.jobs[key]
	if j == nil {
		s.failf("task %d of unknown job %x ended", index, key)
		return nil, nil, false
	}
	at := j.find(index, endpointName)
	if at < 0 {
		s.failf("task %d of %x ended on %s without running there", index, key, endpointName)
		return nil, nil, false
	}
	e := j.running[at].endpoint
	j.take(at)
	s.countBusy(e, -1)
	s.countRunning(j.team, -1)
	s.rank(j)
	return j, e, true
}

// Ended frees the slot of a task that ran, and learns from its ending.
func (s *Scheduler) Ended(now time.Time, key Key, index int, endpointName string, end Ending) {
	s.tick(now)
	j, e, ok := s.release(key, index, endpointName)
	if !ok {
		return
	}
	s.learn(j, e, end)
	s.place(e)
	s.dropIdleEndpoint(e)
	s.dropIdleJob(j)
}

// NotStarted frees the slot of a task that provably did not start, and
// queues the task again. It returns false when it did not, because the job
// was removed, expired or never restored, or the retry budget is used up; the
// job must fail.
func (s *Scheduler) NotStarted(now time.Time, key Key, index int, endpointName string, code result.Code) bool {
	s.tick(now)
	j, e, ok := s.release(key, index, endpointName)
	if !ok {
		return false
	}
	s.counts.NotStarted++
	s.refused(j, e, code)
	s.place(e)
	s.dropIdleEndpoint(e)
	if j.removed || j.expired || j.deadline.IsZero() || s.budget < 1 {
		s.dropIdleJob(j)
		return false
	}
	s.budget--
	s.counts.Retried++
	j.waiting = append(j.waiting, index)
	s.countWaiting(j, 1)
	s.makeReady(j)
	return true
}
