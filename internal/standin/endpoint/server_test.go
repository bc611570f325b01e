package endpoint_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"go.uber.org/goleak"

	"github.com/pomelosill/pomelosill/internal/standin/endpoint"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fixture struct {
	*endpoint.Server
	url    string
	client *http.Client
}

func startServer(t *testing.T) *fixture {
	s := endpoint.NewServer("e1", 1, io.Discard)
	server := httptest.NewServer(s.Handler())
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(func() {
		s.Close()
		client.CloseIdleConnections()
		server.Close()
	})
	return &fixture{Server: s, url: server.URL, client: client}
}

// run posts one task and returns the status, or zero if the connection was
// closed.
func (f *fixture) run(t *testing.T, task, payload string) (int, endpoint.Answer) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.url+"/run", strings.NewReader(payload))
	must.NoError(t, err)
	req.Header.Set(endpoint.SubmissionHeader, "s")
	req.Header.Set(endpoint.TaskHeader, task)
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, endpoint.Answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	var a endpoint.Answer
	_ = json.NewDecoder(resp.Body).Decode(&a)
	return resp.StatusCode, a
}

func TestRunsAreAnsweredAndRecorded(t *testing.T) {
	f := startServer(t)
	status, a := f.run(t, "3", `{"run_ms":1,"echo":"x"}`)
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, endpoint.Answer{Endpoint: "e1", Submission: "s", Task: 3, Echo: "x"}, a)
	status, _ = f.run(t, "4", `{"fail":true}`)
	must.Eq(t, http.StatusInternalServerError, status)
	status, _ = f.run(t, "x", `{}`)
	must.Eq(t, http.StatusBadRequest, status)
	got := f.Starts()
	must.Len(t, 2, got.Starts)
	must.Eq(t, 3, got.Starts[0].Task)
	must.False(t, got.Starts[0].Ended.Before(got.Starts[0].Started))
	must.Zero(t, got.Running)
}

func TestFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults endpoint.Faults
		status int
		starts int
	}{
		{"none", endpoint.Faults{}, http.StatusOK, 1},
		{"fail all", endpoint.Faults{FailAll: true}, http.StatusInternalServerError, 1},
		{"slow", endpoint.Faults{SlowFactor: 2}, http.StatusOK, 1},
		{"refuse", endpoint.Faults{Refuse: true}, 0, 0},
		{"cut before", endpoint.Faults{CutBefore: 1}, 0, 0},
		{"cut during", endpoint.Faults{CutDuring: 1}, 0, 1},
		{"cut after", endpoint.Faults{CutAfter: 1}, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := startServer(t)
			f.SetFaults(c.faults)
			status, _ := f.run(t, "0", `{"run_ms":1}`)
			must.Eq(t, c.status, status)
			must.Len(t, c.starts, f.Starts().Starts)
		})
	}
}

func TestCutCountsDown(t *testing.T) {
	f := startServer(t)
	f.SetFaults(endpoint.Faults{CutBefore: 1})
	status, _ := f.run(t, "0", `{}`)
	must.Zero(t, status)
	status, _ = f.run(t, "0", `{}`)
	must.Eq(t, http.StatusOK, status)
}

func TestFrozenRunsContinueWhenUnfrozen(t *testing.T) {
	f := startServer(t)
	f.SetFaults(endpoint.Faults{Freeze: true})
	answered := make(chan int, 1)
	go func() {
		status, _ := f.run(t, "0", `{}`)
		answered <- status
	}()
	f.SetFaults(endpoint.Faults{})
	must.Eq(t, http.StatusOK, <-answered)
}

func TestStartsAboveSlotsAreCounted(t *testing.T) {
	f := startServer(t)
	done := make(chan int, 2)
	for range 2 {
		go func() {
			status, _ := f.run(t, "0", `{"run_ms":300}`)
			done <- status
		}()
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return f.Starts().AboveSlots == 1 })))
	must.Eq(t, http.StatusOK, <-done)
	must.Eq(t, http.StatusOK, <-done)
}
