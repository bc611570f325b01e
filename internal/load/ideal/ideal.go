// Package ideal computes response times with which those measured for a trace are
// compared: without any queueing, and in a simulated fair queue over the same
// slots that knows all run times in advance.
package ideal

import (
	"container/heap"
	"slices"
	"time"

	"github.com/pomelosill/pomelosill/internal/load/trace"
)

// NoWaitResponseTime returns the response time of a job whose tasks all start at
// once: its longest run time plus the shortest network round trip.
func NoWaitResponseTime(j trace.Job, network time.Duration) time.Duration {
	return slices.Max(j.RunTimes) + network
}

// Capacity is the number of slots from a point in time on.
type Capacity struct {
	From  time.Duration
	Slots int
}

// Interval is a period of time, counted from the start of the trace.
type Interval struct {
	Start, End time.Duration
}

// Schedule is the result of simulating a trace.
type Schedule struct {
	// ResponseTimes holds the response time of each job, without network time,
	// in the order of the trace.
	ResponseTimes []time.Duration
	// TaskRuns holds the interval in which each task ran, in order of start.
	TaskRuns []Interval
}

// Overlap returns the total time that the task runs spent inside a window.
func Overlap(runs []Interval, window Interval) time.Duration {
	var sum time.Duration
	for _, r := range runs {
		inside := min(r.End, window.End) - max(r.Start, window.Start)
		sum += max(inside, 0)
	}
	return sum
}

// Simulate runs a trace through a queue that knows every run time. A free slot
// goes to the job with the fewest running tasks, or to the earliest of several
// such jobs, and within the job to the waiting task with the longest run time.
// When the capacity shrinks, running tasks still run to their end. The capacities must be sorted by From
// and begin at zero.
func Simulate(t trace.Trace, capacities []Capacity) Schedule {
	q := newQueue(t, capacities)
	for q.advance() {
		q.startTasks()
	}
	return q.schedule
}

// waitingJob is a job with tasks that have not started yet.
type waitingJob struct {
	index int
	// runTimes holds the run times of the waiting tasks in ascending order.
	runTimes []time.Duration
}

// completion is the end of a running task.
type completion struct {
	endsAt time.Duration
	job    int
}

// completionHeap is a min-heap by time of completion.
type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, k int) bool { return h[i].endsAt < h[k].endsAt }
func (h completionHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// queue is the state of the simulation.
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
	// runningByJob and remainingByJob count the running and the unfinished tasks
	// of each job.
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

// advance moves to the time of the next events and applies them. It reports
// whether there were any.
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
	var times []time.Duration
	if q.nextJob < len(q.jobs) {
		times = append(times, q.jobs[q.nextJob].Arrival)
	}
	if len(q.running) > 0 {
		times = append(times, q.running[0].endsAt)
	}
	if q.nextCapacity < len(q.capacities) {
		times = append(times, q.capacities[q.nextCapacity].From)
	}
	if len(times) == 0 {
		return 0, false
	}
	return slices.Min(times), true
}

func (q *queue) addJob(job int) {
	runTimes := slices.Clone(q.jobs[job].RunTimes)
	slices.Sort(runTimes)
	q.waiting = append(q.waiting, waitingJob{index: job, runTimes: runTimes})
}

func (q *queue) complete(c completion) {
	q.runningByJob[c.job]--
	q.remainingByJob[c.job]--
	if q.remainingByJob[c.job] == 0 {
		q.schedule.ResponseTimes[c.job] = c.endsAt - q.jobs[c.job].Arrival
	}
}

func (q *queue) startTasks() {
	for len(q.running) < q.slots && len(q.waiting) > 0 {
		q.startTask()
	}
}

func (q *queue) startTask() {
	i := q.fewestRunningIndex()
	job := &q.waiting[i]
	last := len(job.runTimes) - 1
	runTime := job.runTimes[last]
	job.runTimes = job.runTimes[:last]
	heap.Push(&q.running, completion{endsAt: q.now + runTime, job: job.index})
	q.runningByJob[job.index]++
	q.schedule.TaskRuns = append(q.schedule.TaskRuns, Interval{q.now, q.now + runTime})
	if last == 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
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
