package schedtest

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
)

// Replay runs a trace against a policy in simulated time.
type Replay struct {
	Jobs   []*Job
	Policy Policy
	// OneWayDelay is the network delay between the owner of the cell and an
	// endpoint.
	OneWayDelay time.Duration
	// Slowdown returns the factor by which the run time on an endpoint is
	// multiplied; nil means 1.
	Slowdown func(now time.Duration, endpoint int) float64
	// Fails reports whether a task that starts on an endpoint fails at once.
	Fails func(now time.Duration, endpoint int) bool
	// Events are calls to make at given times, in ascending order.
	Events []Event
	// Check is called after each event, unless it is nil.
	Check func(now time.Duration)
}

// Event is a call at a given time of a Replay.
type Event struct {
	At time.Duration
	Do func(now time.Duration)
}

// failureRunTime is how long a task runs that fails at once.
const failureRunTime = 5 * time.Millisecond

// Outcome is the result of one job.
type Outcome struct {
	Job *Job
	// Response is the time from the job's arrival to its complete answer; zero
	// if the job was refused or failed.
	Response time.Duration
	Refused  bool
	Expired  bool
}

// MetDeadline reports whether the job was answered before its deadline.
func (o *Outcome) MetDeadline() bool { return o.Response > 0 && o.Response <= o.Job.Timeout }

// ResponseRatio returns the response time over the ideal one without waiting,
// which is the run time of the longest task and the network delay there and
// back.
func (o *Outcome) ResponseRatio(oneWayDelay time.Duration) float64 {
	return float64(o.Response) / float64(o.Job.longestRunTime()+2*oneWayDelay)
}

// Result holds the results of a Replay.
type Result struct {
	Outcomes []Outcome
	// Starts is the number of started tasks by endpoint.
	Starts []int
	// TaskRuns lists when and where each started task ran.
	TaskRuns    []TaskRun
	oneWayDelay time.Duration
}

// TaskRun is one run of a task on an endpoint.
type TaskRun struct {
	Endpoint int
	From, To time.Duration
}

// WorkDone returns the total run time between two times.
func (r *Result) WorkDone(from, to time.Duration) time.Duration {
	var sum time.Duration
	for _, run := range r.TaskRuns {
		sum += max(0, min(run.To, to)-max(run.From, from))
	}
	return sum
}

// ResponseRatios returns the response ratios, in ascending order, of the
// answered jobs of a team, or of all teams for "".
func (r *Result) ResponseRatios(team string) []float64 {
	var ratios []float64
	for i := range r.Outcomes {
		o := &r.Outcomes[i]
		if o.Response > 0 && (team == "" || o.Job.Team == team) {
			ratios = append(ratios, o.ResponseRatio(r.oneWayDelay))
		}
	}
	slices.Sort(ratios)
	return ratios
}

// ResponseSeconds returns the response times in seconds, in ascending order, of
// the answered jobs of a team.
func (r *Result) ResponseSeconds(team string) []float64 {
	var seconds []float64
	for i := range r.Outcomes {
		o := &r.Outcomes[i]
		if o.Response > 0 && o.Job.Team == team {
			seconds = append(seconds, o.Response.Seconds())
		}
	}
	slices.Sort(seconds)
	return seconds
}

// Goodput returns the total run time of the jobs that arrived between two times
// and were answered before their deadline.
func (r *Result) Goodput(from, to time.Duration) time.Duration {
	var sum time.Duration
	for i := range r.Outcomes {
		o := &r.Outcomes[i]
		if o.MetDeadline() && o.Job.Arrival >= from && o.Job.Arrival < to {
			sum += o.Job.work()
		}
	}
	return sum
}

// Percentile returns the p-th percentile of values in ascending order, or 0 if
// there are none.
func Percentile(ascending []float64, p float64) float64 {
	if len(ascending) == 0 {
		return 0
	}
	return ascending[min(len(ascending)-1, int(p/100*float64(len(ascending))))]
}

// simEvent is an event of the simulation.
type simEvent struct {
	at  time.Duration
	seq int
	do  func(now time.Duration)
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(a, b int) bool {
	return cmp.Or(cmp.Compare(h[a].at, h[b].at), cmp.Compare(h[a].seq, h[b].seq)) < 0
}
func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(simEvent)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	event := (*h)[last]
	*h = (*h)[:last]
	return event
}

// maxEndpoints limits the endpoints of a Replay.
const maxEndpoints = 1000

// simulation is the state of a Replay in progress.
type simulation struct {
	*Replay
	events         eventHeap
	seq            int
	remainingTasks []int
	result         *Result
	nextWakeup     time.Duration
}

// Run replays the trace until no event is left.
func (r Replay) Run() *Result {
	s := &simulation{Replay: &r, remainingTasks: make([]int, len(r.Jobs)), result: &Result{
		Outcomes:    make([]Outcome, len(r.Jobs)),
		Starts:      make([]int, maxEndpoints),
		oneWayDelay: r.OneWayDelay,
	}}
	for id, j := range r.Jobs {
		s.result.Outcomes[id].Job = j
		s.remainingTasks[id] = len(j.RunTimes)
		s.schedule(j.Arrival, func(now time.Duration) { s.submit(now, id) })
	}
	for _, e := range r.Events {
		s.schedule(e.At, e.Do)
	}
	for len(s.events) > 0 {
		event := heap.Pop(&s.events).(simEvent)
		event.do(event.at)
		s.startTasks(event.at)
		if r.Check != nil {
			r.Check(event.at)
		}
	}
	return s.result
}

func (s *simulation) schedule(at time.Duration, do func(time.Duration)) {
	s.seq++
	heap.Push(&s.events, simEvent{at: at, seq: s.seq, do: do})
}

func (s *simulation) submit(now time.Duration, id int) {
	if !s.Policy.Submit(now, id, s.Jobs[id]) {
		s.result.Outcomes[id].Refused = true
	}
}

// startTasks fails the expired jobs, starts the tasks that the policy chooses,
// and schedules the policy's next wakeup.
func (s *simulation) startTasks(now time.Duration) {
	for _, id := range s.Policy.TakeExpired(now) {
		s.result.Outcomes[id].Expired = true
		s.failJob(now, id)
	}
	for {
		st, ok := s.Policy.Next(now)
		if !ok {
			break
		}
		s.startTask(now, st)
	}
	if at, ok := s.Policy.WakeAt(now); ok && at > now && (s.nextWakeup <= now || at < s.nextWakeup) {
		s.nextWakeup = at
		s.schedule(at, func(time.Duration) {})
	}
}

// startTask starts one task and schedules its end.
func (s *simulation) startTask(now time.Duration, st Start) {
	j := s.Jobs[st.Job]
	code := result.OK
	runTime := j.RunTimes[st.Index]
	if s.Slowdown != nil {
		runTime = time.Duration(float64(runTime) * s.Slowdown(now, st.Endpoint))
	}
	switch {
	case s.Fails != nil && s.Fails(now, st.Endpoint):
		runTime = failureRunTime
		code = result.TaskFailed
	case j.Fails:
		code = result.TaskFailed
	}
	from := now + s.OneWayDelay
	if timeLeft := j.Arrival + j.Timeout - from; runTime > timeLeft {
		runTime = max(timeLeft, 0)
		code = result.DeadlineAfterStart
	}
	s.result.TaskRuns = append(s.result.TaskRuns, TaskRun{Endpoint: st.Endpoint, From: from, To: from + runTime})
	s.result.Starts[st.Endpoint]++
	s.schedule(now+2*s.OneWayDelay+runTime, func(now time.Duration) {
		s.Policy.TaskEnded(now, st, code, runTime)
		s.taskEnded(now, st, code)
	})
}

// taskEnded updates the task's job when the task has ended.
func (s *simulation) taskEnded(now time.Duration, st Start, code result.Code) {
	if code != result.OK {
		s.failJob(now, st.Job)
		return
	}
	if s.remainingTasks[st.Job] < 0 {
		return
	}
	s.remainingTasks[st.Job]--
	if s.remainingTasks[st.Job] == 0 {
		s.result.Outcomes[st.Job].Response = now - s.Jobs[st.Job].Arrival
	}
}

// failJob fails a job and cancels its waiting tasks.
func (s *simulation) failJob(now time.Duration, id int) {
	s.remainingTasks[id] = -1
	s.Policy.Cancel(now, id)
}

// PowerOfTwoChoices replays jobs without a central queue: an entry, chosen at
// random for each job, sends each task at once to one of two random endpoints,
// the one on which it has fewer of its own tasks in flight. Endpoints run tasks
// in order of arrival.
func PowerOfTwoChoices(jobs []*Job, fleet Fleet, entries int, delay time.Duration, seed uint64) *Result {
	rnd := rand.New(rand.NewPCG(seed, 2))
	freeAt := make([][]time.Duration, fleet.Count)
	for i := range freeAt {
		freeAt[i] = make([]time.Duration, fleet.Slots)
	}
	endsByEntry := make([][][]time.Duration, entries)
	for i := range endsByEntry {
		endsByEntry[i] = make([][]time.Duration, fleet.Count)
	}
	res := &Result{Outcomes: make([]Outcome, len(jobs)), oneWayDelay: delay}
	for id, j := range jobs {
		own := endsByEntry[rnd.IntN(entries)]
		for _, runTime := range j.RunTimes {
			e := rnd.IntN(fleet.Count)
			if f := rnd.IntN(fleet.Count); inFlight(own, f, j.Arrival) < inFlight(own, e, j.Arrival) {
				e = f
			}
			slot := slices.Index(freeAt[e], slices.Min(freeAt[e]))
			end := max(j.Arrival+delay, freeAt[e][slot]) + runTime
			freeAt[e][slot] = end
			own[e] = append(own[e], end+delay)
			res.Outcomes[id].Response = max(res.Outcomes[id].Response, end+delay-j.Arrival)
		}
		res.Outcomes[id].Job = j
	}
	return res
}

// inFlight removes the tasks that have ended by now and returns the number of
// remaining ones.
func inFlight(own [][]time.Duration, e int, now time.Duration) int {
	own[e] = slices.DeleteFunc(own[e], func(end time.Duration) bool { return end <= now })
	return len(own[e])
}
