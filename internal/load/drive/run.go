// Package drive submits the jobs of a trace at their instants, to the product
// or to one of the queues it is compared with, and checks every answer.
package drive

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/pomelosill/pomelosill/internal/load/trace"
	"github.com/pomelosill/pomelosill/internal/result"
)

// answerGrace is how long after its deadline a job's answer is waited for.
const answerGrace = 5 * time.Second

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
	// Foreign marks an answer with another's id or another's echo.
	Foreign bool
	// NotRun lists the tasks that the answer says did not run.
	NotRun []int
	// Resubmitted counts how often the job was sent again under its id.
	Resubmitted int
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
	// Sent is when the submission really began.
	Sent time.Duration
	// Ended is when the answer was whole.
	Ended time.Duration
}

// Response counts from the instant at which the job should have been sent,
// so that a late client is not left out.
func (r Record) Response() time.Duration { return r.Ended - r.Job.At }

// Run submits every job of the trace at its instant from start on, and
// returns when the last is answered, in the order of the trace.
func Run(ctx context.Context, s Submitter, t trace.Trace, start time.Time) []Record {
	records := make([]Record, len(t.Jobs))
	var wg sync.WaitGroup
	for i, job := range t.Jobs {
		if !sleepUntil(ctx, start.Add(job.At)) {
			break
		}
		wg.Go(func() { records[i] = one(ctx, s, job, start) })
	}
	wg.Wait()
	return records
}

func one(ctx context.Context, s Submitter, job trace.Job, start time.Time) Record {
	ctx, cancel := context.WithTimeout(ctx, job.Timeout+answerGrace)
	defer cancel()
	r := Record{Request: Request{ID: uuid.Must(uuid.NewV7()), Job: job}}
	r.Sent = time.Since(start)
	if job.CancelAt > 0 {
		go cancelAt(ctx, s, r.ID, start.Add(job.CancelAt))
	}
	r.Outcome = s.Submit(ctx, r.Request)
	r.Ended = time.Since(start)
	return r
}

func cancelAt(ctx context.Context, s Submitter, id uuid.UUID, at time.Time) {
	if sleepUntil(ctx, at) {
		s.Cancel(ctx, id)
	}
}

// Saturate keeps that many equal jobs in progress for a length of time.
func Saturate(ctx context.Context, s Submitter, job trace.Job, parallel int, length time.Duration) []Record {
	start := time.Now()
	perCaller := make([][]Record, parallel)
	var wg sync.WaitGroup
	for i := range parallel {
		wg.Go(func() {
			for time.Since(start) < length && ctx.Err() == nil {
				job.At = time.Since(start)
				perCaller[i] = append(perCaller[i], one(ctx, s, job, start))
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
