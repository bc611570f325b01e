// Package audit checks the answers that callers received against the starts
// that the endpoints recorded, and reads the counters of the entries. Of the
// code under test it uses only the result codes.
package audit

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/pomelosill/pomelosill/internal/load/ideal"
	"github.com/pomelosill/pomelosill/internal/load/loadgen"
	"github.com/pomelosill/pomelosill/internal/result"
)

// Start is one task start that a stand-in endpoint recorded.
type Start struct {
	Submission string    `json:"submission"`
	Task       int       `json:"task"`
	StartedAt  time.Time `json:"started"`
	// EndedAt is zero while the task is running.
	EndedAt time.Time `json:"ended"`
}

// Starts is a list of recorded starts.
type Starts []Start

type startsResponse struct {
	Starts Starts `json:"starts"`
}

// ReadStarts returns the starts recorded by all endpoints, given by their URLs.
func ReadStarts(ctx context.Context, client *http.Client, endpoints []string) (Starts, error) {
	var all Starts
	for _, e := range endpoints {
		var response startsResponse
		if err := getJSON(ctx, client, e+"/starts", &response); err != nil {
			return nil, err
		}
		all = append(all, response.Starts...)
	}
	return all, nil
}

func getJSON(ctx context.Context, client *http.Client, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("GET %s: status %d", url, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

// taskKey identifies one task.
type taskKey struct {
	submission string
	index      int
}

// Findings holds the violations found in a run and the work done for its jobs.
type Findings struct {
	// StartedTasks counts the tasks that started at least once.
	StartedTasks int
	// DoubleStarts counts the starts beyond each task's first.
	DoubleStarts int
	// FalseNotRun counts the tasks that started although the caller was told
	// that they did not run.
	FalseNotRun int
	// UnrecordedTasks counts the tasks of jobs answered OK for which no endpoint
	// recorded a start.
	UnrecordedTasks int
	// TaskRuns holds the intervals in which tasks ran.
	TaskRuns []ideal.Interval
	// TaskStarts holds the starts of all tasks.
	TaskStarts []TaskStart
	// SuccessfulRuns holds the TaskRuns of jobs that were answered OK and that
	// the trace does not cancel.
	SuccessfulRuns []ideal.Interval
}

// TaskStart is the start of one task. Times count from the start of the trace.
type TaskStart struct {
	StartedAt time.Duration
	// SubmittedAt is the arrival time of the task's job in the trace.
	SubmittedAt time.Duration
}

// Compare checks the records of a run that began at start against the recorded
// starts. Starts of jobs that do not belong to the run are ignored.
func Compare(records []loadgen.Record, starts Starts, start time.Time) Findings {
	var f Findings
	byID := make(map[string]loadgen.Record, len(records))
	for _, r := range records {
		byID[r.ID.String()] = r
	}
	startCounts := make(map[taskKey]int)
	for _, s := range starts {
		r, ok := byID[s.Submission]
		if !ok {
			continue
		}
		startCounts[taskKey{s.Submission, s.Task}]++
		f.TaskStarts = append(f.TaskStarts, TaskStart{StartedAt: s.StartedAt.Sub(start), SubmittedAt: r.Job.Arrival})
		f.addTaskRun(s, start, r.Answered && r.Code == result.OK && r.Job.CancelAt == 0)
	}
	f.StartedTasks = len(startCounts)
	for _, n := range startCounts {
		f.DoubleStarts += n - 1
	}
	for _, r := range records {
		f.checkAnswer(r, startCounts)
	}
	return f
}

func (f *Findings) addTaskRun(s Start, start time.Time, successful bool) {
	if s.EndedAt.IsZero() {
		return
	}
	run := ideal.Interval{Start: s.StartedAt.Sub(start), End: s.EndedAt.Sub(start)}
	f.TaskRuns = append(f.TaskRuns, run)
	if successful {
		f.SuccessfulRuns = append(f.SuccessfulRuns, run)
	}
}

func (f *Findings) checkAnswer(r loadgen.Record, startCounts map[taskKey]int) {
	id := r.ID.String()
	for _, index := range r.NotRunTasks {
		if startCounts[taskKey{id, index}] > 0 {
			f.FalseNotRun++
		}
	}
	if !r.Answered || r.Code != result.OK {
		return
	}
	for index := range r.Job.RunTimes {
		if startCounts[taskKey{id, index}] == 0 {
			f.UnrecordedTasks++
		}
	}
}

// LongestStartGap returns the longest time inside the window without any start
// while a job waited for one. A job waits from its arrival to its last start.
func LongestStartGap(starts []TaskStart, window ideal.Interval) time.Duration {
	sorted := slices.Clone(starts)
	slices.SortFunc(sorted, func(a, b TaskStart) int { return cmp.Compare(a.StartedAt, b.StartedAt) })
	var longest time.Duration
	for i := len(sorted) - 1; i > 0; i-- {
		sorted[i-1].SubmittedAt = min(sorted[i-1].SubmittedAt, sorted[i].SubmittedAt)
		idleFrom := max(sorted[i-1].StartedAt, sorted[i].SubmittedAt, window.Start)
		if sorted[i].StartedAt <= window.End {
			longest = max(longest, sorted[i].StartedAt-idleFrom)
		}
	}
	return longest
}
