// Package audit compares what callers were told with the endpoints' own
// records of starts, and reads the counters of the processes. It shares no
// code with the product beyond the result codes.
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

// Start is one start in the record of a stand-in endpoint.
type Start struct {
	Submission string    `json:"submission"`
	Task       int       `json:"task"`
	StartedAt  time.Time `json:"started"`
	// EndedAt is zero while the task runs.
	EndedAt time.Time `json:"ended"`
}

// Starts is a record of starts.
type Starts []Start

type startsResponse struct {
	Starts Starts `json:"starts"`
}

// ReadStarts collects the records of all endpoints.
func ReadStarts(ctx context.Context, client *http.Client, endpoints []string) (Starts, error) {
	var all Starts
	for _, e := range endpoints {
		var page startsResponse
		if err := getJSON(ctx, client, e+"/starts", &page); err != nil {
			return nil, err
		}
		all = append(all, page.Starts...)
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
		return errors.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

// taskKey names one task.
type taskKey struct {
	submission string
	index      int
}

// Findings are the faults found, and the work done by the run's own jobs.
type Findings struct {
	// StartedTasks counts the tasks that started at least once.
	StartedTasks int
	// DoubleStarts counts the starts beyond each task's first.
	DoubleStarts int
	// FalseNotRun counts the started tasks that callers were told did not
	// run.
	FalseNotRun int
	// UnrecordedTasks counts tasks of jobs answered OK without a record of a start.
	UnrecordedTasks int
	// TaskRuns are the runs of all tasks, from the start of the trace.
	TaskRuns []ideal.Interval
	// TaskStarts are the starts of all tasks.
	TaskStarts []TaskStart
	// SuccessfulRuns are those of jobs answered OK that nobody cancelled.
	SuccessfulRuns []ideal.Interval
}

// TaskStart is the start of one task. Instants count from the start of the trace.
type TaskStart struct {
	StartedAt time.Duration
	// SubmittedAt is when the task's job should have been submitted.
	SubmittedAt time.Duration
}

// Compare judges the records of a run that began at start.
func Compare(records []loadgen.Record, starts Starts, start time.Time) Findings {
	var f Findings
	own := make(map[string]loadgen.Record, len(records))
	for _, r := range records {
		own[r.ID.String()] = r
	}
	count := make(map[taskKey]int)
	for _, s := range starts {
		r, ok := own[s.Submission]
		if !ok {
			continue
		}
		count[taskKey{s.Submission, s.Task}]++
		f.TaskStarts = append(f.TaskStarts, TaskStart{StartedAt: s.StartedAt.Sub(start), SubmittedAt: r.Job.Arrival})
		f.addTaskRun(s, start, r.Answered && r.Code == result.OK && r.Job.CancelAt == 0)
	}
	f.StartedTasks = len(count)
	for _, n := range count {
		f.DoubleStarts += n - 1
	}
	for _, r := range records {
		f.checkAnswer(r, count)
	}
	return f
}

func (f *Findings) addTaskRun(s Start, start time.Time, good bool) {
	if s.EndedAt.IsZero() {
		return
	}
	span := ideal.Interval{Start: s.StartedAt.Sub(start), End: s.EndedAt.Sub(start)}
	f.TaskRuns = append(f.TaskRuns, span)
	if good {
		f.SuccessfulRuns = append(f.SuccessfulRuns, span)
	}
}

func (f *Findings) checkAnswer(r loadgen.Record, count map[taskKey]int) {
	id := r.ID.String()
	for _, index := range r.NotRunTasks {
		if count[taskKey{id, index}] > 0 {
			f.FalseNotRun++
		}
	}
	if !r.Answered || r.Code != result.OK {
		return
	}
	for index := range r.Job.RunTimes {
		if count[taskKey{id, index}] == 0 {
			f.UnrecordedTasks++
		}
	}
}

// LongestStartGap is the longest time inside the window without any start while a
// job waited for one. A job waits from its submission to its last start.
func LongestStartGap(begins []TaskStart, window ideal.Interval) time.Duration {
	sorted := slices.Clone(begins)
	slices.SortFunc(sorted, func(a, b TaskStart) int { return cmp.Compare(a.StartedAt, b.StartedAt) })
	var longest time.Duration
	for i := len(sorted) - 1; i > 0; i-- {
		sorted[i-1].SubmittedAt = min(sorted[i-1].SubmittedAt, sorted[i].SubmittedAt)
		waited := max(sorted[i-1].StartedAt, sorted[i].SubmittedAt, window.Start)
		if sorted[i].StartedAt <= window.End {
			longest = max(longest, sorted[i].StartedAt-waited)
		}
	}
	return longest
}
