package sched

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
)

// RestoreRunningTask makes a task that was found running at a takeover hold its slot
// until Ended, also on an endpoint that is not known yet. Where the team is
// not known it is empty; Restore sets it.
func (s *Scheduler) RestoreRunningTask(key Key, index int, endpointName string, teamName string) {
	e := s.endpoints[endpointName]
	if e == nil {
		e = s.addEndpoint(Endpoint{Name: endpointName, State: Detached})
	}
	j := s.ensureJob(key, teamName)
	if j.findRunning(index, endpointName) >= 0 {
		s.violationf("task %d of %x occupies %s twice", index, key, endpointName)
		return
	}
	s.occupySlot(j, index, e)
	s.updateAvailability(e)
}

// occupySlot counts a task as running on e. The caller places e anew.
func (s *Scheduler) occupySlot(j *job, index int, e *endpoint) {
	j.running = append(j.running, runningTask{index: index, endpoint: e})
	s.countEndpointRunning(e, 1)
	s.countTeamRunning(j.team, 1)
}

// releaseSlot is the reverse of hold; it returns false when no such task runs.
func (s *Scheduler) releaseSlot(key Key, index int, endpointName string) (*job, *endpoint, bool) {
	j := s.jobs[key]
	if j == nil {
		s.violationf("task %d of unknown job %x ended", index, key)
		return nil, nil, false
	}
	at := j.findRunning(index, endpointName)
	if at < 0 {
		s.violationf("task %d of %x ended on %s without running there", index, key, endpointName)
		return nil, nil, false
	}
	e := j.running[at].endpoint
	j.removeRunning(at)
	s.countEndpointRunning(e, -1)
	s.countTeamRunning(j.team, -1)
	s.updateRank(j)
	return j, e, true
}

// TaskEnded frees the slot of a task that ran, and learns from its ending.
func (s *Scheduler) TaskEnded(now time.Time, key Key, index int, endpointName string, end Completion) {
	s.updateNow(now)
	j, e, ok := s.releaseSlot(key, index, endpointName)
	if !ok {
		return
	}
	s.recordCompletion(j, e, end)
	s.updateAvailability(e)
	s.dropIdleEndpoint(e)
	s.dropIdleJob(j)
}

// TaskNotStarted frees the slot of a task that provably did not start, and
// queues the task again. It returns false when it did not, because the job
// was removed, expired or never restored, or the retry budget is used up; the
// job must fail.
func (s *Scheduler) TaskNotStarted(now time.Time, key Key, index int, endpointName string, code result.Code) bool {
	s.updateNow(now)
	j, e, ok := s.releaseSlot(key, index, endpointName)
	if !ok {
		return false
	}
	s.totals.NotStarted++
	s.recordRefusal(j, e, code)
	s.updateAvailability(e)
	s.dropIdleEndpoint(e)
	if j.removed || j.expired || j.deadline.IsZero() || s.retryBudget < 1 {
		s.dropIdleJob(j)
		return false
	}
	s.retryBudget--
	s.totals.Retried++
	j.waiting = append(j.waiting, index)
	s.countWaiting(j, 1)
	s.makeReady(j)
	return true
}
