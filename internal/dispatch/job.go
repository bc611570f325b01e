package dispatch

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/place"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/work"
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
	id    work.Task
	name  string
	state taskState
	// attempt is the number of the last run.
	attempt uint64
	// runner is where the last run was placed.
	runner   string
	placedAt time.Duration
	failures int
	// moving is set while the run is being stopped to start elsewhere.
	moving bool
	// moves counts the runs that were stopped to start elsewhere.
	moves int
}

func (t *task) run() work.Run { return work.Run{Task: t.name, Attempt: t.attempt} }

// job is one job that has been taken in and not answered.
type job struct {
	spec    *work.Job
	route   policy.Route
	arrived time.Duration
	// until is when the caller stops waiting.
	until     time.Duration
	objective time.Duration
	tasks     [][]*task
	// open counts tasks that are not done, by step.
	open []int
	// mayHaveRun is set once a run has, or may have, begun.
	mayHaveRun bool
	avoid      map[string]bool
	answer     chan platform.Answer
	answered   bool
	// callers is how many requests wait for the answer.
	callers int
}

// maxAnswers is room for one answer per job; callers share it.
const maxAnswers = 1

func newJob(spec *work.Job, route *policy.Route, now, until time.Duration) *job {
	j := &job{
		spec: spec, route: *route, arrived: now, until: until,
		avoid: map[string]bool{}, answer: make(chan platform.Answer, maxAnswers),
	}
	for s := range spec.Steps {
		var tasks []*task
		for i := range spec.Steps[s].Count {
			id := work.Task{Job: spec.ID, Step: s, Index: i}
			tasks = append(tasks, &task{job: j, id: id, name: id.String()})
		}
		j.tasks = append(j.tasks, tasks)
		j.open = append(j.open, len(tasks))
	}
	j.objective = route.Objective(j.chain(nil))
	j.unblock()
	return j
}

// chain is the time of the longest chain of steps, leaving out those for
// which done is true.
func (j *job) chain(done func(step int) bool) time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(j.spec.Steps))
	for s := range j.spec.Steps {
		step := &j.spec.Steps[s]
		var begin time.Duration
		for _, a := range step.After {
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

// unblock queues the tasks of steps whose earlier steps are done.
func (j *job) unblock() {
	for s := range j.spec.Steps {
		if !j.ready(s) {
			continue
		}
		for _, t := range j.tasks[s] {
			if t.state == taskBlocked {
				t.state = taskQueued
			}
		}
	}
}

func (j *job) ready(step int) bool {
	for _, a := range j.spec.Steps[step].After {
		if j.open[a] > 0 {
			return false
		}
	}
	return true
}

// queued lists the step's tasks that look for room.
func (j *job) queued(step int) []*task {
	var all []*task
	for _, t := range j.tasks[step] {
		if t.state == taskQueued {
			all = append(all, t)
		}
	}
	return all
}

// present counts the step's tasks by the runner they are placed at.
func (j *job) present(step int) map[string]int {
	if j.spec.Steps[step].MaxPerEndpoint == 0 {
		return nil
	}
	counts := map[string]int{}
	for _, t := range j.tasks[step] {
		if t.state == taskPlaced {
			counts[t.runner]++
		}
	}
	return counts
}

// wish is what the step's queued tasks look for.
func (j *job) wish(step, count int) *place.Wish {
	s := &j.spec.Steps[step]
	return &place.Wish{
		Service: j.route.Service, Need: s.Need, Count: count, Label: s.Label,
		MaxPerEndpoint: s.MaxPerEndpoint, Present: j.present(step), Avoid: j.avoid,
	}
}

// urgency is what orders the job among others.
func (j *job) urgency() *place.Urgency {
	return &place.Urgency{
		Arrived: j.arrived, Objective: j.objective, Left: j.left(),
		Begun: j.begun(),
	}
}

// left is the time that the longest chain of queued work takes; what is
// placed already may end at any moment.
func (j *job) left() time.Duration {
	return j.chain(func(step int) bool {
		for _, t := range j.tasks[step] {
			if t.state == taskQueued || t.state == taskBlocked {
				return false
			}
		}
		return true
	})
}

// waits tells whether any task looks for room.
func (j *job) waits() bool {
	for _, tasks := range j.tasks {
		for _, t := range tasks {
			if t.state == taskQueued {
				return true
			}
		}
	}
	return false
}

// begun tells whether a task has run, runs, or may: from then on it can't be
// said that nothing ran.
func (j *job) begun() bool { return j.mayHaveRun || len(j.placed()) > 0 }

// waitingCPU is what the tasks need that look for room, in thousandths of a
// core.
func (j *job) waitingCPU() int64 {
	var sum int64
	for s := range j.spec.Steps {
		sum += j.spec.Steps[s].Need.CPU * int64(len(j.queued(s)))
	}
	return sum
}

// done tells whether every task has ended well.
func (j *job) done() bool {
	for _, n := range j.open {
		if n > 0 {
			return false
		}
	}
	return true
}

// placed lists the tasks with a run that has not ended.
func (j *job) placed() []*task {
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
