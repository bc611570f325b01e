package sched

import (
	"container/heap"
	"time"
)

// Restore queues a job after a takeover, without the limits of Admit. It may
// come before or after Occupy calls for tasks of the same job. The Scheduler
// keeps j.Waiting.
func (s *Scheduler) Restore(now time.Time, j Job) {
	s.tick(now)
	old := s.jobs[j.Key]
	if old != nil && (old.removed || len(old.waiting) > 0) {
		s.failf("job %x restored twice", j.Key)
		return
	}
	s.queue(j)
}

// queue puts a job's waiting tasks into the queue.
func (s *Scheduler) queue(in Job) {
	if len(in.Waiting) == 0 && s.jobs[in.Key] == nil {
		return
	}
	j := s.job(in.Key, in.Team)
	s.moveTo(j, s.team(in.Team))
	j.deadline = in.Deadline
	j.declared = in.Declared
	j.expected = s.expect(j.team, in.Declared)
	j.waiting = in.Waiting
	sortByDeclared(j.waiting, in.DeclaredRuns)
	j.since = s.now.Sub(s.first)
	s.countWaiting(j, len(in.Waiting))
	s.makeReady(j)
}

// job returns the job with that key, made if need be.
func (s *Scheduler) job(key Key, teamName string) *job {
	j := s.jobs[key]
	if j == nil {
		t := s.team(teamName)
		s.seq++
		j = &job{key: key, team: t, seq: s.seq, readyAt: -1, deadlineAt: -1, expiredAt: -1}
		s.jobs[key] = j
		t.jobs++
	}
	return j
}

// moveTo gives a job without waiting tasks to another team. Occupy may not
// have known the job's team.
func (s *Scheduler) moveTo(j *job, t *team) {
	if j.team == t {
		return
	}
	old := j.team
	s.countRunning(old, -len(j.running))
	old.jobs--
	s.countRunning(t, len(j.running))
	t.jobs++
	j.team = t
	s.dropIdleTeam(old)
}

// dropIdleJob forgets a job without waiting and running tasks.
func (s *Scheduler) dropIdleJob(j *job) {
	if len(j.waiting) > 0 || len(j.running) > 0 {
		return
	}
	delete(s.jobs, j.key)
	j.team.jobs--
	s.dropIdleTeam(j.team)
}

// makeReady puts a job with waiting tasks into its team's heap and the heap
// of deadlines, unless it is there.
func (s *Scheduler) makeReady(j *job) {
	if j.expired || j.removed || len(j.waiting) == 0 {
		return
	}
	s.rank(j)
	if j.readyAt < 0 {
		t := j.team
		heap.Push(&t.ready, j)
		if len(t.ready) == 1 {
			t.activeAt = len(s.active)
			s.active = append(s.active, t)
			s.activeWeight += t.weight()
		}
	}
	if j.deadlineAt < 0 {
		heap.Push(&s.deadlines, j)
	}
}

// rank sets a job's place among its team's: by its age, put back by a share
// of its remaining work, so that small jobs and those that are nearly done go
// first and none waits for ever.
func (s *Scheduler) rank(j *job) {
	j.rank = j.since + time.Duration(s.cfg.Order.WorkWeight*float64(j.remaining()))
	if j.readyAt >= 0 {
		heap.Fix(&j.team.ready, j.readyAt)
	}
}

// unready takes a job out of its team's heap and the heap of deadlines.
func (s *Scheduler) unready(j *job) {
	if j.readyAt >= 0 {
		t := j.team
		heap.Remove(&t.ready, j.readyAt)
		if len(t.ready) == 0 {
			s.deactivate(t)
		}
	}
	if j.deadlineAt >= 0 {
		heap.Remove(&s.deadlines, j.deadlineAt)
	}
}

// deactivate takes a team off the list of active teams.
func (s *Scheduler) deactivate(t *team) {
	last := len(s.active) - 1
	moved := s.active[last]
	s.active[t.activeAt] = moved
	moved.activeAt = t.activeAt
	s.active[last] = nil
	s.active = s.active[:last]
	s.activeWeight -= t.weight()
}

// Remove takes a job's waiting tasks out of the queue and returns their
// indexes. Its running tasks keep their slots until they end.
func (s *Scheduler) Remove(_ time.Time, key Key) []int {
	j := s.jobs[key]
	if j == nil || j.removed {
		return nil
	}
	dropped := j.waiting
	s.unready(j)
	s.countWaiting(j, -len(dropped))
	j.waiting = nil
	j.removed = true
	s.unlist(j)
	s.counts.Dropped += int64(len(dropped))
	s.dropIdleJob(j)
	return dropped
}

// unlist takes a job off the list of those that Expired has yet to hand out.
func (s *Scheduler) unlist(j *job) {
	if j.expiredAt < 0 {
		return
	}
	last := len(s.expired) - 1
	moved := s.expired[last]
	s.expired[j.expiredAt] = moved
	moved.expiredAt = j.expiredAt
	s.expired = s.expired[:last]
	j.expiredAt = -1
}
