// Package drive submits the jobs of a trace at their instants, to the product
// or to one of the queues it is compared with, and checks every answer.
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

// answerGracePeriod is how long after its deadline a job's answer is waited for.
const answerGracePeriod = 5 * time.Second

// Request is one job under the id that it is submitted by.
type Request struct {
	ID  uuid.UUID
	Job trace.Job
}

// Echo is what the endpoint must send back for a task.
func (r Request) Echo(task int) string {
	return fmt.Sprintf("%s/%d", r.ID, task)
}

// Outcome is what the caller was told about a job.
type Outcome struct {
	// Answered is false if no answer came.
	Answered bool
	Code     result.Code
	// Partial marks an OK that lacks a task or has one twice.
	Partial bool
	// Mismatched marks an answer with another's id or another's echo.
	Mismatched bool
	// NotRunTasks lists the tasks that the answer says did not run.
	NotRunTasks []int
	// Resubmissions counts how often the job was sent again under its id.
	Resubmissions int
}

// Submitter runs jobs.
type Submitter interface {
	// Submit returns once the job is answered or ctx is done.
	Submit(ctx context.Context, r Request) Outcome
	// Cancel asks for a job to be cancelled.
	Cancel(ctx context.Context, id uuid.UUID)
}

// Record is one job with its outcome. Instants count from the start.
type Record struct {
	Request
	Outcome
	// SentAt is when the submission really began.
	SentAt time.Duration
	// AnsweredAt is when the answer was whole.
	AnsweredAt time.Duration
}

// ResponseTime counts from the instant at which the job should have been sent,
// so that a late client is not left out.
func (r Record) ResponseTime() time.Duration { return r.AnsweredAt - r.Job.Arrival }

// Run submits every job of the trace at its instant from start on, and
// returns when the last is answered, in the order of the trace.
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

// RunClosedLoop keeps that many equal jobs in progress for a length of time.
func RunClosedLoop(ctx context.Context, s Submitter, job trace.Job, parallel int, length time.Duration) []Record {
	start := time.Now()
	perCaller := make([][]Record, parallel)
	var wg sync.WaitGroup
	for i := range parallel {
		wg.Go(func() {
			for time.Since(start) < length && ctx.Err() == nil {
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
