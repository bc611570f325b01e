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

	"github.com/pomelosill/pomelosill/internal/load/drive"
	"github.com/pomelosill/pomelosill/internal/load/ideal"
	"github.com/pomelosill/pomelosill/internal/result"
)

// Start is one start in the record of a stand-in endpoint.
type Start struct {
	Submission string    `json:"submission"`
	Task       int       `json:"task"`
	Started    time.Time `json:"started"`
	// Ended is zero while the task runs.
	Ended time.Time `json:"ended"`
}

// Starts is a record of starts.
type Starts []Start

type startsPage struct {
	Starts Starts `json:"starts"`
}

// ReadStarts collects the records of all endpoints.
func ReadStarts(ctx context.Context, client *http.Client, endpoints []string) (Starts, error) {
	var all Starts
	for _, e := range endpoints {
		var page startsPage
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

// task names one task.
type task struct {
	submission string
	index      int
}

// Findings are the faults found, and the work done by the run's own jobs.
type Findings struct {
	// Started counts the tasks that started at least once.
	Started int
	// DoubleStarts counts the starts beyond each task's first.
	DoubleStarts int
	// FalseNotRun counts the started tasks that callers were told did not
	// run.
	FalseNotRun int
	// Missing counts tasks of jobs answered OK without a record of a start.
	Missing int
	// Spans are the runs of all tasks, from the start of the trace.
	Spans []ideal.Span
	// Begins are the starts of all tasks.
	Begins []Begin
	// GoodSpans are those of jobs answered OK that nobody cancelled.
	GoodSpans []ideal.Span
}

// Begin is the start of one task. Instants count from the start of the trace.
type Begin struct {
	At time.Duration
	// Submitted is when the task's job should have been submitted.
	Submitted time.Duration
}

// Compare judges the records of a run that began at start.
func Compare(records []drive.Record, starts Starts, start time.Time) Findings {
	var f Findings
	own := make(map[string]drive.Record, len(records))
	for _, r := range records {
		own[r.ID.String()] = r
	}
	count := make(map[task]int)
	for _, s := range starts {
		r, ok := own[s.Submission]
		if !ok {
			continue
		}
		count[task{s.Submission, s.Task}]++
		f.Begins = append(f.Begins, Begin{At: s.Started.Sub(start), Submitted: r.Job.At})
		f.addSpan(s, start, r.Answered && r.Code == result.OK && r.Job.CancelAt == 0)
	}
	f.Started = len(count)
	for _, n := range count {
		f.DoubleStarts += n - 1
	}
	for _, r := range records {
		f.judge(r, count)
	}
	return f
}

func (f *Findings) addSpan(s Start, start time.Time, good bool) {
	if s.Ended.IsZero() {
		return
	}
	span := ideal.Span{Start: s.Started.Sub(start), End: s.Ended.Sub(start)}
	f.Spans = append(f.Spans, span)
	if good {
		f.GoodSpans = append(f.GoodSpans, span)
	}
}

func (f *Findings) judge(r drive.Record, count map[task]int) {
	id := r.ID.String()
	for _, index := range r.NotRun {
		if count[task{id, index}] > 0 {
			f.FalseNotRun++
		}
	}
	if !r.Answered || r.Code != result.OK {
		return
	}
	for index := range r.Job.Runs {
		if count[task{id, index}] == 0 {
			f.Missing++
		}
	}
}

// LongestGap is the longest time inside the window without any start while a
// job waited for one. A job waits from its submission to its last start.
func LongestGap(begins []Begin, window ideal.Span) time.Duration {
	sorted := slices.Clone(begins)
	slices.SortFunc(sorted, func(a, b Begin) int { return cmp.Compare(a.At, b.At) })
	var longest time.Duration
	for i := len(sorted) - 1; i > 0; i-- {
		sorted[i-1].Submitted = min(sorted[i-1].Submitted, sorted[i].Submitted)
		waited := max(sorted[i-1].At, sorted[i].Submitted, window.Start)
		if sorted[i].At <= window.End {
			longest = max(longest, sorted[i].At-waited)
		}
	}
	return longest
}
