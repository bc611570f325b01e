// Package ideal computes what a trace could have taken at best: without any
// waiting, and in one omniscient fair queue over the same slots.
package ideal

import (
	"container/heap"
	"slices"
	"time"

	"github.com/pomelosill/pomelosill/internal/load/trace"
)

// NoWait is the response time of a job that waits for nothing: its longest
// task plus the least network time.
func NoWait(j trace.Job, network time.Duration) time.Duration {
	return slices.Max(j.Runs) + network
}

// Capacity is the number of slots from an instant on.
type Capacity struct {
	From  time.Duration
	Slots int
}

// Span is one run of a task, from the start of the trace.
type Span struct {
	Start, End time.Duration
}

// Schedule is what a queue made of a trace.
type Schedule struct {
	// Responses holds the response time of each job without network time, in
	// the order of the trace.
	Responses []time.Duration
	// Spans holds each task's run.
	Spans []Span
}

// Overlap is the work of spans inside a window.
func Overlap(spans []Span, window Span) time.Duration {
	var sum time.Duration
	for _, s := range spans {
		inside := min(s.End, window.End) - max(s.Start, window.Start)
		sum += max(inside, 0)
	}
	return sum
}

// Queue runs a trace through one queue that knows every run time. The next
// free slot goes to the job with the fewest running tasks, the earliest among
// equals, and there to the longest waiting task. A shrinking capacity lets
// running tasks end. The list of capacities is in rising order and begins at
// zero.
func Queue(t trace.Trace, capacities []Capacity) Schedule {
	q := newQueue(t, capacities)
	for q.step() {
		q.startAll()
	}
	return q.schedule
}

// waitingJob is a job with tasks that have not started.
type waitingJob struct {
	index int
	// runs are the waiting tasks, the longest last.
	runs []time.Duration
}

// ending is a running task.
type ending struct {
	at  time.Duration
	job int
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, k int) bool { return e[i].at < e[k].at }
func (e endings) Swap(i, k int)      { e[i], e[k] = e[k], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type queue struct {
	jobs       []trace.Job
	capacities []Capacity
	schedule   Schedule

	now        time.Duration
	nextJob    int
	nextChange int
	slots      int
	waiting    []waitingJob
	running    endings
	// runningOf and leftOf count tasks by job.
	runningOf []int
	leftOf    []int
}

func newQueue(t trace.Trace, capacities []Capacity) *queue {
	q := &queue{
		jobs:       t.Jobs,
		capacities: capacities,
		schedule:   Schedule{Responses: make([]time.Duration, len(t.Jobs))},
		runningOf:  make([]int, len(t.Jobs)),
		leftOf:     make([]int, len(t.Jobs)),
	}
	for i, j := range t.Jobs {
		q.leftOf[i] = len(j.Runs)
	}
	return q
}

// step moves to the next instant at which anything happens; it returns false
// when nothing is left.
func (q *queue) step() bool {
	next, ok := q.nextInstant()
	if !ok {
		return false
	}
	q.now = next
	for q.nextChange < len(q.capacities) && q.capacities[q.nextChange].From <= next {
		q.slots = q.capacities[q.nextChange].Slots
		q.nextChange++
	}
	for len(q.running) > 0 && q.running[0].at <= next {
		q.end(heap.Pop(&q.running).(ending))
	}
	for q.nextJob < len(q.jobs) && q.jobs[q.nextJob].At <= next {
		q.arrive(q.nextJob)
		q.nextJob++
	}
	return true
}

func (q *queue) nextInstant() (time.Duration, bool) {
	var instants []time.Duration
	if q.nextJob < len(q.jobs) {
		instants = append(instants, q.jobs[q.nextJob].At)
	}
	if len(q.running) > 0 {
		instants = append(instants, q.running[0].at)
	}
	if q.nextChange < len(q.capacities) {
		instants = append(instants, q.capacities[q.nextChange].From)
	}
	if len(instants) == 0 {
		return 0, false
	}
	return slices.Min(instants), true
}

func (q *queue) arrive(job int) {
	runs := slices.Clone(q.jobs[job].Runs)
	slices.Sort(runs)
	q.waiting = append(q.waiting, waitingJob{index: job, runs: runs})
}

func (q *queue) end(e ending) {
	q.runningOf[e.job]--
	q.leftOf[e.job]--
	if q.leftOf[e.job] == 0 {
		q.schedule.Responses[e.job] = e.at - q.jobs[e.job].At
	}
}

func (q *queue) startAll() {
	for len(q.running) < q.slots && len(q.waiting) > 0 {
		q.startNext()
	}
}

func (q *queue) startNext() {
	place := q.fewestRunning()
	w := &q.waiting[place]
	last := len(w.runs) - 1
	run := w.runs[last]
	w.runs = w.runs[:last]
	heap.Push(&q.running, ending{at: q.now + run, job: w.index})
	q.runningOf[w.index]++
	q.schedule.Spans = append(q.schedule.Spans, Span{q.now, q.now + run})
	if last == 0 {
		q.waiting = slices.Delete(q.waiting, place, place+1)
	}
}

func (q *queue) fewestRunning() int {
	best := 0
	for i, w := range q.waiting {
		if q.runningOf[w.index] < q.runningOf[q.waiting[best].index] {
			best = i
		}
	}
	return best
}
