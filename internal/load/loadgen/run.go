// Package loadgen submits the jobs of a trace at their arrival times, either to
// pomelosill's entries or to one of the baseline queues, and checks every
// answer.
package loadgen

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/pomelosill/pomelosill/internal/load/trace"
	"github.com/pomelosill/pomelosill/internal/result"
)

// answerGracePeriod is how long after a job's deadline its answer is still
// awaited.
const answerGracePeriod = 5 * time.Second

// Request is a job with the submission id under which it is sent.
type Request struct {
	ID  uuid.UUID
	Job trace.Job
}

// Echo returns the text that the endpoint must send back for a task.
func (r Request) Echo(task int) string {
	return fmt.Sprintf("%s/%d", r.ID, task)
}

// Outcome is the result of a job as its caller saw it.
type Outcome struct {
	// Answered is false if no answer came.
	Answered bool
	Code     result.Code
	// Partial marks an answer with code OK in which a task is missing, repeated
	// or failed.
	Partial bool
	// Mismatched marks an answer that carries the id of another job or the echo
	// of another task.
	Mismatched bool
	// NotRunTasks lists the tasks that the answer says did not run.
	NotRunTasks []int
	// Resubmissions counts how often the job was sent again under the same id.
	Resubmissions int
}

// Submitter is a system under test that accepts jobs.
type Submitter interface {
	// Submit sends a job and returns once it is answered or ctx is done.
	Submit(ctx context.Context, r Request) Outcome
	// Cancel requests the cancellation of a job.
	Cancel(ctx context.Context, id uuid.UUID)
}

// Record is one job with its outcome. Times count from the start of the trace.
type Record struct {
	Request
	Outcome
	// SentAt is when the submission actually began, which is after Job.Arrival
	// when the client is late.
	SentAt time.Duration
	// AnsweredAt is when the complete answer had been received, or when the
	// client gave up waiting for one.
	AnsweredAt time.Duration
}

// ResponseTime returns the time from the job's arrival in the trace to its
// answer. It includes the delay of a client that sends late, which would
// otherwise hide waiting time.
func (r Record) ResponseTime() time.Duration { return r.AnsweredAt - r.Job.Arrival }

// Run submits every job of the trace at its arrival time after start, waits for
// all answers, and returns the records in the order of the trace.
func Run(ctx context.Context, s Submitter, t trace.Trace, start time.Time) []Record {
	records := make([]Record, len(t.Jobs))
	var wg sync.WaitGroup
	for i, job := range t.Jobs {
		if !sleepUntil(ctx, start.Add(job.Arrival)) {
			break
		}
		wg.Go(func() { records[i] = submitJob(ctx, s, job, start) })
	}
	wg.Wait()
	return records
}

func submitJob(ctx context.Context, s Submitter, job trace.Job, start time.Time) Record {
	ctx, cancel := context.WithTimeout(ctx, job.Timeout+answerGracePeriod)
	defer cancel()
	r := Record{Request: Request{ID: uuid.Must(uuid.NewV7()), Job: job}}
	r.SentAt = time.Since(start)
	if job.CancelAt > 0 {
		go cancelAt(ctx, s, r.ID, start.Add(job.CancelAt))
	}
	r.Outcome = s.Submit(ctx, r.Request)
	r.AnsweredAt = time.Since(start)
	return r
}

func cancelAt(ctx context.Context, s Submitter, id uuid.UUID, at time.Time) {
	if sleepUntil(ctx, at) {
		s.Cancel(ctx, id)
	}
}

// RunClosedLoop runs the given number of callers in parallel until the duration
// has passed. Each caller submits the job again, under a new id, as soon as its
// previous submission is answered.
func RunClosedLoop(ctx context.Context, s Submitter, job trace.Job, callers int, duration time.Duration) []Record {
	start := time.Now()
	perCaller := make([][]Record, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for time.Since(start) < duration && ctx.Err() == nil {
				job.Arrival = time.Since(start)
				perCaller[i] = append(perCaller[i], submitJob(ctx, s, job, start))
			}
		})
	}
	wg.Wait()
	var all []Record
	for _, records := range perCaller {
		all = append(all, records...)
	}
	return all
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
