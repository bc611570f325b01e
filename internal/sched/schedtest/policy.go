package schedtest

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/sched"
)

// Start is the start of one task, as decided by a policy.
type Start struct {
	Job      int
	Index    int
	Endpoint int
}

// Policy assigns tasks to endpoints. Jobs are identified by their index in the
// trace, endpoints by number.
type Policy interface {
	// Submit submits a job; it returns false if the job is refused.
	Submit(now time.Duration, id int, j *Job) bool
	// Next returns the next start, and false if there is none now.
	Next(now time.Duration) (Start, bool)
	// TaskEnded reports that a started task has ended.
	TaskEnded(now time.Duration, st Start, code result.Code, runTime time.Duration)
	// Cancel removes the waiting tasks of a job.
	Cancel(now time.Duration, id int)
	// TakeExpired returns the jobs whose deadline has passed with tasks
	// waiting.
	TakeExpired(now time.Duration) []int
	// WakeAt returns when to call Next again if no other event occurs
	// earlier, and false if there is no such time.
	WakeAt(now time.Duration) (time.Duration, bool)
}

// Fleet describes the endpoints of a simulation.
type Fleet struct {
	Count, Slots, Domains int
}

// EndpointName returns the name of endpoint i.
func EndpointName(i int) string {
	return string([]byte{'e', byte('0' + i/100), byte('0' + i/10%10), byte('0' + i%10)})
}

// Domain returns the failure domain of endpoint i.
func (f Fleet) Domain(i int) string { return string([]byte{'d', byte('0' + i%f.Domains)}) }

// SchedulerPolicy is a Policy that is decided by a sched.Scheduler.
type SchedulerPolicy struct {
	*sched.Scheduler
	fleet Fleet
}

// epoch is the time at which simulations start.
var epoch = time.Unix(1_000_000_000, 0)

// SimTime converts a simulated time to the time that the Scheduler is passed.
func SimTime(d time.Duration) time.Time { return epoch.Add(d) }

// NewSchedulerPolicy returns a SchedulerPolicy with all endpoints in service.
func NewSchedulerPolicy(cfg sched.Config, fleet Fleet, teams []sched.Team) *SchedulerPolicy {
	s := &SchedulerPolicy{Scheduler: sched.New(cfg, rand.New(rand.NewPCG(7, 7))), fleet: fleet}
	s.SetTeams(epoch, teams)
	for i := range fleet.Count {
		s.SetEndpointState(0, i, sched.InService)
	}
	return s
}

// SetEndpointState sets the state of endpoint i.
func (s *SchedulerPolicy) SetEndpointState(now time.Duration, i int, state sched.EndpointState) {
	s.SetEndpoint(SimTime(now), sched.Endpoint{
		Name: EndpointName(i), FailureDomain: s.fleet.Domain(i), Slots: s.fleet.Slots, State: state,
	})
}

func jobKey(id int) sched.Key {
	var k sched.Key
	binary.BigEndian.PutUint64(k[:], uint64(id))
	return k
}

func jobID(k sched.Key) int { return int(binary.BigEndian.Uint64(k[:])) }

// Submit implements Policy.
func (s *SchedulerPolicy) Submit(now time.Duration, id int, j *Job) bool {
	waiting := make([]int, len(j.RunTimes))
	for i := range waiting {
		waiting[i] = i
	}
	in := sched.Job{
		Key: jobKey(id), Team: j.Team, Waiting: waiting, Deadline: SimTime(j.Arrival + j.Timeout), DeclaredRunTimes: j.DeclaredRunTimes,
	}
	return s.Admit(SimTime(now), in) == result.OK
}

// Next implements Policy.
func (s *SchedulerPolicy) Next(now time.Duration) (Start, bool) {
	a, ok := s.Scheduler.Next(SimTime(now))
	if !ok {
		return Start{}, false
	}
	name := a.Endpoint
	return Start{Job: jobID(a.Key), Index: a.Index, Endpoint: int(name[1]-'0')*100 + int(name[2]-'0')*10 + int(name[3]-'0')}, true
}

// TaskEnded implements Policy.
func (s *SchedulerPolicy) TaskEnded(now time.Duration, st Start, code result.Code, runTime time.Duration) {
	s.Scheduler.TaskEnded(SimTime(now), jobKey(st.Job), st.Index, EndpointName(st.Endpoint), sched.Completion{Code: code, RunTime: runTime})
}

// Cancel implements Policy.
func (s *SchedulerPolicy) Cancel(now time.Duration, id int) { s.RemoveJob(SimTime(now), jobKey(id)) }

// TakeExpired implements Policy.
func (s *SchedulerPolicy) TakeExpired(now time.Duration) []int {
	var ids []int
	for _, k := range s.Scheduler.TakeExpired(SimTime(now)) {
		ids = append(ids, jobID(k))
	}
	return ids
}

// WakeAt implements Policy.
func (s *SchedulerPolicy) WakeAt(now time.Duration) (time.Duration, bool) {
	at, ok := s.NextWakeup(SimTime(now))
	return at.Sub(epoch), ok
}

// queuedJob is a job in a CentralQueue.
type queuedJob struct {
	id      int
	team    string
	waiting int
	next    int
	running int
}

// CentralQueue is a simple central queue to compare with: first come first
// served or, if Fair, fair between teams and then between jobs. It admits every
// job.
type CentralQueue struct {
	Fair      bool
	jobs      []*queuedJob
	byID      map[int]*queuedJob
	running   map[string]int
	freeSlots []int
}

// NewCentralQueue returns a CentralQueue whose slots are all free.
func NewCentralQueue(fleet Fleet, fair bool) *CentralQueue {
	c := &CentralQueue{Fair: fair, byID: map[int]*queuedJob{}, running: map[string]int{}}
	for range fleet.Slots {
		for i := range fleet.Count {
			c.freeSlots = append(c.freeSlots, i)
		}
	}
	return c
}

// Submit implements Policy.
func (c *CentralQueue) Submit(_ time.Duration, id int, j *Job) bool {
	q := &queuedJob{id: id, team: j.Team, waiting: len(j.RunTimes)}
	c.jobs = append(c.jobs, q)
	c.byID[id] = q
	return true
}

// Next implements Policy.
func (c *CentralQueue) Next(time.Duration) (Start, bool) {
	if len(c.freeSlots) == 0 || len(c.jobs) == 0 {
		return Start{}, false
	}
	first := 0
	for i, q := range c.jobs {
		if c.Fair && c.before(q, c.jobs[first]) {
			first = i
		}
	}
	q := c.jobs[first]
	st := Start{Job: q.id, Index: q.next, Endpoint: c.freeSlots[0]}
	c.freeSlots = c.freeSlots[1:]
	q.next++
	q.waiting--
	q.running++
	c.running[q.team]++
	if q.waiting == 0 {
		c.jobs = append(c.jobs[:first], c.jobs[first+1:]...)
	}
	return st, true
}

// before reports whether a goes before b.
func (c *CentralQueue) before(a, b *queuedJob) bool {
	if c.running[a.team] != c.running[b.team] {
		return c.running[a.team] < c.running[b.team]
	}
	return a.running < b.running
}

// TaskEnded implements Policy.
func (c *CentralQueue) TaskEnded(_ time.Duration, st Start, _ result.Code, _ time.Duration) {
	q := c.byID[st.Job]
	q.running--
	c.running[q.team]--
	c.freeSlots = append(c.freeSlots, st.Endpoint)
}

// Cancel implements Policy; a CentralQueue removes nothing.
func (c *CentralQueue) Cancel(time.Duration, int) {}

// TakeExpired implements Policy.
func (c *CentralQueue) TakeExpired(time.Duration) []int { return nil }

// WakeAt implements Policy.
func (c *CentralQueue) WakeAt(time.Duration) (time.Duration, bool) { return 0, false }
