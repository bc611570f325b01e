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
	// Arrive takes in a job; false refuses it.
	Arrive(now time.Duration, id int, j *Job) bool
	// Next returns the next start, and false when there is none now.
	Next(now time.Duration) (Start, bool)
	// Ended tells that a start has ended.
	Ended(now time.Duration, st Start, code result.Code, run time.Duration)
	// Drop removes the waiting tasks of a job.
	Drop(now time.Duration, id int)
	// Expired returns jobs whose deadline has passed with tasks waiting.
	Expired(now time.Duration) []int
	// Wake returns when to ask again without another event.
	Wake(now time.Duration) (time.Duration, bool)
}

// Endpoints describes the fleet of a run.
type Endpoints struct {
	Count, Slots, Domains int
}

// Name returns the name of endpoint i.
func Name(i int) string {
	return string([]byte{'e', byte('0' + i/100), byte('0' + i/10%10), byte('0' + i%10)})
}

// Domain returns the failure domain of endpoint i.
func (f Endpoints) Domain(i int) string { return string([]byte{'d', byte('0' + i%f.Domains)}) }

// Sched is the product's Scheduler as a Policy.
type Sched struct {
	*sched.Scheduler
	fleet Endpoints
}

// epoch is the time at which simulated time begins.
var epoch = time.Unix(1_000_000_000, 0)

// Time returns a simulated time as the Scheduler sees it.
func Time(d time.Duration) time.Time { return epoch.Add(d) }

// NewSched returns a Scheduler with all endpoints in service.
func NewSched(cfg sched.Config, fleet Endpoints, teams []sched.Team) *Sched {
	s := &Sched{Scheduler: sched.New(cfg, rand.New(rand.NewPCG(7, 7))), fleet: fleet}
	s.SetTeams(epoch, teams)
	for i := range fleet.Count {
		s.SetState(0, i, sched.InService)
	}
	return s
}

// SetState sets the state of endpoint i.
func (s *Sched) SetState(now time.Duration, i int, state sched.EndpointState) {
	s.SetEndpoint(Time(now), sched.Endpoint{
		Name: Name(i), FailureDomain: s.fleet.Domain(i), Slots: s.fleet.Slots, State: state,
	})
}

func keyOf(id int) sched.Key {
	var k sched.Key
	binary.BigEndian.PutUint64(k[:], uint64(id))
	return k
}

func idOf(k sched.Key) int { return int(binary.BigEndian.Uint64(k[:])) }

// Arrive implements Policy.
func (s *Sched) Arrive(now time.Duration, id int, j *Job) bool {
	waiting := make([]int, len(j.Runs))
	for i := range waiting {
		waiting[i] = i
	}
	in := sched.Job{
		Key: keyOf(id), Team: j.Team, Waiting: waiting, Deadline: Time(j.At + j.Timeout), DeclaredRuns: j.Declared,
	}
	return s.Admit(Time(now), in) == result.OK
}

// Next implements Policy.
func (s *Sched) Next(now time.Duration) (Start, bool) {
	a, ok := s.Scheduler.Next(Time(now))
	if !ok {
		return Start{}, false
	}
	n := a.Endpoint
	return Start{Job: idOf(a.Key), Index: a.Index, Endpoint: int(n[1]-'0')*100 + int(n[2]-'0')*10 + int(n[3]-'0')}, true
}

// Ended implements Policy.
func (s *Sched) Ended(now time.Duration, st Start, code result.Code, run time.Duration) {
	s.Scheduler.Ended(Time(now), keyOf(st.Job), st.Index, Name(st.Endpoint), sched.Ending{Code: code, Run: run})
}

// Drop implements Policy.
func (s *Sched) Drop(now time.Duration, id int) { s.Remove(Time(now), keyOf(id)) }

// Expired implements Policy.
func (s *Sched) Expired(now time.Duration) []int {
	var ids []int
	for _, k := range s.Scheduler.Expired(Time(now)) {
		ids = append(ids, idOf(k))
	}
	return ids
}

// Wake implements Policy.
func (s *Sched) Wake(now time.Duration) (time.Duration, bool) {
	at, ok := s.NextWake(Time(now))
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

// Reference is a plain central queue to compare with: First come first
// served, or fair between teams and then between jobs. It has no admission.
type Reference struct {
	Fair    bool
	jobs    []*queuedJob
	byID    map[int]*queuedJob
	running map[string]int
	free    []int
}

// NewReference returns a Reference whose slots are all free.
func NewReference(fleet Endpoints, fair bool) *Reference {
	r := &Reference{Fair: fair, byID: map[int]*queuedJob{}, running: map[string]int{}}
	for range fleet.Slots {
		for i := range fleet.Count {
			r.free = append(r.free, i)
		}
	}
	return r
}

// Arrive implements Policy.
func (r *Reference) Arrive(_ time.Duration, id int, j *Job) bool {
	q := &queuedJob{id: id, team: j.Team, waiting: len(j.Runs)}
	r.jobs = append(r.jobs, q)
	r.byID[id] = q
	return true
}

// Next implements Policy.
func (r *Reference) Next(time.Duration) (Start, bool) {
	if len(r.free) == 0 || len(r.jobs) == 0 {
		return Start{}, false
	}
	at := 0
	for i, q := range r.jobs {
		if r.Fair && r.before(q, r.jobs[at]) {
			at = i
		}
	}
	q := r.jobs[at]
	st := Start{Job: q.id, Index: q.next, Endpoint: r.free[0]}
	r.free = r.free[1:]
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
func (r *Reference) before(a, b *queuedJob) bool {
	if r.running[a.team] != r.running[b.team] {
		return r.running[a.team] < r.running[b.team]
	}
	return a.running < b.running
}

// Ended implements Policy.
func (r *Reference) Ended(_ time.Duration, st Start, _ result.Code, _ time.Duration) {
	q := r.byID[st.Job]
	q.running--
	r.running[q.team]--
	r.free = append(r.free, st.Endpoint)
}

// Drop implements Policy; a Reference drops nothing.
func (r *Reference) Drop(time.Duration, int) {}

// Expired implements Policy.
func (r *Reference) Expired(time.Duration) []int { return nil }

// Wake implements Policy.
func (r *Reference) Wake(time.Duration) (time.Duration, bool) { return 0, false }
