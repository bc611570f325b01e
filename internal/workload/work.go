// Package work holds the types that dispatchers, runners and the platform's
// adapter share: jobs, their tasks, what tasks need, and how runs end.
package workload

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Resources are what a task needs or an endpoint has.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `json:"cpu"`
	// MemoryMB is in megabytes.
	MemoryMB int64 `json:"memory_mb"`
	// GPUs is a number of devices.
	GPUs int64 `json:"gpus"`
}

// Plus returns the sum of both.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.GPUs + o.GPUs}
}

// Minus returns the difference, which may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.GPUs - o.GPUs}
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	return Resources{r.MilliCPU * int64(n), r.MemoryMB * int64(n), r.GPUs * int64(n)}
}

// Fits tells whether r is at most room in every kind.
func (r Resources) Fits(room Resources) bool {
	return r.MilliCPU <= room.MilliCPU && r.MemoryMB <= room.MemoryMB && r.GPUs <= room.GPUs
}

// Step is a group of equal tasks of a job.
type Step struct {
	Count     int
	Resources Resources
	// Estimate is the caller's rough guess of one task's duration.
	Estimate time.Duration
	// DependsOn lists the steps that must be done first, by index.
	DependsOn []int
	// RequiredLabel must be one of the endpoint's labels, unless empty.
	RequiredLabel string
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

// TaskCount is the number of tasks in all steps.
func (j *Job) TaskCount() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// TaskID names one task of a job.
type TaskID struct {
	Job   string
	Step  int
	Index int
}

// String is the task's name on the platform: the job, the occurrence (always
// 0: jobs run once), the step and the index.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.0.%d.%d", t.Job, t.Step, t.Index)
}

// taskIDParts is the number of parts of a task's name.
const taskIDParts = 4

// ParseTaskID reads what Task.String writes.
func ParseTaskID(name string) (TaskID, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != taskIDParts || parts[0] == "" {
		return TaskID{}, false
	}
	step, errStep := strconv.Atoi(parts[2])
	index, errIndex := strconv.Atoi(parts[3])
	if errStep != nil || errIndex != nil {
		return TaskID{}, false
	}
	return TaskID{Job: parts[0], Step: step, Index: index}, true
}

// RunID is one start of a task. Attempt numbers the starts of a task from 1.
type RunID struct {
	Task    string
	Attempt uint64
}

// Outcome is how a run ended at its endpoint.
type Outcome int

// The ends of a run.
const (
	// OutcomeDone: the task ended well.
	OutcomeDone Outcome = iota + 1
	// OutcomeFailed: the task ran and failed, through its own fault or the
	// endpoint's.
	OutcomeFailed
	// OutcomeStopped: a stop order ended it.
	OutcomeStopped
	// OutcomeLeaseExpired: the endpoint's lease ran out.
	OutcomeLeaseExpired
	// OutcomeGroupEnded: another member of its group ended.
	OutcomeGroupEnded
)

// String is the end's name in logs.
func (e Outcome) String() string {
	switch e {
	case OutcomeDone:
		return "done"
	case OutcomeFailed:
		return "failed"
	case OutcomeStopped:
		return "stopped"
	case OutcomeLeaseExpired:
		return "lapsed"
	case OutcomeGroupEnded:
		return "broken"
	}
	return "unknown"
}

// Endpoint is what an endpoint's heartbeat says of it.
type Endpoint struct {
	ID string
	// StartedAtMS is the start of this life of the process in Unix milliseconds.
	StartedAtMS int64
	// Address is where it takes calls.
	Address       string
	Service       string
	FailureDomain string
	Labels        []string
	Capacity      Resources
	// Draining is true while it drains before a planned end.
	Draining bool
	// ClockMS is the endpoint's own clock in milliseconds.
	ClockMS int64
	// Sequence rises with each heartbeat of one life.
	Sequence int64
}

// Incarnation names one life of the endpoint's process.
func (e *Endpoint) Incarnation() string { return fmt.Sprintf("%s/%d", e.ID, e.StartedAtMS) }

// Newer tells whether e was sent after o, where both speak of one host.
func (e *Endpoint) Newer(o *Endpoint) bool {
	if e.StartedAtMS != o.StartedAtMS {
		return e.StartedAtMS > o.StartedAtMS
	}
	return e.ID != o.ID || e.Sequence > o.Sequence
}

// StartRequest is an order to begin one run.
type StartRequest struct {
	Run  RunID
	Spec string
	// LeaseEndMS is the lease's end on the endpoint's clock in milliseconds.
	LeaseEndMS int64
	// FencingToken is the runner's fencing token.
	FencingToken int64
}

// RunProgress is a run that an endpoint lists as running.
type RunProgress struct {
	Run RunID
	// Percent is the progress, 0 to 100.
	Percent float64
}

// EndedRun is a run that an endpoint lists as ended.
type EndedRun struct {
	// Sequence rises with each end in one life of the endpoint.
	Sequence int64
	Run      RunID
	Outcome  Outcome
}

// RenewalResponse is an endpoint's answer to a renewal of its lease.
type RenewalResponse struct {
	// StartedAtMS tells which life answered.
	StartedAtMS int64
	ClockMS     int64
	Running     []RunProgress
	Ended       []EndedRun
}

// RenewalRequest renews an endpoint's lease and asks for its runs.
type RenewalRequest struct {
	LeaseEndMS   int64
	FencingToken int64
	// AckedSequence acknowledges ends up to this number.
	AckedSequence int64
	// MaxWait is how long the endpoint may wait for an end before it answers.
	MaxWait time.Duration
}
