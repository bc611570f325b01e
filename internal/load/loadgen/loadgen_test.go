package loadgen

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/pomelosill/pomelosill/internal/api"
	"github.com/pomelosill/pomelosill/internal/load/trace"
	"github.com/pomelosill/pomelosill/internal/result"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newRequest(tasks int) Request {
	return Request{
		ID: uuid.MustParse("0190a000-0000-7000-8000-000000000001"),
		Job: trace.Job{
			Team:     "alerts",
			RunTimes: make([]time.Duration, tasks),
			Timeout:  time.Minute,
		},
	}
}

func newAnswer(r Request) api.Answer {
	a := api.Answer{ID: r.ID.String()}
	for i := range r.Job.RunTimes {
		body, _ := json.Marshal(taskEcho{r.Echo(i)})
		a.Tasks = append(a.Tasks, api.TaskAnswer{Index: i, Effect: result.EffectDone, Body: body})
	}
	return a
}

func TestCheckAnswer(t *testing.T) {
	r := newRequest(2)
	cases := []struct {
		name   string
		change func(*api.Answer)
		want   Outcome
	}{
		{"complete", func(*api.Answer) {}, Outcome{Answered: true}},
		{"id of another job", func(a *api.Answer) { a.ID = uuid.NewString() }, Outcome{Answered: true, Mismatched: true}},
		{"task missing", func(a *api.Answer) { a.Tasks = a.Tasks[:1] }, Outcome{Answered: true, Partial: true}},
		{"task repeated", func(a *api.Answer) { a.Tasks[1].Index = 0 }, Outcome{Answered: true, Partial: true}},
		{"failed task under OK", func(a *api.Answer) { a.Tasks[1].Code = result.TaskFailed }, Outcome{Answered: true, Partial: true}},
		{"echo of another task", func(a *api.Answer) { a.Tasks[1].Body = a.Tasks[0].Body }, Outcome{Answered: true, Mismatched: true}},
		{
			"refused",
			func(a *api.Answer) { a.Code, a.Tasks = result.QueueFull, nil },
			Outcome{Answered: true, Code: result.QueueFull, NotRunTasks: []int{0, 1}},
		},
		{
			"cancelled with one task not run",
			func(a *api.Answer) {
				a.Code = result.CancelledAfterStart
				a.Tasks[1].Code, a.Tasks[1].Effect = result.Cancelled, result.EffectNotRun
			},
			Outcome{Answered: true, Code: result.CancelledAfterStart, NotRunTasks: []int{1}},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := newAnswer(r)
			c.change(&a)
			must.Eq(t, c.want, CheckAnswer(r, a))
		})
	}
}

// fakeEntry answers every job completely and counts the submissions of each id.
// It aborts the connection of the first abortsLeft requests.
type fakeEntry struct {
	abortsLeft  atomic.Int64
	mu          sync.Mutex
	submissions map[string]int
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var job api.Job
	_ = json.NewDecoder(r.Body).Decode(&job)
	f.mu.Lock()
	f.submissions[job.ID]++
	f.mu.Unlock()
	if f.abortsLeft.Add(-1) >= 0 {
		panic(http.ErrAbortHandler)
	}
	a := api.Answer{ID: job.ID}
	for i, task := range job.Tasks {
		a.Tasks = append(a.Tasks, api.TaskAnswer{Index: i, Body: task.Payload})
	}
	_ = json.NewEncoder(w).Encode(a)
}

func TestEntryClientResubmitsUnderSameIDAfterBrokenConnection(t *testing.T) {
	fake := &fakeEntry{submissions: map[string]int{}}
	fake.abortsLeft.Store(2)
	server := httptest.NewServer(fake)
	defer server.Close()
	client := NewHTTPClient()
	defer client.CloseIdleConnections()
	c := NewEntryClient(client, []string{server.URL, server.URL}, "")
	r := newRequest(3)
	must.Eq(t, Outcome{Answered: true, Resubmissions: 2}, c.Submit(context.Background(), r))
	must.Eq(t, map[string]int{r.ID.String(): 3}, fake.submissions)
}

// fakeEndpoint echoes payloads and records the highest number of concurrent
// runs.
type fakeEndpoint struct {
	running    atomic.Int64
	maxRunning atomic.Int64
}

func (f *fakeEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := f.running.Add(1)
	defer f.running.Add(-1)
	for highest := f.maxRunning.Load(); n > highest && !f.maxRunning.CompareAndSwap(highest, n); highest = f.maxRunning.Load() {
	}
	var p taskPayload
	_ = json.NewDecoder(r.Body).Decode(&p)
	_ = json.NewEncoder(w).Encode(taskEcho{p.Echo})
}

func TestBaselinesRunEveryTaskWithinSlots(t *testing.T) {
	const slots = 2
	fakes := []*fakeEndpoint{{}, {}, {}}
	var urls []string
	for _, f := range fakes {
		server := httptest.NewServer(f)
		defer server.Close()
		urls = append(urls, server.URL)
	}
	client := NewHTTPClient()
	defer client.CloseIdleConnections()
	fcfs := NewFCFS(client, urls, slots)
	defer fcfs.Close()
	choices := NewPowerOfTwoChoices(client, urls, slots, 2, 1)
	defer choices.Close()
	batch := trace.Batch("alerts", 20, 30, 0, 0, 0, time.Minute)
	for _, s := range []Submitter{fcfs, choices} {
		records := Run(context.Background(), s, trace.Trace{Jobs: batch}, time.Now())
		must.Len(t, len(batch), records)
		for _, r := range records {
			must.Eq(t, Outcome{Answered: true}, r.Outcome)
		}
	}
	for _, f := range fakes {
		must.Between(t, 1, f.maxRunning.Load(), slots)
	}
}

func TestPowerOfTwoChoicesPrefersLessLoadedEndpoint(t *testing.T) {
	choices := NewPowerOfTwoChoices(nil, nil, 0, 1, 1)
	d := choices.dispatchers[0]
	d.inFlight = []int{1000, 0}
	for range 100 {
		if e := d.chooseEndpoint(); e == 0 {
			// Both draws were endpoint 0; undo the count.
			d.release(0)
		}
	}
	must.Eq(t, 1000, d.inFlight[0])
	must.Greater(t, 50, d.inFlight[1])
}
