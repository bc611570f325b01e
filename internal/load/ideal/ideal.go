// Package ideal computes what a trace could have taken at best: without any
// waiting, and in one omniscient fair queue over the same slots.
package ideal

import (
	"container/heap"
	"slices"
	"time"

	"github.com/pomelosill/pomelosill/internal/load/trace"
)

// NoWaitResponseTime is the response time of a job that waits for nothing: its longest
// task plus the least network time.
func NoWaitResponseTime(j trace.Job, network time.Duration) time.Duration {
	return slices.Max(j.RunTimes) + network
}

// Capacity is the number of slots from an instant on.
type Capacity struct {
	From  time.Duration
	Slots int
}

// Interval is one run of a task, from the start of the trace.
type Interval struct {
	Start, End time.Duration
}

// Schedule is what a queue made of a trace.
type Schedule struct {
	// ResponseTimes holds the response time of each job without network time, in
	// the order of the trace.
	ResponseTimes []time.Duration
	// TaskRuns holds each task's run.
	TaskRuns []Interval
}

// Overlap is the work of spans inside a window.
func Overlap(spans []Interval, window Interval) time.Duration {
	var sum time.Duration
	for _, s := range spans {
		inside := min(s.End, window.End) - max(s.Start, window.Start)
		sum += max(inside, 0)
	}
	return sum
}

// Simulate runs a trace through one queue that knows every run time. The next
// free slot goes to the job with the fewest running tasks, the earliest among
// equals, and there to the longest waiting task. A shrinking capacity lets
// running tasks end. The list of capacities is in rising order and begins at
// zero.
func Simulate(t trace.Trace, capacities []Capacity) Schedule {
	q := newQueue(t, capacities)
	for q.advance() {
		q.startTasks()
	}
	return q.schedule
}

// waitingJob is a job with tasks that have not started.
type waitingJob struct {
	index int
	// runTimes are the waiting tasks, the longest last.
	runTimes []time.Duration
}

// completion is a running task.
type completion struct {
	endsAt time.Duration
	job    int
}

type completionHeap []completion

func (e completionHeap) Len() int           { return len(e) }
func (e completionHeap) Less(i, k int) bool { return e[i].endsAt < e[k].endsAt }
func (e completionHeap) Swap(i, k int)      { e[i], e[k] = e[k], e[i] }
func (e *completionHeap) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completionHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type queue struct {
	jobs       []trace.Job
	capacities []Capacity
	schedule   Schedule

	now          time.Duration
	nextJob      int
	nextCapacity int
	slots        int
	waiting      []waitingJob
	running      completionHeap
	// runningByJob and leftOf count tasks by job.
	runningByJob   []int
	remainingByJob []int
}

func newQueue(t trace.Trace, capacities []Capacity) *queue {
	q := &queue{
		jobs:           t.Jobs,
		capacities:     capacities,
		schedule:       Schedule{ResponseTimes: make([]time.Duration, len(t.Jobs))},
		runningByJob:   make([]int, len(t.Jobs)),
		remainingByJob: make([]int, len(t.Jobs)),
	}
	for i, j := range t.Jobs {
		q.remainingByJob[i] = len(j.RunTimes)
	}
	return q
}

// advance moves to the next instant at which anything happens; it returns false
// when nothing is left.
func (q *queue) advance() bool {
	next, ok := q.nextEventTime()
	if !ok {
		return false
	}
	q.now = next
	for q.nextCapacity < len(q.capacities) && q.capacities[q.nextCapacity].From <= next {
		q.slots = q.capacities[q.nextCapacity].Slots
		q.nextCapacity++
	}
	for len(q.running) > 0 && q.running[0].endsAt <= next {
		q.complete(heap.Pop(&q.running).(completion))
	}
	for q.nextJob < len(q.jobs) && q.jobs[q.nextJob].Arrival <= next {
		q.addJob(q.nextJob)
		q.nextJob++
	}
	return true
}

func (q *queue) nextEventTime() (time.Duration, bool) {
	var instants []time.Duration
	if q.nextJob < len(q.jobs) {
		instants = append(instants, q.jobs[q.nextJob].Arrival)
	}
	if len(q.running) > 0 {
		instants = append(instants, q.running[0].endsAt)
	}
	if q.nextCapacity < len(q.capacities) {
		instants = append(instants, q.capacities[q.nextCapacity].From)
	}
	if len(instants) == 0 {
		return 0, false
	}
	return slices.Min(instants), true
}

func (q *queue) addJob(job int) {
	runs := slices.Clone(q.jobs[job].RunTimes)
	slices.Sort(runs)
	q.waiting = append(q.waiting, waitingJob{index: job, runTimes: runs})
}

func (q *queue) complete(e completion) {
	q.runningByJob[e.job]--
	q.remainingByJob[e.job]--
	if q.remainingByJob[e.job] == 0 {
		q.schedule.ResponseTimes[e.job] = e.endsAt - q.jobs[e.job].Arrival
	}
}

func (q *queue) startTasks() {
	for len(q.running) < q.slots && len(q.waiting) > 0 {
		q.startTask()
	}
}

func (q *queue) startTask() {
	place := q.fewestRunningIndex()
	w := &q.waiting[place]
	last := len(w.runTimes) - 1
	run := w.runTimes[last]
	w.runTimes = w.runTimes[:last]
	heap.Push(&q.running, completion{endsAt: q.now + run, job: w.index})
	q.runningByJob[w.index]++
	q.schedule.TaskRuns = append(q.schedule.TaskRuns, Interval{q.now, q.now + run})
	if last == 0 {
		q.waiting = slices.Delete(q.waiting, place, place+1)
	}
}

func (q *queue) fewestRunningIndex() int {
	best := 0
	for i, w := range q.waiting {
		if q.runningByJob[w.index] < q.runningByJob[q.waiting[best].index] {
			best = i
		}
	}
	return best
}
