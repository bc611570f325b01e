package sched

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
)

// RestoreRunningTask makes a task that was found running at a takeover occupy
// its slot until TaskEnded, also on an endpoint that is not known yet. The team
// name is empty if unknown; RestoreJob sets it later.
func (s *Scheduler) RestoreRunningTask(key Key, index int, endpointName string, teamName string) {
	e := s.endpoints[endpointName]
	if e == nil {
		e = s.addEndpoint(Endpoint{Name: endpointName, State: Detached})
	}
	j := s.ensureJob(key, teamName)
	if j.findRunning(index, endpointName) >= 0 {
		s.violationf("task %d of job %x occupies endpoint %s twice", index, key, endpointName)
		return
	}
	s.occupySlot(j, index, e)
	s.updateAvailability(e)
}

// occupySlot counts a task as running on e. The caller then calls
// updateAvailability.
func (s *Scheduler) occupySlot(j *job, index int, e *endpoint) {
	j.running = append(j.running, runningTask{index: index, endpoint: e})
	s.countEndpointRunning(e, 1)
	s.countTeamRunning(j.team, 1)
}

// releaseSlot undoes occupySlot. It returns false if no such task is running.
func (s *Scheduler) releaseSlot(key Key, index int, endpointName string) (*job, *endpoint, bool) {
	j := s.jobs[key]
	if j == nil {
		s.violationf("task %d of unknown job %x ended", index, key)
		return nil, nil, false
	}
	i := j.findRunning(index, endpointName)
	if i < 0 {
		s.violationf("task %d of job %x ended on endpoint %s without running there", index, key, endpointName)
		return nil, nil, false
	}
	e := j.running[i].endpoint
	j.removeRunning(i)
	s.countEndpointRunning(e, -1)
	s.countTeamRunning(j.team, -1)
	s.updateRank(j)
	return j, e, true
}

// TaskEnded frees the slot of a task that ran, and updates the statistics with
// its result.
func (s *Scheduler) TaskEnded(now time.Time, key Key, index int, endpointName string, c Completion) {
	s.updateNow(now)
	j, e, ok := s.releaseSlot(key, index, endpointName)
	if !ok {
		return
	}
	s.recordCompletion(j, e, c)
	s.updateAvailability(e)
	s.dropIdleEndpoint(e)
	s.dropIdleJob(j)
}

// TaskNotStarted frees the slot of a task that provably did not start, and
// queues the task again. It returns false if it did not queue it, because the
// job was removed, expired or never restored, or because the retry budget is
// used up; the job must then fail.
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
