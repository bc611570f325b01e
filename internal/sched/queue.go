package sched

import (
	"container/heap"
	"time"
)

// RestoreJob queues a job after a takeover, without the limits of Admit. It may
// come before or after the RestoreRunningTask calls for tasks of the same job.
// The Scheduler takes ownership of j.Waiting.
func (s *Scheduler) RestoreJob(now time.Time, j Job) {
	s.updateNow(now)
	old := s.jobs[j.Key]
	if old != nil && (old.removed || len(old.waiting) > 0) {
		s.violationf("job %x was restored twice", j.Key)
		return
	}
	s.enqueue(j)
}

// enqueue adds a job's waiting tasks to the queue.
func (s *Scheduler) enqueue(in Job) {
	if len(in.Waiting) == 0 && s.jobs[in.Key] == nil {
		return
	}
	j := s.ensureJob(in.Key, in.Team)
	s.setJobTeam(j, s.ensureTeam(in.Team))
	j.deadline = in.Deadline
	j.declaredRunTime = in.DeclaredRunTime
	j.expectedRunTime = s.expectedRunTime(j.team, in.DeclaredRunTime)
	j.waiting = in.Waiting
	sortByDeclared(j.waiting, in.DeclaredRunTimes)
	j.arrival = s.now.Sub(s.startTime)
	s.countWaiting(j, len(in.Waiting))
	s.makeReady(j)
}

// ensureJob returns the job with that key, and creates it if needed.
func (s *Scheduler) ensureJob(key Key, teamName string) *job {
	j := s.jobs[key]
	if j == nil {
		t := s.ensureTeam(teamName)
		s.seq++
		j = &job{key: key, team: t, seq: s.seq, readyIndex: -1, deadlineIndex: -1, expiredIndex: -1}
		s.jobs[key] = j
		t.jobs++
	}
	return j
}

// setJobTeam moves a job without waiting tasks to another team. The team may
// have been unknown when RestoreRunningTask created the job.
func (s *Scheduler) setJobTeam(j *job, t *team) {
	if j.team == t {
		return
	}
	old := j.team
	s.countTeamRunning(old, -len(j.running))
	old.jobs--
	s.countTeamRunning(t, len(j.running))
	t.jobs++
	j.team = t
	s.dropIdleTeam(old)
}

// dropIdleJob deletes a job that has neither waiting nor running tasks.
func (s *Scheduler) dropIdleJob(j *job) {
	if len(j.waiting) > 0 || len(j.running) > 0 {
		return
	}
	delete(s.jobs, j.key)
	j.team.jobs--
	s.dropIdleTeam(j.team)
}

// makeReady adds a job with waiting tasks to its team's heap and the heap of
// deadlines, unless it is already there.
func (s *Scheduler) makeReady(j *job) {
	if j.expired || j.removed || len(j.waiting) == 0 {
		return
	}
	s.updateRank(j)
	if j.readyIndex < 0 {
		t := j.team
		heap.Push(&t.readyJobs, j)
		if len(t.readyJobs) == 1 {
			t.activeIndex = len(s.activeTeams)
			s.activeTeams = append(s.activeTeams, t)
			s.activeWeight += t.weight()
		}
	}
	if j.deadlineIndex < 0 {
		heap.Push(&s.deadlines, j)
	}
}

// updateRank sets a job's rank within its team: its arrival plus a part of its
// remaining work. So small jobs and jobs that are nearly done go first, and no
// job waits forever.
func (s *Scheduler) updateRank(j *job) {
	j.rank = j.arrival + time.Duration(s.cfg.Order.RemainingWorkWeight*float64(j.remainingWork()))
	if j.readyIndex >= 0 {
		heap.Fix(&j.team.readyJobs, j.readyIndex)
	}
}

// removeFromReady removes a job from its team's heap and the heap of deadlines.
func (s *Scheduler) removeFromReady(j *job) {
	if j.readyIndex >= 0 {
		t := j.team
		heap.Remove(&t.readyJobs, j.readyIndex)
		if len(t.readyJobs) == 0 {
			s.deactivateTeam(t)
		}
	}
	if j.deadlineIndex >= 0 {
		heap.Remove(&s.deadlines, j.deadlineIndex)
	}
}

// deactivateTeam removes a team from the list of active teams.
func (s *Scheduler) deactivateTeam(t *team) {
	last := len(s.activeTeams) - 1
	moved := s.activeTeams[last]
	s.activeTeams[t.activeIndex] = moved
	moved.activeIndex = t.activeIndex
	s.activeTeams[last] = nil
	s.activeTeams = s.activeTeams[:last]
	s.activeWeight -= t.weight()
}

// RemoveJob removes a job's waiting tasks from the queue and returns their
// indexes. Its running tasks keep their slots until they end.
func (s *Scheduler) RemoveJob(_ time.Time, key Key) []int {
	j := s.jobs[key]
	if j == nil || j.removed {
		return nil
	}
	dropped := j.waiting
	s.removeFromReady(j)
	s.countWaiting(j, -len(dropped))
	j.waiting = nil
	j.removed = true
	s.removeFromExpired(j)
	s.totals.Dropped += int64(len(dropped))
	s.dropIdleJob(j)
	return dropped
}

// removeFromExpired removes a job from the list that TakeExpired has yet to
// return.
func (s *Scheduler) removeFromExpired(j *job) {
	if j.expiredIndex < 0 {
		return
	}
	last := len(s.expired) - 1
	moved := s.expired[last]
	s.expired[j.expiredIndex] = moved
	moved.expiredIndex = j.expiredIndex
	s.expired = s.expired[:last]
	j.expiredIndex = -1
}
