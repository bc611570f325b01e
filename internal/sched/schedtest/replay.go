package schedtest

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
)

// Replay runs a trace against a policy.
type Replay struct {
	Jobs   []*Job
	Policy Policy
	// OneWayDelay is the network time between the owner and an endpoint.
	OneWayDelay time.Duration
	// Slowdown multiplies the run time on an endpoint; nil is 1.
	Slowdown func(now time.Duration, endpoint int) float64
	// Fails tells whether a task that starts on an endpoint fails at once.
	Fails func(now time.Duration, endpoint int) bool
	// Events are calls at given times, in rising order.
	Events []Event
	// Check is called after each event; nil is none.
	Check func(now time.Duration)
}

// Event is a call at a time of a Replay.
type Event struct {
	At time.Duration
	Do func(now time.Duration)
}

// failureRunTime is how long a task runs that fails at once.
const failureRunTime = 5 * time.Millisecond

// Outcome is what became of one job.
type Outcome struct {
	Job *Job
	// Response is the time from arrival to the whole answer; zero if the job
	// was refused or failed.
	Response time.Duration
	Refused  bool
	Expired  bool
}

// MetDeadline tells whether the job was answered before its deadline.
func (o *Outcome) MetDeadline() bool { return o.Response > 0 && o.Response <= o.Job.Timeout }

// ResponseRatio returns the response over the ideal without waiting, which is the
// longest task and one way to and from it.
func (o *Outcome) ResponseRatio(oneWay time.Duration) float64 {
	return float64(o.Response) / float64(o.Job.longestRunTime()+2*oneWay)
}

// Result is what a Replay gave.
type Result struct {
	Outcomes []Outcome
	// Starts is the number of starts, by endpoint.
	Starts []int
	// TaskRuns are the runs of all tasks.
	TaskRuns    []TaskRun
	oneWayDelay time.Duration
}

// TaskRun is one run of a task on a slot.
type TaskRun struct {
	Endpoint int
	From, To time.Duration
}

// WorkDone returns the work done within a span of time.
func (r *Result) WorkDone(from, to time.Duration) time.Duration {
	var sum time.Duration
	for _, sp := range r.TaskRuns {
		sum += max(0, min(sp.To, to)-max(sp.From, from))
	}
	return sum
}

// ResponseRatios returns the rising response ratios of the answered jobs of a team,
// or of all for "".
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

// ResponseSeconds returns the rising responses, in seconds, of the answered jobs of
// a team.
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

// Goodput returns the work of the jobs that arrived in a span and were
// answered before their deadline.
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

// Percentile returns the p-th percentile of rising values, 0 for none.
func Percentile(rising []float64, p float64) float64 {
	if len(rising) == 0 {
		return 0
	}
	return rising[min(len(rising)-1, int(p/100*float64(len(rising))))]
}

// simEvent is an event of the simulation.
type simEvent struct {
	at  time.Duration
	seq int
	do  func(now time.Duration)
}

type eventHeap []simEvent

func (s eventHeap) Len() int { return len(s) }
func (s eventHeap) Less(a, b int) bool {
	return cmp.Or(cmp.Compare(s[a].at, s[b].at), cmp.Compare(s[a].seq, s[b].seq)) < 0
}
func (s eventHeap) Swap(a, b int) { s[a], s[b] = s[b], s[a] }

// Push is for container/heap only.
func (s *eventHeap) Push(x any) { *s = append(*s, x.(simEvent)) }

// Pop is for container/heap only.
func (s *eventHeap) Pop() any {
	last := len(*s) - 1
	x := (*s)[last]
	*s = (*s)[:last]
	return x
}

// maxEndpoints bounds the endpoints of a Replay.
const maxEndpoints = 1000

// simulation is the state of a run.
type simulation struct {
	*Replay
	events         eventHeap
	seq            int
	remainingTasks []int
	result         *Result
	nextWakeup     time.Duration
}

// Run replays the trace until nothing is left to do.
func (r Replay) Run() *Result {
	x := &simulation{Replay: &r, remainingTasks: make([]int, len(r.Jobs)), result: &Result{
		Outcomes:    make([]Outcome, len(r.Jobs)),
		Starts:      make([]int, maxEndpoints),
		oneWayDelay: r.OneWayDelay,
	}}
	for id, j := range r.Jobs {
		x.result.Outcomes[id].Job = j
		x.remainingTasks[id] = len(j.RunTimes)
		x.schedule(j.Arrival, func(now time.Duration) { x.submit(now, id) })
	}
	for _, e := range r.Events {
		x.schedule(e.At, e.Do)
	}
	for len(x.events) > 0 {
		st := heap.Pop(&x.events).(simEvent)
		st.do(st.at)
		x.startTasks(st.at)
		if r.Check != nil {
			r.Check(st.at)
		}
	}
	return x.result
}

func (x *simulation) schedule(at time.Duration, do func(time.Duration)) {
	x.seq++
	heap.Push(&x.events, simEvent{at: at, seq: x.seq, do: do})
}

func (x *simulation) submit(now time.Duration, id int) {
	if !x.Policy.Submit(now, id, x.Jobs[id]) {
		x.result.Outcomes[id].Refused = true
	}
}

// startTasks starts what the policy wants started.
func (x *simulation) startTasks(now time.Duration) {
	for _, id := range x.Policy.TakeExpired(now) {
		x.result.Outcomes[id].Expired = true
		x.failJob(now, id)
	}
	for {
		st, ok := x.Policy.Next(now)
		if !ok {
			break
		}
		x.startTask(now, st)
	}
	if at, ok := x.Policy.WakeAt(now); ok && at > now && (x.nextWakeup <= now || at < x.nextWakeup) {
		x.nextWakeup = at
		x.schedule(at, func(time.Duration) {})
	}
}

// startTask runs one task and brings its ending back.
func (x *simulation) startTask(now time.Duration, st Start) {
	j := x.Jobs[st.Job]
	code := result.OK
	run := j.RunTimes[st.Index]
	if x.Slowdown != nil {
		run = time.Duration(float64(run) * x.Slowdown(now, st.Endpoint))
	}
	switch {
	case x.Fails != nil && x.Fails(now, st.Endpoint):
		run = failureRunTime
		code = result.TaskFailed
	case j.Fails:
		code = result.TaskFailed
	}
	from := now + x.OneWayDelay
	if left := j.Arrival + j.Timeout - from; run > left {
		run = max(left, 0)
		code = result.DeadlineAfterStart
	}
	x.result.TaskRuns = append(x.result.TaskRuns, TaskRun{Endpoint: st.Endpoint, From: from, To: from + run})
	x.result.Starts[st.Endpoint]++
	x.schedule(now+2*x.OneWayDelay+run, func(now time.Duration) {
		x.Policy.TaskEnded(now, st, code, run)
		x.taskEnded(now, st, code)
	})
}

// taskEnded counts a task's ending for its job.
func (x *simulation) taskEnded(now time.Duration, st Start, code result.Code) {
	if code != result.OK {
		x.failJob(now, st.Job)
		return
	}
	if x.remainingTasks[st.Job] < 0 {
		return
	}
	x.remainingTasks[st.Job]--
	if x.remainingTasks[st.Job] == 0 {
		x.result.Outcomes[st.Job].Response = now - x.Jobs[st.Job].Arrival
	}
}

// failJob ends a job without an answer.
func (x *simulation) failJob(now time.Duration, id int) {
	x.remainingTasks[id] = -1
	x.Policy.Cancel(now, id)
}

// PowerOfTwoChoices replays jobs without a central view: each of the entries sends
// each task at once to the one of two random endpoints to which it has fewer
// of its own tasks under way; endpoints queue in order of arrival.
func PowerOfTwoChoices(jobs []*Job, fleet Fleet, entries int, oneWay time.Duration, seed uint64) *Result {
	rnd := rand.New(rand.NewPCG(seed, 2))
	free := make([][]time.Duration, fleet.Count)
	for i := range free {
		free[i] = make([]time.Duration, fleet.Slots)
	}
	ends := make([][][]time.Duration, entries)
	for i := range ends {
		ends[i] = make([][]time.Duration, fleet.Count)
	}
	res := &Result{Outcomes: make([]Outcome, len(jobs)), oneWayDelay: oneWay}
	for id, j := range jobs {
		mine := ends[rnd.IntN(entries)]
		for _, run := range j.RunTimes {
			e := rnd.IntN(fleet.Count)
			if f := rnd.IntN(fleet.Count); inFlight(mine, f, j.Arrival) < inFlight(mine, e, j.Arrival) {
				e = f
			}
			slot := slices.Index(free[e], slices.Min(free[e]))
			end := max(j.Arrival+oneWay, free[e][slot]) + run
			free[e][slot] = end
			mine[e] = append(mine[e], end+oneWay)
			res.Outcomes[id].Response = max(res.Outcomes[id].Response, end+oneWay-j.Arrival)
		}
		res.Outcomes[id].Job = j
	}
	return res
}

// inFlight drops what has ended by now and returns how many are left.
func inFlight(mine [][]time.Duration, e int, now time.Duration) int {
	mine[e] = slices.DeleteFunc(mine[e], func(end time.Duration) bool { return end <= now })
	return len(mine[e])
}
