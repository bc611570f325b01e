package audit

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/load/ideal"
	"github.com/pomelosill/pomelosill/internal/load/loadgen"
	"github.com/pomelosill/pomelosill/internal/load/report"
	"github.com/pomelosill/pomelosill/internal/load/trace"
	"github.com/pomelosill/pomelosill/internal/result"
)

var (
	testStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	idA       = uuid.MustParse("0190a000-0000-7000-8000-00000000000a")
	idB       = uuid.MustParse("0190a000-0000-7000-8000-00000000000b")
)

func newStart(id uuid.UUID, task int, from, to time.Duration) Start {
	return Start{Submission: id.String(), Task: task, StartedAt: testStart.Add(from), EndedAt: testStart.Add(to)}
}

func newRecord(id uuid.UUID, tasks int, out loadgen.Outcome) loadgen.Record {
	job := trace.Job{RunTimes: make([]time.Duration, tasks)}
	return loadgen.Record{Request: loadgen.Request{ID: id, Job: job}, Outcome: out}
}

func TestCompareFindsViolations(t *testing.T) {
	other := uuid.MustParse("0190a000-0000-7000-8000-00000000000c")
	records := []loadgen.Record{
		newRecord(idA, 3, loadgen.Outcome{Answered: true, Code: result.OK}),
		newRecord(idB, 2, loadgen.Outcome{Answered: true, Code: result.Cancelled, NotRunTasks: []int{0, 1}}),
	}
	starts := Starts{
		newStart(idA, 0, 0, time.Second),
		newStart(idA, 1, 0, time.Second),
		newStart(idA, 1, time.Second, 2*time.Second),
		newStart(idB, 1, time.Second, 3*time.Second),
		newStart(other, 0, 0, time.Second),
		{Submission: idB.String(), Task: 1, StartedAt: testStart},
	}
	got := Compare(records, starts, testStart)
	must.Eq(t, 3, got.StartedTasks)
	must.Eq(t, 2, got.DoubleStarts)
	must.Eq(t, 1, got.FalseNotRun)
	must.Eq(t, 1, got.UnrecordedTasks)
	must.Len(t, 4, got.TaskRuns)
	must.Len(t, 3, got.SuccessfulRuns)
}

func TestLongestStartGap(t *testing.T) {
	cases := []struct {
		name   string
		starts []TaskStart
		want   time.Duration
	}{
		{"no starts", nil, 0},
		{"a job waits throughout", []TaskStart{{StartedAt: 9}, {StartedAt: 3}, {StartedAt: 4}}, 5},
		{"no job waits at first", []TaskStart{{StartedAt: 3}, {StartedAt: 9, SubmittedAt: 8}}, 1},
		{"the job of a later start waits longer", []TaskStart{{StartedAt: 3}, {StartedAt: 9, SubmittedAt: 8}, {StartedAt: 10, SubmittedAt: 4}}, 5},
		{"start before the window", []TaskStart{{StartedAt: 0}, {StartedAt: 4}, {StartedAt: 5}}, 2},
		{"start after the window", []TaskStart{{StartedAt: 4}, {StartedAt: 5}, {StartedAt: 20}}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, LongestStartGap(c.starts, ideal.Interval{Start: 2, End: 10}))
		})
	}
}

func TestWastedCountsMessagesBeyondNecessary(t *testing.T) {
	before := Counters{StartsSent: 100, RelaysSent: 5, Heartbeats: 7}
	after := Counters{StartsSent: 213, RelaysSent: 8, RefusalsReceived: 3, Heartbeats: 10, StampsSent: 3}
	got := after.Since(before).Wasted(110)
	must.Eq(t, report.WastedMessages{ExtraStarts: 3, Refusals: 3, Relays: 6, Heartbeats: 3, Stamps: 3}, got)
	must.Eq(t, 12, got.WorkCount())
	must.Eq(t, 6, got.ControlCount())
}
