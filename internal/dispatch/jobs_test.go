package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform/platformtest"
)

func TestJobIsServedWhole(t *testing.T) {
	f := newSystem(t, systemOptions{dispatchers: 1, endpoints: 2, runDuration: constantDuration(40 * time.Millisecond)})
	status, body := f.postUntilAccepted(f.dispatchers[0], "/p/"+jobID(1), fmt.Sprintf(jobTemplate, 6, 40))
	must.Eq(t, http.StatusOK, status, must.Sprint(body))
	must.StrContains(t, body, "completed")
	must.Eq(t, 6, f.judge.Starts(jobID(1)))
	must.SliceEmpty(t, f.judge.Violations())
}

func TestStepsFollowEachOther(t *testing.T) {
	f := newSystem(t, systemOptions{dispatchers: 1, endpoints: 1, runDuration: constantDuration(30 * time.Millisecond)})
	body := `{"best_effort":true,"steps":[{"count":2,"cpu":1000,"estimated_ms":30},{"count":1,"cpu":1000,"estimated_ms":30,"after":[0]}]}`
	began := time.Now()
	status, _ := f.postUntilAccepted(f.dispatchers[0], "/p/"+jobID(1), body)
	must.Eq(t, http.StatusOK, status)
	must.GreaterEq(t, 60*time.Millisecond, time.Since(began))
	must.Eq(t, 3, f.judge.Starts(jobID(1)))
}

// The same id sent twice at once to one dispatcher is one job.
func TestSameIDIsOneJob(t *testing.T) {
	f := newSystem(t, systemOptions{dispatchers: 1, endpoints: 1, runDuration: constantDuration(200 * time.Millisecond)})
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() {
			status, _ := f.post(t.Context(), f.dispatchers[0], "/p/"+jobID(1), fmt.Sprintf(jobTemplate, 2, 200))
			if status != http.StatusOK {
				t.Errorf("status %d", status)
			}
		})
	}
	wg.Wait()
	must.Eq(t, 2, f.judge.Starts(jobID(1)))
}

// A caller that has left needs no answer: what runs for it is stopped.
func TestAbandonedJobIsStopped(t *testing.T) {
	f := newSystem(t, systemOptions{dispatchers: 1, endpoints: 1, runDuration: constantDuration(time.Hour)})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _, _ = f.post(ctx, f.dispatchers[0], "/p/"+jobID(1), fmt.Sprintf(jobTemplate, 2, 900)) }()
	must.True(t, eventually(func() bool { return f.endpoints[0].Running() == 2 }))
	cancel()
	left := time.Now()
	must.True(t, eventually(func() bool { return f.endpoints[0].Running() == 0 }))
	must.Less(t, time.Second, time.Since(left), must.Sprint("the job was only given up later"))
}

// A task that fails everywhere fails its job after as many attempts as the
// route allows.
func TestHopelessJobFails(t *testing.T) {
	f := newSystem(t, systemOptions{dispatchers: 1, endpoints: 3, runDuration: constantDuration(10 * time.Millisecond),
		configureEndpoint: func(e *platformtest.Endpoint) { e.Fails = func(workload.RunID) bool { return true } }})
	status, body := f.postUntilAccepted(f.dispatchers[0], "/p/"+jobID(1), fmt.Sprintf(jobTemplate, 1, 100))
	must.Eq(t, http.StatusOK, status)
	must.StrContains(t, body, "failed")
	must.Eq(t, 2, f.judge.Starts(jobID(1)))
}

// A shutdown answers what was taken in, and tells the balancer first.
func TestShutdownAnswersEveryCaller(t *testing.T) {
	f := newSystem(t, systemOptions{dispatchers: 1, endpoints: 1, runDuration: constantDuration(500 * time.Millisecond)})
	m := f.dispatchers[0]
	answered := make(chan int, 1)
	go func() {
		status, _ := f.post(context.Background(), m, "/p/"+jobID(1), fmt.Sprintf(jobTemplate, 2, 500))
		answered <- status
	}()
	must.True(t, eventually(func() bool { return f.endpoints[0].Running() == 2 }))
	m.stop()
	must.True(t, eventually(func() bool { return !isReady(m) }))
	must.Eq(t, http.StatusOK, <-answered)
	<-m.done
}

// From the id of a request that failed the log leads to the cause.
func TestLogTellsWhyARequestFailed(t *testing.T) {
	f := newSystem(t, systemOptions{dispatchers: 1, endpoints: 2, runDuration: constantDuration(10 * time.Millisecond),
		configureEndpoint: func(e *platformtest.Endpoint) {
			e.Fails = func(r workload.RunID) bool { return strings.HasPrefix(r.Task, jobID(7)) }
		}})
	status, body := f.postUntilAccepted(f.dispatchers[0], "/p/"+jobID(7), fmt.Sprintf(jobTemplate, 1, 100))
	must.Eq(t, http.StatusOK, status)
	must.StrContains(t, body, "failed")
	var about []string
	must.True(t, eventually(func() bool {
		about = nil
		for _, line := range strings.Split(f.log.String(), "\n") {
			if strings.Contains(line, jobID(7)) {
				about = append(about, line)
			}
		}
		return strings.Contains(strings.Join(about, "\n"), `"job: ended"`)
	}))
	story := strings.Join(about, "\n")
	for _, part := range []string{`"job: taken in"`, `"job: tasks placed"`, `"end":"failed"`, `"task: failed"`, `"failures":2,"max":2`, `"runner":"run-`} {
		must.StrContains(t, story, part)
	}
}
