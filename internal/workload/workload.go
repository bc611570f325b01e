// Package workload holds the types shared by dispatchers, runners and the
// platform's adapter: jobs, their tasks, the resources these need, and the
// outcomes of runs.
package workload

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// maxAmount bounds the amount of a resource in a message, so that sums of
// amounts don't overflow. It exceeds the capacity of any endpoint.
const maxAmount = 1 << 40

// DecodeAmount returns an amount from a message, in the message's unit and at
// most maxAmount.
func DecodeAmount(amount uint64) int64 { return int64(min(amount, maxAmount)) }

// DecodeResources returns the resources from a message: thousandths of a core,
// megabytes and GPUs.
func DecodeResources(milliCPU, memoryMB, gpus uint64) Resources {
	return Resources{MilliCPU: DecodeAmount(milliCPU), MemoryMB: DecodeAmount(memoryMB), GPUs: DecodeAmount(gpus)}
}

// Resources are the needs of a task or the capacity of an endpoint.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `json:"cpu"`
	// MemoryMB is in megabytes.
	MemoryMB int64 `json:"memory_mb"`
	// GPUs is a number of devices.
	GPUs int64 `json:"gpus"`
}

// Plus returns the sum r + o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.GPUs + o.GPUs}
}

// Minus returns the difference r - o, which may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.GPUs - o.GPUs}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{r.MilliCPU * int64(n), r.MemoryMB * int64(n), r.GPUs * int64(n)}
}

// Max returns the larger of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCPU, o.MilliCPU), max(r.MemoryMB, o.MemoryMB), max(r.GPUs, o.GPUs)}
}

// Fits reports whether no resource of r exceeds that of capacity.
func (r Resources) Fits(capacity Resources) bool {
	return r.MilliCPU <= capacity.MilliCPU && r.MemoryMB <= capacity.MemoryMB && r.GPUs <= capacity.GPUs
}

// Step is a group of equal tasks of a job.
type Step struct {
	Count     int
	Resources Resources
	// Estimate is the caller's rough estimate of one task's duration.
	Estimate time.Duration
	// DependsOn lists the steps that must be done first, by index.
	DependsOn []int
	// RequiredLabel must be among the endpoint's labels, unless empty.
	RequiredLabel string
	// MaxPerEndpoint bounds this step's tasks on one endpoint; zero means no
	// bound.
	MaxPerEndpoint int
}

// Job is a caller's request: steps of tasks to run.
type Job struct {
	ID    string
	Spec  string
	Steps []Step
}

// TaskCount returns the number of tasks in all steps.
func (j *Job) TaskCount() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// TaskID identifies one task of a job.
type TaskID struct {
	Job   string
	Step  int
	Index int
}

// String returns the task's name on the platform: job, occurrence (always 0, as
// jobs run once), step and index.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.0.%d.%d", t.Job, t.Step, t.Index)
}

// taskIDParts is the number of parts of a task's name.
const taskIDParts = 4

// ParseTaskID parses the result of TaskID.String, and reports whether name is
// one.
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

// RunID identifies one start of a task. Attempt numbers the starts of a task
// from 1.
type RunID struct {
	Task    string
	Attempt uint64
}

// Outcome is how a run ended at its endpoint.
type Outcome int

// Outcomes of a run.
const (
	// OutcomeDone means that the task succeeded.
	OutcomeDone Outcome = iota + 1
	// OutcomeFailed means that the task ran and failed, through its own fault
	// or the endpoint's.
	OutcomeFailed
	// OutcomeStopped means that a stop request ended the run.
	OutcomeStopped
	// OutcomeLeaseExpired means that the endpoint's lease expired.
	OutcomeLeaseExpired
	// OutcomeGroupEnded means that another member of the run's group ended.
	OutcomeGroupEnded
	// OutcomeCrashed means that the run had begun when the endpoint's process
	// ended without notice. Endpoints don't report it; runners infer it.
	OutcomeCrashed
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	switch o {
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
	case OutcomeCrashed:
		return "crashed"
	}
	return "unknown"
}

// Endpoint is the content of an endpoint's heartbeat.
type Endpoint struct {
	ID string
	// StartedAtMS is the start of this incarnation of the process, in Unix
	// milliseconds.
	StartedAtMS int64
	// Address is where the endpoint accepts calls.
	Address       string
	Service       string
	FailureDomain string
	Labels        []string
	Capacity      Resources
	// Draining is set while the endpoint finishes its runs before a planned
	// shutdown.
	Draining bool
	// ClockMS is the endpoint's own clock in milliseconds.
	ClockMS int64
	// Sequence increases with each heartbeat of an incarnation.
	Sequence int64
}

// Incarnation returns a name for this incarnation of the endpoint's process.
func (e *Endpoint) Incarnation() string { return fmt.Sprintf("%s/%d", e.ID, e.StartedAtMS) }

// Newer reports whether e was sent after o, where both describe endpoints on
// the same host.
func (e *Endpoint) Newer(o *Endpoint) bool {
	if e.StartedAtMS != o.StartedAtMS {
		return e.StartedAtMS > o.StartedAtMS
	}
	return e.ID != o.ID || e.Sequence > o.Sequence
}

// StartRequest asks an endpoint to start one run.
type StartRequest struct {
	Run  RunID
	Spec string
	// LeaseEndMS is the lease's end on the endpoint's clock in milliseconds.
	LeaseEndMS int64
	// FencingToken is the runner's fencing token; the endpoint refuses a
	// request with a lower one than it has seen.
	FencingToken int64
	// Permitted, if not nil, is asked once the connection to the endpoint is there. If it
	// returns false, nothing is sent.
	Permitted func() bool
}

// RunProgress is a run that an endpoint lists as running.
type RunProgress struct {
	Run RunID
	// Percent is the progress, from 0 to 100.
	Percent float64
}

// EndedRun is a run that an endpoint lists as ended.
type EndedRun struct {
	// Sequence increases with each end of a run in an incarnation of the
	// endpoint.
	Sequence int64
	Run      RunID
	Outcome  Outcome
}

// RenewalResponse is an endpoint's response to the renewal of its lease.
type RenewalResponse struct {
	// StartedAtMS identifies the incarnation that responded.
	StartedAtMS int64
	// ClockMS is the endpoint's own clock in milliseconds.
	ClockMS int64
	// FencingToken is that of the request: the endpoint refuses all starts with a
	// lower one that arrive after it.
	FencingToken int64
	Running      []RunProgress
	Ended        []EndedRun
}

// RenewalRequest renews an endpoint's lease and asks for its runs.
type RenewalRequest struct {
	// LeaseEndMS is the lease's end on the endpoint's clock in milliseconds.
	LeaseEndMS   int64
	FencingToken int64
	// AckedSequence acknowledges the ends of runs up to this sequence number.
	AckedSequence int64
	// MaxWait is how long the endpoint may wait for the end of a run before it
	// responds.
	MaxWait time.Duration
}
