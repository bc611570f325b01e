package sched

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
)

// Scheduler is the queue and the slots of one cell. It is not safe for
// concurrent use; nothing in it blocks.
type Scheduler struct {
	cfg Config
	rnd *rand.Rand
	// first and now are the first and the latest time that a caller passed.
	first     time.Time
	now       time.Time
	endpoints map[string]*endpoint
	// domains are in the order in which they were first seen.
	domains []*domain
	teams   map[string]*team
	jobs    map[Key]*job
	// active holds the teams with jobs that are ready, activeWeight is the sum
	// of their weights.
	active       []*team
	activeWeight int
	deadlines    deadlineHeap
	// expired holds the jobs past their deadline that Expired has yet to
	// hand out.
	expired []*job
	wakes   wakeHeap
	// roomy is how many endpoints have room.
	roomy int
	runs  runTimes

	waiting int
	running int
	// long is how many of the running tasks, and longDemand how many of the
	// waiting and running ones, are of teams with long tasks.
	long       int
	longDemand int
	// short is the recent peak of the others' waiting and running tasks.
	short peak
	// usable is the sum over the domains, usableBusy the running tasks on
	// those endpoints.
	usable     int
	usableBusy int
	// inService and out are the slots in service, and those of them on
	// endpoints that are ejected or probed.
	inService int
	out       int
	seq       uint64
	served    uint64
	// budget is how many tasks may be queued again.
	budget float64
	counts Totals
	// fault is the first broken invariant, audited when Audit last looked.
	fault   error
	audited time.Time
}

// New returns an empty Scheduler. The configuration must be valid.
func New(cfg Config, rnd *rand.Rand) *Scheduler {
	return &Scheduler{
		cfg:       cfg,
		rnd:       rnd,
		endpoints: map[string]*endpoint{},
		teams:     map[string]*team{},
		jobs:      map[Key]*job{},
		budget:    cfg.Retry.Burst,
	}
}

// SetTeams replaces the teams. Jobs of a team that is no longer among them
// are still served, under its last rules.
func (s *Scheduler) SetTeams(_ time.Time, teams []Team) {
	for _, t := range s.teams {
		t.known = false
	}
	for _, in := range teams {
		t := s.team(in.Name)
		if len(t.ready) > 0 {
			s.activeWeight += max(in.Weight, 1) - t.weight()
		}
		t.Team = in
		t.known = true
		t.setLevel()
	}
	for _, t := range s.teams {
		s.dropIdleTeam(t)
	}
}

// team returns the team of that name, made if need be.
func (s *Scheduler) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{Team: Team{Name: name, Weight: 1}, long: true}
		s.teams[name] = t
	}
	return t
}

// dropIdleTeam forgets a team without quota and jobs.
func (s *Scheduler) dropIdleTeam(t *team) {
	if !t.known && t.jobs == 0 {
		delete(s.teams, t.Name)
	}
}

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

// Expired returns the jobs with waiting tasks whose deadline has passed since
// the last call. None of their tasks starts any more; the caller removes
// them.
func (s *Scheduler) Expired(now time.Time) []Key {
	s.expire(now)
	if len(s.expired) == 0 {
		return nil
	}
	keys := make([]Key, 0, len(s.expired))
	for _, j := range s.expired {
		keys = append(keys, j.key)
		j.expiredAt = -1
	}
	s.expired = s.expired[:0]
	return keys
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

// expire takes jobs whose deadline has passed off the heaps.
func (s *Scheduler) expire(now time.Time) {
	for len(s.deadlines) > 0 && !now.Before(s.deadlines[0].deadline) {
		j := s.deadlines[0]
		s.unready(j)
		j.expired = true
		j.expiredAt = len(s.expired)
		s.expired = append(s.expired, j)
	}
}

// advance applies what the passing of time changes.
func (s *Scheduler) advance(now time.Time) {
	s.tick(now)
	s.expire(now)
	for len(s.wakes) > 0 && !s.now.Before(s.wakes[0].wake) {
		s.place(s.wakes[0])
	}
}

// tick notes the time; it never goes back.
func (s *Scheduler) tick(now time.Time) {
	if s.first.IsZero() {
		s.first = now
	}
	if now.After(s.now) {
		s.now = now
	}
}

// NextWake returns the next instant at which Next or Expired may have
// something new without another event, and false when there is none.
func (s *Scheduler) NextWake(now time.Time) (time.Time, bool) {
	if len(s.expired) > 0 {
		return now, true
	}
	var wake time.Time
	if len(s.deadlines) > 0 {
		wake = s.deadlines[0].deadline
	}
	if len(s.active) > 0 && len(s.wakes) > 0 {
		if first := s.wakes[0].wake; wake.IsZero() || first.Before(wake) {
			wake = first
		}
	}
	return wake, !wake.IsZero()
}
