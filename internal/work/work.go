// Package work holds the types that dispatchers, runners and the platform's
// adapter share: jobs, their tasks, what tasks need, and how runs end.
package work

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Resources are what a task needs or an endpoint has.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64 `json:"cpu"`
	// MemoryMB is in megabytes.
	MemoryMB int64 `json:"memory_mb"`
	// GPUs is a number of devices.
	GPUs int64 `json:"gpus"`
}

// Plus returns the sum of both.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.GPUs + o.GPUs}
}

// Minus returns the difference, which may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.GPUs - o.GPUs}
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	return Resources{r.CPU * int64(n), r.MemoryMB * int64(n), r.GPUs * int64(n)}
}

// Fits tells whether r is at most room in every kind.
func (r Resources) Fits(room Resources) bool {
	return r.CPU <= room.CPU && r.MemoryMB <= room.MemoryMB && r.GPUs <= room.GPUs
}

// Step is a group of equal tasks of a job.
type Step struct {
	Count int
	Need  Resources
	// Estimate is the caller's rough guess of one task's duration.
	Estimate time.Duration
	// After lists the steps that must be done first, by index.
	After []int
	// Label must be one of the endpoint's labels, unless empty.
	Label string
	// MaxPerEndpoint bounds this step's tasks on one endpoint; zero means no
	// bound.
	MaxPerEndpoint int
}

// Job is what a caller asks for.
type Job struct {
	ID    string
	Spec  string
	Steps []Step
}

// Tasks is the number of tasks in all steps.
func (j *Job) Tasks() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// Task names one task of a job.
type Task struct {
	Job   string
	Step  int
	Index int
}

// String is the task's name on the platform: the job, the occurrence (always
// 0: jobs run once), the step and the index.
func (t Task) String() string {
	return fmt.Sprintf("%s.0.%d.%d", t.Job, t.Step, t.Index)
}

// taskParts is the number of parts of a task's name.
const taskParts = 4

// ParseTask reads what Task.String writes.
func ParseTask(name string) (Task, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != taskParts || parts[0] == "" {
		return Task{}, false
	}
	step, errStep := strconv.Atoi(parts[2])
	index, errIndex := strconv.Atoi(parts[3])
	if errStep != nil || errIndex != nil {
		return Task{}, false
	}
	return Task{Job: parts[0], Step: step, Index: index}, true
}

// Run is one start of a task. Attempt numbers the starts of a task from 1.
type Run struct {
	Task    string
	Attempt uint64
}

// End is how a run ended at its endpoint.
type End int

// The ends of a run.
const (
	// EndDone: the task ended well.
	EndDone End = iota + 1
	// EndFailed: the task ran and failed, through its own fault or the
	// endpoint's.
	EndFailed
	// EndStopped: a stop order ended it.
	EndStopped
	// EndLapsed: the endpoint's lease ran out.
	EndLapsed
	// EndBroken: another member of its group ended.
	EndBroken
)

// String is the end's name in logs.
func (e End) String() string {
	switch e {
	case EndDone:
		return "done"
	case EndFailed:
		return "failed"
	case EndStopped:
		return "stopped"
	case EndLapsed:
		return "lapsed"
	case EndBroken:
		return "broken"
	}
	return "unknown"
}

// Endpoint is what an endpoint's heartbeat says of it.
type Endpoint struct {
	ID string
	// Born is the start of this life of the process in Unix milliseconds.
	Born int64
	// Address is where it takes calls.
	Address       string
	Service       string
	FailureDomain string
	Labels        []string
	Capacity      Resources
	// Leaving is true while it drains before a planned end.
	Leaving bool
	// Clock is the endpoint's own clock in milliseconds.
	Clock int64
	// Sequence rises with each heartbeat of one life.
	Sequence int64
}

// Life names one life of the endpoint's process.
func (e *Endpoint) Life() string { return fmt.Sprintf("%s/%d", e.ID, e.Born) }

// Newer tells whether e was sent after o, where both speak of one host.
func (e *Endpoint) Newer(o *Endpoint) bool {
	if e.Born != o.Born {
		return e.Born > o.Born
	}
	return e.ID != o.ID || e.Sequence > o.Sequence
}

// Start is an order to begin one run.
type Start struct {
	Run  Run
	Spec string
	// LeaseEnd is the lease's end on the endpoint's clock in milliseconds.
	LeaseEnd int64
	// Fence is the runner's fencing token.
	Fence int64
}

// Listed is a run that an endpoint lists as running.
type Listed struct {
	Run Run
	// Percent is the progress, 0 to 100.
	Percent float64
}

// Ended is a run that an endpoint lists as ended.
type Ended struct {
	// Number rises with each end in one life of the endpoint.
	Number int64
	Run    Run
	End    End
}

// Look is an endpoint's answer to a renewal of its lease.
type Look struct {
	// Born tells which life answered.
	Born    int64
	Clock   int64
	Running []Listed
	Ended   []Ended
}

// Renewal renews an endpoint's lease and asks for its runs.
type Renewal struct {
	LeaseEnd int64
	Fence    int64
	// Seen acknowledges ends up to this number.
	Seen int64
	// Wait is how long the endpoint may wait for an end before it answers.
	Wait time.Duration
}
