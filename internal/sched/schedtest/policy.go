package schedtest

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/sched"
)

// Start is one start that a policy decided on.
type Start struct {
	Job      int
	Index    int
	Endpoint int
}

// Policy places the tasks of jobs, which are named by their place in the
// trace, on endpoints, which are named by number.
type Policy interface {
	// Submit takes in a job; false refuses it.
	Submit(now time.Duration, id int, j *Job) bool
	// Next returns the next start, and false when there is none now.
	Next(now time.Duration) (Start, bool)
	// TaskEnded tells that a start has ended.
	TaskEnded(now time.Duration, st Start, code result.Code, run time.Duration)
	// Cancel removes the waiting tasks of a job.
	Cancel(now time.Duration, id int)
	// TakeExpired returns jobs whose deadline has passed with tasks waiting.
	TakeExpired(now time.Duration) []int
	// WakeAt returns when to ask again without another event.
	WakeAt(now time.Duration) (time.Duration, bool)
}

// Fleet describes the fleet of a run.
type Fleet struct {
	Count, Slots, Domains int
}

// EndpointName returns the name of endpoint i.
func EndpointName(i int) string {
	return string([]byte{'e', byte('0' + i/100), byte('0' + i/10%10), byte('0' + i%10)})
}

// Domain returns the failure domain of endpoint i.
func (f Fleet) Domain(i int) string { return string([]byte{'d', byte('0' + i%f.Domains)}) }

// SchedulerPolicy is the product's Scheduler as a Policy.
type SchedulerPolicy struct {
	*sched.Scheduler
	fleet Fleet
}

// epoch is the time at which simulated time begins.
var epoch = time.Unix(1_000_000_000, 0)

// SimTime returns a simulated time as the Scheduler sees it.
func SimTime(d time.Duration) time.Time { return epoch.Add(d) }

// NewSchedulerPolicy returns a Scheduler with all endpoints in service.
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
	n := a.Endpoint
	return Start{Job: jobID(a.Key), Index: a.Index, Endpoint: int(n[1]-'0')*100 + int(n[2]-'0')*10 + int(n[3]-'0')}, true
}

// TaskEnded implements Policy.
func (s *SchedulerPolicy) TaskEnded(now time.Duration, st Start, code result.Code, run time.Duration) {
	s.Scheduler.TaskEnded(SimTime(now), jobKey(st.Job), st.Index, EndpointName(st.Endpoint), sched.Completion{Code: code, RunTime: run})
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

// queuedJob is a job in the queue of a Reference.
type queuedJob struct {
	id      int
	team    string
	waiting int
	next    int
	running int
}

// CentralQueue is a plain central queue to compare with: First come first
// served, or fair between teams and then between jobs. It has no admission.
type CentralQueue struct {
	Fair      bool
	jobs      []*queuedJob
	byID      map[int]*queuedJob
	running   map[string]int
	freeSlots []int
}

// NewCentralQueue returns a Reference whose slots are all free.
func NewCentralQueue(fleet Fleet, fair bool) *CentralQueue {
	r := &CentralQueue{Fair: fair, byID: map[int]*queuedJob{}, running: map[string]int{}}
	for range fleet.Slots {
		for i := range fleet.Count {
			r.freeSlots = append(r.freeSlots, i)
		}
	}
	return r
}

// Submit implements Policy.
func (r *CentralQueue) Submit(_ time.Duration, id int, j *Job) bool {
	q := &queuedJob{id: id, team: j.Team, waiting: len(j.RunTimes)}
	r.jobs = append(r.jobs, q)
	r.byID[id] = q
	return true
}

// Next implements Policy.
func (r *CentralQueue) Next(time.Duration) (Start, bool) {
	if len(r.freeSlots) == 0 || len(r.jobs) == 0 {
		return Start{}, false
	}
	at := 0
	for i, q := range r.jobs {
		if r.Fair && r.before(q, r.jobs[at]) {
			at = i
		}
	}
	q := r.jobs[at]
	st := Start{Job: q.id, Index: q.next, Endpoint: r.freeSlots[0]}
	r.freeSlots = r.freeSlots[1:]
	q.next++
	q.waiting--
	q.running++
	r.running[q.team]++
	if q.waiting == 0 {
		r.jobs = append(r.jobs[:at], r.jobs[at+1:]...)
	}
	return st, true
}

// before tells whether a goes before b; the list is in order of age.
func (r *CentralQueue) before(a, b *queuedJob) bool {
	if r.running[a.team] != r.running[b.team] {
		return r.running[a.team] < r.running[b.team]
	}
	return a.running < b.running
}

// TaskEnded implements Policy.
func (r *CentralQueue) TaskEnded(_ time.Duration, st Start, _ result.Code, _ time.Duration) {
	q := r.byID[st.Job]
	q.running--
	r.running[q.team]--
	r.freeSlots = append(r.freeSlots, st.Endpoint)
}

// Cancel implements Policy; a Reference drops nothing.
func (r *CentralQueue) Cancel(time.Duration, int) {}

// TakeExpired implements Policy.
func (r *CentralQueue) TakeExpired(time.Duration) []int { return nil }

// WakeAt implements Policy.
func (r *CentralQueue) WakeAt(time.Duration) (time.Duration, bool) { return 0, false }
