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

// A refusal says that nothing ran, and nothing did.
func TestRefusalsAreTrue(t *testing.T) {
	f := newSystem(t, systemOptions{dispatchers: 1, endpoints: 1, runDuration: constantDuration(time.Millisecond)})
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
		status, body := f.post(t.Context(), f.dispatchers[0], c.path, c.body)
		must.Eq(t, c.status, status, must.Sprint(body))
		must.StrContains(t, body, `"code":`)
	}
	must.Eq(t, 0, f.judge.Starts(jobID(1)))
}

// Every answer that says "not run" is checked against the starts that the
// endpoints saw, under three times the load that fits.
func TestOverloadIsRefusedTruly(t *testing.T) {
	f := newSystem(t, systemOptions{dispatchers: 2, endpoints: 2, runDuration: constantDuration(100 * time.Millisecond)})
	var served, refusedJobs, other atomic.Int64
	var wg sync.WaitGroup
	for i := range 240 {
		wg.Go(func() {
			id := jobID(i + 1)
			status, body := f.post(t.Context(), f.dispatchers[i%2], "/p/"+id, fmt.Sprintf(jobTemplate, 2, 100))
			switch status {
			case http.StatusOK:
				served.Add(1)
				if f.judge.Starts(id) < 2 {
					t.Errorf("%s is said to be done after %d starts", id, f.judge.Starts(id))
				}
			case http.StatusServiceUnavailable:
				refusedJobs.Add(1)
				if n := f.judge.Starts(id); n > 0 {
					t.Errorf("%s is said not to have run after %d starts: %s", id, n, body)
				}
			default:
				other.Add(1)
			}
		})
		time.Sleep(8 * time.Millisecond)
	}
	wg.Wait()
	t.Logf("served %d, refused %d, other %d", served.Load(), refusedJobs.Load(), other.Load())
	must.Positive(t, refusedJobs.Load())
	must.Positive(t, served.Load())
	must.SliceEmpty(t, f.judge.Violations())
}

// A cancelled job whose tasks run must not be said not to have run.
func TestCancelledJobThatRunsIsNotRefused(t *testing.T) {
	f := newSystem(t, systemOptions{dispatchers: 1, endpoints: 1, runDuration: constantDuration(time.Hour)})
	m := f.dispatchers[0]
	answers := make(chan string, 1)
	go func() {
		_, body := f.postUntilAccepted(m, "/p/"+jobID(1), fmt.Sprintf(jobTemplate, 2, 900))
		answers <- body
	}()
	must.True(t, eventually(func() bool { return f.endpoints[0].Running() == 2 }))
	req, err := http.NewRequestWithContext(t.Context(), http.MethodDelete, "http://"+m.callerAddress+"/p/"+jobID(1), nil)
	must.NoError(t, err)
	req.Host = callerHost
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	_ = resp.Body.Close()
	must.Eq(t, http.StatusOK, resp.StatusCode)
	must.StrContains(t, <-answers, `"code":204`)
	must.True(t, eventually(func() bool { return f.endpoints[0].Running() == 0 }))
}

// A job that is given up after a start must not be said not to have run.
func TestGivenUpJobThatRanIsNotRefused(t *testing.T) {
	f := newSystem(t, systemOptions{dispatchers: 1, endpoints: 1, runDuration: constantDuration(time.Hour)})
	var status int
	var body string
	// A busy machine may have the first of them refused before any start.
	must.True(t, eventually(func() bool {
		n := f.judge.TotalStarts() + 1
		status, body = f.post(t.Context(), f.dispatchers[0], "/p/"+jobID(n), fmt.Sprintf(jobTemplate, 2, 100))
		return f.judge.Starts(jobID(n)) > 0
	}))
	must.Eq(t, http.StatusGatewayTimeout, status, must.Sprint(body))
	must.StrContains(t, body, `"code":209`)
}
