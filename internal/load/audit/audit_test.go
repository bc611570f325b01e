package audit

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/load/drive"
	"github.com/pomelosill/pomelosill/internal/load/ideal"
	"github.com/pomelosill/pomelosill/internal/load/report"
	"github.com/pomelosill/pomelosill/internal/load/trace"
	"github.com/pomelosill/pomelosill/internal/result"
)

var (
	begin = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	idA   = uuid.MustParse("0190a000-0000-7000-8000-00000000000a")
	idB   = uuid.MustParse("0190a000-0000-7000-8000-00000000000b")
)

func start(id uuid.UUID, task int, from, to time.Duration) Start {
	return Start{Submission: id.String(), Task: task, Started: begin.Add(from), Ended: begin.Add(to)}
}

func record(id uuid.UUID, tasks int, out drive.Outcome) drive.Record {
	job := trace.Job{Runs: make([]time.Duration, tasks)}
	return drive.Record{Request: drive.Request{ID: id, Job: job}, Outcome: out}
}

func TestCompare(t *testing.T) {
	other := uuid.MustParse("0190a000-0000-7000-8000-00000000000c")
	records := []drive.Record{
		record(idA, 3, drive.Outcome{Answered: true, Code: result.OK}),
		record(idB, 2, drive.Outcome{Answered: true, Code: result.Cancelled, NotRun: []int{0, 1}}),
	}
	starts := Starts{
		start(idA, 0, 0, time.Second),
		start(idA, 1, 0, time.Second),
		start(idA, 1, time.Second, 2*time.Second),
		start(idB, 1, time.Second, 3*time.Second),
		start(other, 0, 0, time.Second),
		{Submission: idB.String(), Task: 1, Started: begin},
	}
	got := Compare(records, starts, begin)
	must.Eq(t, 3, got.Started)
	must.Eq(t, 2, got.DoubleStarts)
	must.Eq(t, 1, got.FalseNotRun)
	must.Eq(t, 1, got.Missing)
	must.Len(t, 4, got.Spans)
	must.Len(t, 3, got.GoodSpans)
}

func TestLongestGap(t *testing.T) {
	cases := []struct {
		name   string
		begins []Begin
		want   time.Duration
	}{
		{"none", nil, 0},
		{"a job waits all the time", []Begin{{At: 9}, {At: 3}, {At: 4}}, 5},
		{"nothing to start at first", []Begin{{At: 3}, {At: 9, Submitted: 8}}, 1},
		{"a later start's job waited longer", []Begin{{At: 3}, {At: 9, Submitted: 8}, {At: 10, Submitted: 4}}, 5},
		{"before the window", []Begin{{At: 0}, {At: 4}, {At: 5}}, 2},
		{"after the window", []Begin{{At: 4}, {At: 5}, {At: 20}}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, LongestGap(c.begins, ideal.Span{Start: 2, End: 10}))
		})
	}
}

func TestWasted(t *testing.T) {
	before := Counters{StartsSent: 100, RelaysSent: 5, Heartbeats: 7}
	after := Counters{StartsSent: 213, RelaysSent: 8, RefusalsReceived: 3, Heartbeats: 10, StampsSent: 3}
	got := after.Since(before).Wasted(110)
	must.Eq(t, report.Wasted{ExtraStarts: 3, Refusals: 3, Relays: 6, Heartbeats: 3, Stamps: 3}, got)
	must.Eq(t, 12, got.Work())
	must.Eq(t, 6, got.Control())
}
