package dispatch

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/admission"
	"github.com/pomelosill/pomelosill/internal/estimate"
	"github.com/pomelosill/pomelosill/internal/placement"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform"
)

// taskState is the progress of a task.
type taskState int

const (
	// taskBlocked means that an earlier step is not done.
	taskBlocked taskState = iota
	// taskQueued means that the task waits for placement.
	taskQueued
	// taskPlaced means that a run was requested and has not ended.
	taskPlaced
	// taskDone means that a run succeeded.
	taskDone
)

// task is one task of a job.
type task struct {
	job   *job
	id    workload.TaskID
	name  string
	state taskState
	// attempt is the number of the last run, zero before the first.
	attempt uint64
	// runnerName is the runner at which the last run was placed.
	runnerName string
	placedAt   time.Duration
	// level is the priority level at which the last run was requested.
	level    int
	failures int
	// contained is set if the last run was contained.
	contained bool
	// overflow is set if the last run was ordered as an overflow run.
	overflow bool
	// lostRuns counts the runs that were lost without being stopped.
	lostRuns int
	// redirects counts the starts that were refused for lack of capacity.
	redirects int
	// moving is set while the run is being stopped in order to start elsewhere.
	moving bool
	// moves counts the runs that were stopped in order to start elsewhere.
	moves int
	// runTime is how long the successful run took, at the usual speed of the
	// service's endpoints, zero if that is unknown.
	runTime time.Duration
}

// step returns the step of the job that the task belongs to.
func (t *task) step() *workload.Step { return &t.job.spec.Steps[t.id.Step] }

func (t *task) runID() workload.RunID { return workload.RunID{Task: t.name, Attempt: t.attempt} }

// job is an admitted job that has not been answered.
type job struct {
	// spec is the caller's job with predicted run times, and callerSpec as the caller
	// has sent it.
	spec       *workload.Job
	callerSpec *workload.Job
	route      policy.Route
	arrivedAt  time.Duration
	// deadline is when the caller stops waiting.
	deadline  time.Duration
	objective time.Duration
	tasks     [][]*task
	// openTasks counts the tasks that are not done, by step.
	openTasks []int
	// mayHaveRun is set once a run has ended other than by a refusal: it has
	// started, or may have.
	mayHaveRun bool
	// firstStartAt is when the first of the runs that have ended was started, zero
	// before one has ended.
	firstStartAt time.Duration
	// avoid holds the runners at which a run of the job failed, stalled or was
	// lost, or a start was refused for another reason than lack of capacity, an
	// expired lease or a used attempt; placement uses them last.
	avoid map[string]bool
	// suspect is set if one of the tasks may crash endpoints.
	suspect bool
	// overflow is set if the job was admitted for endpoints that are suspended
	// because they are slow.
	overflow bool
	answer   chan platform.Answer
	answered bool
	// callerCount is the number of requests that wait for the answer.
	callerCount int
	// connections are those of all callers so far; a closed one is not removed. At least
	// one of them was open at openAt.
	connections []callerConn
	openAt      time.Duration
	// caller is the network address of the first of them, without the port.
	caller string
	// lastLevel is the priority level of the route in the last configuration that had
	// it, as of the last call of Dispatcher.level.
	lastLevel int
	// counted is the job's part of the dispatcher's queued work.
	counted countedWork
}

// answerBuffer is the capacity of a job's answer channel: one answer, which
// each of its callers puts back for the next.
const answerBuffer = 1

func newJob(m *estimate.Model, callerSpec *workload.Job, route *policy.Route, now, deadline time.Duration) *job {
	spec := withPredictions(m, route.Name, callerSpec)
	j := &job{
		spec: spec, callerSpec: callerSpec, route: *route, arrivedAt: now, deadline: deadline,
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

// criticalPath returns the duration of the longest chain of steps, without
// those for which done is true. A nil done includes all steps.
func (j *job) criticalPath(done func(step int) bool) time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(j.spec.Steps))
	for s := range j.spec.Steps {
		step := &j.spec.Steps[s]
		var start time.Duration
		for _, dep := range step.DependsOn {
			start = max(start, ends[dep])
		}
		ends[s] = start
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
	for _, dep := range j.spec.Steps[step].DependsOn {
		if j.openTasks[dep] > 0 {
			return false
		}
	}
	return true
}

// queuedTasks returns the step's tasks that wait for placement.
func (j *job) queuedTasks(step int) []*task {
	var all []*task
	for _, t := range j.tasks[step] {
		if t.state == taskQueued {
			all = append(all, t)
		}
	}
	return all
}

// countTasks returns the number of the step's tasks in a state.
func (j *job) countTasks(step int, state taskState) int {
	n := 0
	for _, t := range j.tasks[step] {
		if t.state == state {
			n++
		}
	}
	return n
}

// placedByRunner counts the step's placed tasks by runner, if the step bounds
// them.
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

// placementRequest returns the request for placing count of the step's tasks.
func (j *job) placementRequest(step, count int, area placement.Area) *placement.Request {
	s := &j.spec.Steps[step]
	return &placement.Request{
		Service: j.route.Service, Resources: s.Resources, Count: count, RequiredLabel: s.RequiredLabel,
		MaxPerEndpoint: s.MaxPerEndpoint, PlacedByEndpoint: j.placedByRunner(step), Avoid: j.avoid,
		Estimate: s.Estimate, Area: area,
	}
}

// urgency returns the values that order the job among others.
func (j *job) urgency() *placement.Urgency {
	return &placement.Urgency{
		ArrivedAt: j.arrivedAt, Objective: j.objective, RemainingWork: j.remainingWork(),
		Started: j.started(), Suspect: j.suspect, Overflow: j.overflow,
	}
}

// remainingWork returns the duration of the longest chain of steps that have
// tasks to be placed; tasks that are placed already may end at any moment.
func (j *job) remainingWork() time.Duration {
	return j.criticalPath(func(step int) bool {
		return j.countTasks(step, taskQueued) == 0 && j.countTasks(step, taskBlocked) == 0
	})
}

// hasQueuedTasks reports whether any task waits for placement.
func (j *job) hasQueuedTasks() bool {
	for step := range j.tasks {
		if j.countTasks(step, taskQueued) > 0 {
			return true
		}
	}
	return false
}

// hasPlacedTasks reports whether any task has a run that has not ended.
func (j *job) hasPlacedTasks() bool {
	for step := range j.tasks {
		if j.countTasks(step, taskPlaced) > 0 {
			return true
		}
	}
	return false
}

// started reports whether a run has started, or may have. From then on the job
// must not be answered as not run.
func (j *job) started() bool { return j.mayHaveRun || j.hasPlacedTasks() }

// queuedMilliCPU returns the CPU needed by the tasks that wait for placement.
func (j *job) queuedMilliCPU() int64 {
	var sum int64
	for s := range j.spec.Steps {
		sum += j.spec.Steps[s].Resources.MilliCPU * int64(j.countTasks(s, taskQueued))
	}
	return sum
}

// work returns the work of all tasks.
func (j *job) work() admission.Work {
	var w admission.Work
	for s := range j.spec.Steps {
		step := &j.spec.Steps[s]
		milliCPU := float64(step.Count) * float64(step.Resources.MilliCPU)
		w.MilliCPU += milliCPU
		w.MilliCPUSeconds += milliCPU * step.Estimate.Seconds()
	}
	return w
}

// done reports whether every task is done.
func (j *job) done() bool {
	for _, n := range j.openTasks {
		if n > 0 {
			return false
		}
	}
	return true
}

// placedTasks returns the tasks with a run that has not ended.
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
