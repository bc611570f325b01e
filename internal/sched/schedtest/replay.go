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
	// OneWay is the network time between the owner and an endpoint.
	OneWay time.Duration
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

// failTime is how long a task runs that fails at once.
const failTime = 5 * time.Millisecond

// Outcome is what became of one job.
type Outcome struct {
	Job *Job
	// Response is the time from arrival to the whole answer; zero if the job
	// was refused or failed.
	Response time.Duration
	Refused  bool
	Expired  bool
}

// Done tells whether the job was answered before its deadline.
func (o *Outcome) Done() bool { return o.Response > 0 && o.Response <= o.Job.Timeout }

// Ratio returns the response over the ideal without waiting, which is the
// longest task and one way to and from it.
func (o *Outcome) Ratio(oneWay time.Duration) float64 {
	return float64(o.Response) / float64(o.Job.longest()+2*oneWay)
}

// Result is what a Replay gave.
type Result struct {
	Outcomes []Outcome
	// Starts is the number of starts, by endpoint.
	Starts []int
	// Spans are the runs of all tasks.
	Spans  []Span
	oneWay time.Duration
}

// Span is one run of a task on a slot.
type Span struct {
	Endpoint int
	From, To time.Duration
}

// Work returns the work done within a span of time.
func (r *Result) Work(from, to time.Duration) time.Duration {
	var sum time.Duration
	for _, sp := range r.Spans {
		sum += max(0, min(sp.To, to)-max(sp.From, from))
	}
	return sum
}

// Ratios returns the rising response ratios of the answered jobs of a team,
// or of all for "".
func (r *Result) Ratios(team string) []float64 {
	var ratios []float64
	for i := range r.Outcomes {
		o := &r.Outcomes[i]
		if o.Response > 0 && (team == "" || o.Job.Team == team) {
			ratios = append(ratios, o.Ratio(r.oneWay))
		}
	}
	slices.Sort(ratios)
	return ratios
}

// Responses returns the rising responses, in seconds, of the answered jobs of
// a team.
func (r *Result) Responses(team string) []float64 {
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
		if o.Done() && o.Job.At >= from && o.Job.At < to {
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

// step is an event of the simulation.
type step struct {
	at  time.Duration
	seq int
	do  func(now time.Duration)
}

type steps []step

func (s steps) Len() int { return len(s) }
func (s steps) Less(a, b int) bool {
	return cmp.Or(cmp.Compare(s[a].at, s[b].at), cmp.Compare(s[a].seq, s[b].seq)) < 0
}
func (s steps) Swap(a, b int) { s[a], s[b] = s[b], s[a] }

// Push is for container/heap only.
func (s *steps) Push(x any) { *s = append(*s, x.(step)) }

// Pop is for container/heap only.
func (s *steps) Pop() any {
	last := len(*s) - 1
	x := (*s)[last]
	*s = (*s)[:last]
	return x
}

// maxEndpoints bounds the endpoints of a Replay.
const maxEndpoints = 1000

// replayer is the state of a run.
type replayer struct {
	*Replay
	steps  steps
	seq    int
	left   []int
	result *Result
	wake   time.Duration
}

// Run replays the trace until nothing is left to do.
func (r Replay) Run() *Result {
	x := &replayer{Replay: &r, left: make([]int, len(r.Jobs)), result: &Result{
		Outcomes: make([]Outcome, len(r.Jobs)),
		Starts:   make([]int, maxEndpoints),
		oneWay:   r.OneWay,
	}}
	for id, j := range r.Jobs {
		x.result.Outcomes[id].Job = j
		x.left[id] = len(j.Runs)
		x.after(j.At, func(now time.Duration) { x.arrive(now, id) })
	}
	for _, e := range r.Events {
		x.after(e.At, e.Do)
	}
	for len(x.steps) > 0 {
		st := heap.Pop(&x.steps).(step)
		st.do(st.at)
		x.place(st.at)
		if r.Check != nil {
			r.Check(st.at)
		}
	}
	return x.result
}

func (x *replayer) after(at time.Duration, do func(time.Duration)) {
	x.seq++
	heap.Push(&x.steps, step{at: at, seq: x.seq, do: do})
}

func (x *replayer) arrive(now time.Duration, id int) {
	if !x.Policy.Arrive(now, id, x.Jobs[id]) {
		x.result.Outcomes[id].Refused = true
	}
}

// place starts what the policy wants started.
func (x *replayer) place(now time.Duration) {
	for _, id := range x.Policy.Expired(now) {
		x.result.Outcomes[id].Expired = true
		x.fail(now, id)
	}
	for {
		st, ok := x.Policy.Next(now)
		if !ok {
			break
		}
		x.start(now, st)
	}
	if at, ok := x.Policy.Wake(now); ok && at > now && (x.wake <= now || at < x.wake) {
		x.wake = at
		x.after(at, func(time.Duration) {})
	}
}

// start runs one task and brings its ending back.
func (x *replayer) start(now time.Duration, st Start) {
	j := x.Jobs[st.Job]
	code := result.OK
	run := j.Runs[st.Index]
	if x.Slowdown != nil {
		run = time.Duration(float64(run) * x.Slowdown(now, st.Endpoint))
	}
	switch {
	case x.Fails != nil && x.Fails(now, st.Endpoint):
		run = failTime
		code = result.TaskFailed
	case j.Fails:
		code = result.TaskFailed
	}
	from := now + x.OneWay
	if left := j.At + j.Timeout - from; run > left {
		run = max(left, 0)
		code = result.DeadlineAfterStart
	}
	x.result.Spans = append(x.result.Spans, Span{Endpoint: st.Endpoint, From: from, To: from + run})
	x.result.Starts[st.Endpoint]++
	x.after(now+2*x.OneWay+run, func(now time.Duration) {
		x.Policy.Ended(now, st, code, run)
		x.ended(now, st, code)
	})
}

// ended counts a task's ending for its job.
func (x *replayer) ended(now time.Duration, st Start, code result.Code) {
	if code != result.OK {
		x.fail(now, st.Job)
		return
	}
	if x.left[st.Job] < 0 {
		return
	}
	x.left[st.Job]--
	if x.left[st.Job] == 0 {
		x.result.Outcomes[st.Job].Response = now - x.Jobs[st.Job].At
	}
}

// fail ends a job without an answer.
func (x *replayer) fail(now time.Duration, id int) {
	x.left[id] = -1
	x.Policy.Drop(now, id)
}

// TwoChoices replays jobs without a central view: each of the entries sends
// each task at once to the one of two random endpoints to which it has fewer
// of its own tasks under way; endpoints queue in order of arrival.
func TwoChoices(jobs []*Job, fleet Endpoints, entries int, oneWay time.Duration, seed uint64) *Result {
	rnd := rand.New(rand.NewPCG(seed, 2))
	free := make([][]time.Duration, fleet.Count)
	for i := range free {
		free[i] = make([]time.Duration, fleet.Slots)
	}
	ends := make([][][]time.Duration, entries)
	for i := range ends {
		ends[i] = make([][]time.Duration, fleet.Count)
	}
	res := &Result{Outcomes: make([]Outcome, len(jobs)), oneWay: oneWay}
	for id, j := range jobs {
		mine := ends[rnd.IntN(entries)]
		for _, run := range j.Runs {
			e := rnd.IntN(fleet.Count)
			if f := rnd.IntN(fleet.Count); underWay(mine, f, j.At) < underWay(mine, e, j.At) {
				e = f
			}
			slot := slices.Index(free[e], slices.Min(free[e]))
			end := max(j.At+oneWay, free[e][slot]) + run
			free[e][slot] = end
			mine[e] = append(mine[e], end+oneWay)
			res.Outcomes[id].Response = max(res.Outcomes[id].Response, end+oneWay-j.At)
		}
		res.Outcomes[id].Job = j
	}
	return res
}

// underWay drops what has ended by now and returns how many are left.
func underWay(mine [][]time.Duration, e int, now time.Duration) int {
	mine[e] = slices.DeleteFunc(mine[e], func(end time.Duration) bool { return end <= now })
	return len(mine[e])
}
