package dispatch

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/placement"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform"
)

// taskState is how far a task has come.
type taskState int

const (
	// taskBlocked: an earlier step is not done.
	taskBlocked taskState = iota
	// taskQueued: it looks for room.
	taskQueued
	// taskPlaced: a run was ordered and has not ended.
	taskPlaced
	// taskDone: a run ended well.
	taskDone
)

// task is one task of a job.
type task struct {
	job   *job
	id    workload.TaskID
	name  string
	state taskState
	// attempt is the number of the last run.
	attempt uint64
	// runnerName is where the last run was placed.
	runnerName string
	placedAt   time.Duration
	failures   int
	// moving is set while the run is being stopped to start elsewhere.
	moving bool
	// moves counts the runs that were stopped to start elsewhere.
	moves int
}

func (t *task) runID() workload.RunID { return workload.RunID{Task: t.name, Attempt: t.attempt} }

// job is one job that has been taken in and not answered.
type job struct {
	spec      *workload.Job
	route     policy.Route
	arrivedAt time.Duration
	// deadline is when the caller stops waiting.
	deadline  time.Duration
	objective time.Duration
	tasks     [][]*task
	// openTasks counts tasks that are not done, by step.
	openTasks []int
	// mayHaveRun is set once a run has, or may have, begun.
	mayHaveRun bool
	avoid      map[string]bool
	answer     chan platform.Answer
	answered   bool
	// callerCount is how many requests wait for the answer.
	callerCount int
}

// answerBuffer is room for one answer per job; callers share it.
const answerBuffer = 1

func newJob(spec *workload.Job, route *policy.Route, now, until time.Duration) *job {
	j := &job{
		spec: spec, route: *route, arrivedAt: now, deadline: until,
		avoid: map[string]bool{}, answer: make(chan platform.Answer, answerBuffer),
	}
	for s := range spec.Steps {
		var tasks []*task
		for i := range spec.Steps[s].Count {
			id := workload.TaskID{Job: spec.ID, Step: s, Index: i}
			tasks = append(tasks, &task{job: j, id: id, name: id.String()})
		}
		j.tasks = append(j.tasks, tasks)
		j.openTasks = append(j.openTasks, len(tasks))
	}
	j.objective = route.Objective(j.criticalPath(nil))
	j.unblockSteps()
	return j
}

// criticalPath is the time of the longest chain of steps, leaving out those for
// which done is true.
func (j *job) criticalPath(done func(step int) bool) time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(j.spec.Steps))
	for s := range j.spec.Steps {
		step := &j.spec.Steps[s]
		var begin time.Duration
		for _, a := range step.DependsOn {
			begin = max(begin, ends[a])
		}
		ends[s] = begin
		if done == nil || !done(s) {
			ends[s] += step.Estimate
		}
		longest = max(longest, ends[s])
	}
	return longest
}

// unblockSteps queues the tasks of steps whose earlier steps are done.
func (j *job) unblockSteps() {
	for s := range j.spec.Steps {
		if !j.stepReady(s) {
			continue
		}
		for _, t := range j.tasks[s] {
			if t.state == taskBlocked {
				t.state = taskQueued
			}
		}
	}
}

func (j *job) stepReady(step int) bool {
	for _, a := range j.spec.Steps[step].DependsOn {
		if j.openTasks[a] > 0 {
			return false
		}
	}
	return true
}

// queuedTasks lists the step's tasks that look for room.
func (j *job) queuedTasks(step int) []*task {
	var all []*task
	for _, t := range j.tasks[step] {
		if t.state == taskQueued {
			all = append(all, t)
		}
	}
	return all
}

// placedByRunner counts the step's tasks by the runner they are placed at.
func (j *job) placedByRunner(step int) map[string]int {
	if j.spec.Steps[step].MaxPerEndpoint == 0 {
		return nil
	}
	counts := map[string]int{}
	for _, t := range j.tasks[step] {
		if t.state == taskPlaced {
			counts[t.runnerName]++
		}
	}
	return counts
}

// placementRequest is what the step's queued tasks look for.
func (j *job) placementRequest(step, count int) *placement.Request {
	s := &j.spec.Steps[step]
	return &placement.Request{
		Service: j.route.Service, Resources: s.Resources, Count: count, RequiredLabel: s.RequiredLabel,
		MaxPerEndpoint: s.MaxPerEndpoint, PlacedByEndpoint: j.placedByRunner(step), Avoid: j.avoid,
	}
}

// urgency is what orders the job among others.
func (j *job) urgency() *placement.Urgency {
	return &placement.Urgency{
		ArrivedAt: j.arrivedAt, Objective: j.objective, RemainingWork: j.remainingWork(),
		Started: j.started(),
	}
}

// remainingWork is the time that the longest chain of queued work takes; what is
// placed already may end at any moment.
func (j *job) remainingWork() time.Duration {
	return j.criticalPath(func(step int) bool {
		for _, t := range j.tasks[step] {
			if t.state == taskQueued || t.state == taskBlocked {
				return false
			}
		}
		return true
	})
}

// hasQueuedTasks tells whether any task looks for room.
func (j *job) hasQueuedTasks() bool {
	for _, tasks := range j.tasks {
		for _, t := range tasks {
			if t.state == taskQueued {
				return true
			}
		}
	}
	return false
}

// started tells whether a task has run, runs, or may: from then on it can't be
// said that nothing ran.
func (j *job) started() bool { return j.mayHaveRun || len(j.placedTasks()) > 0 }

// queuedMilliCPU is what the tasks need that look for room, in thousandths of a
// core.
func (j *job) queuedMilliCPU() int64 {
	var sum int64
	for s := range j.spec.Steps {
		sum += j.spec.Steps[s].Resources.MilliCPU * int64(len(j.queuedTasks(s)))
	}
	return sum
}

// done tells whether every task has ended well.
func (j *job) done() bool {
	for _, n := range j.openTasks {
		if n > 0 {
			return false
		}
	}
	return true
}

// placedTasks lists the tasks with a run that has not ended.
func (j *job) placedTasks() []*task {
	var all []*task
	for _, tasks := range j.tasks {
		for _, t := range tasks {
			if t.state == taskPlaced {
				all = append(all, t)
			}
		}
	}
	return all
}
