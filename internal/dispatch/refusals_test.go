package dispatch_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// After a refusal, which says that nothing ran, no start may have happened.
func TestRefusedJobsDidNotRun(t *testing.T) {
	sys := newSystem(t, systemOptions{dispatchers: 1, endpoints: 1, runDuration: constantDuration(time.Millisecond)})
	cases := []struct {
		path, body string
		status     int
	}{
		{"/nowhere/" + jobID(1), fmt.Sprintf(jobTemplate, 1, 10), http.StatusNotFound},
		{"/p/" + jobID(1), `{`, http.StatusBadRequest},
		{"/p/short", fmt.Sprintf(jobTemplate, 1, 10), http.StatusBadRequest},
		{"/p/" + jobID(1), `{"steps":[{"count":1}]}`, http.StatusUnprocessableEntity},
		{"/p/" + jobID(1), `{"best_effort":true,"steps":[{"count":1,"cpu":99000}]}`, http.StatusServiceUnavailable},
		{"/p/" + jobID(1), `{"best_effort":true,"spec":"` + strings.Repeat("x", 300_000) + `"}`, http.StatusRequestEntityTooLarge},
	}
	for _, c := range cases {
		status, body := sys.post(t.Context(), sys.dispatchers[0], c.path, c.body)
		must.Eq(t, c.status, status, must.Sprint(body))
		must.StrContains(t, body, `"code":`)
	}
	must.Eq(t, 0, sys.checker.Starts(jobID(1)))
}

// Under three times the load that fits, every answer that says "not run" is
// checked against the starts that the endpoints recorded.
func TestJobsRefusedUnderOverloadDidNotRun(t *testing.T) {
	sys := newSystem(t, systemOptions{dispatchers: 2, endpoints: 2, runDuration: constantDuration(100 * time.Millisecond)})
	var served, refused, other atomic.Int64
	var wg sync.WaitGroup
	for i := range 240 {
		wg.Go(func() {
			id := jobID(i + 1)
			status, body := sys.post(t.Context(), sys.dispatchers[i%2], "/p/"+id, fmt.Sprintf(jobTemplate, 2, 100))
			switch status {
			case http.StatusOK:
				served.Add(1)
				if sys.checker.Starts(id) < 2 {
					t.Errorf("%s was answered as done after %d starts", id, sys.checker.Starts(id))
				}
			case http.StatusServiceUnavailable:
				refused.Add(1)
				if n := sys.checker.Starts(id); n > 0 {
					t.Errorf("%s was answered as not run after %d starts: %s", id, n, body)
				}
			default:
				other.Add(1)
			}
		})
		time.Sleep(8 * time.Millisecond)
	}
	wg.Wait()
	t.Logf("served %d, refused %d, other %d", served.Load(), refused.Load(), other.Load())
	must.Positive(t, refused.Load())
	must.Positive(t, served.Load())
	must.SliceEmpty(t, sys.checker.Violations())
}

// A job cancelled while its tasks run must not be answered as not run.
func TestCancelledRunningJobIsNotAnsweredAsNotRun(t *testing.T) {
	sys := newSystem(t, systemOptions{dispatchers: 1, endpoints: 1, runDuration: constantDuration(time.Hour)})
	d := sys.dispatchers[0]
	answers := make(chan string, 1)
	go func() {
		_, body := sys.postUntilAccepted(d, "/p/"+jobID(1), fmt.Sprintf(jobTemplate, 2, 900))
		answers <- body
	}()
	must.True(t, eventually(func() bool { return sys.endpoints[0].Running() == 2 }))
	req, err := http.NewRequestWithContext(t.Context(), http.MethodDelete, "http://"+d.callerAddress+"/p/"+jobID(1), nil)
	must.NoError(t, err)
	req.Host = callerHost
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	_ = resp.Body.Close()
	must.Eq(t, http.StatusOK, resp.StatusCode)
	must.StrContains(t, <-answers, `"code":204`)
	must.True(t, eventually(func() bool { return sys.endpoints[0].Running() == 0 }))
}

// A job that expires after a start must not be answered as not run.
func TestExpiredStartedJobIsNotAnsweredAsNotRun(t *testing.T) {
	sys := newSystem(t, systemOptions{dispatchers: 1, endpoints: 1, runDuration: constantDuration(time.Hour)})
	var status int
	var body string
	// On a busy machine, the first jobs may be refused before any start.
	must.True(t, eventually(func() bool {
		n := sys.checker.TotalStarts() + 1
		status, body = sys.post(t.Context(), sys.dispatchers[0], "/p/"+jobID(n), fmt.Sprintf(jobTemplate, 2, 100))
		return sys.checker.Starts(jobID(n)) > 0
	}))
	must.Eq(t, http.StatusGatewayTimeout, status, must.Sprint(body))
	must.StrContains(t, body, `"code":209`)
}

// A job that arrives at a dispatcher that has just started, as callers send it
// again after a failure, must wait for the policy and the runners instead of
// being refused.
func TestJobAtStartingDispatcherWaits(t *testing.T) {
	sys := newSystem(t, systemOptions{dispatchers: 1, endpoints: 2, runDuration: constantDuration(20 * time.Millisecond)})
	sys.addDispatcher(1, systemOptions{})
	d := sys.dispatchers[1]
	var status int
	var body string
	must.True(t, eventually(func() bool {
		status, body = sys.post(t.Context(), d, "/p/"+jobID(1), fmt.Sprintf(jobTemplate, 2, 400))
		return status != 0
	}))
	must.Eq(t, http.StatusOK, status, must.Sprint(body))
}
