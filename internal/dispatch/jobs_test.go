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

func TestEveryTaskOfAJobRuns(t *testing.T) {
	sys := newSystem(t, systemOptions{dispatchers: 1, endpoints: 2, runDuration: constantDuration(40 * time.Millisecond)})
	status, body := sys.postUntilAccepted(sys.dispatchers[0], "/p/"+jobID(1), fmt.Sprintf(jobTemplate, 6, 40))
	must.Eq(t, http.StatusOK, status, must.Sprint(body))
	must.StrContains(t, body, "completed")
	must.Eq(t, 6, sys.checker.Starts(jobID(1)))
	must.SliceEmpty(t, sys.checker.Violations())
}

func TestStepWaitsForEarlierSteps(t *testing.T) {
	sys := newSystem(t, systemOptions{dispatchers: 1, endpoints: 1, runDuration: constantDuration(30 * time.Millisecond)})
	body := `{"best_effort":true,"steps":[{"count":2,"cpu":1000,"estimated_ms":30},{"count":1,"cpu":1000,"estimated_ms":30,"after":[0]}]}`
	startedAt := time.Now()
	status, _ := sys.postUntilAccepted(sys.dispatchers[0], "/p/"+jobID(1), body)
	must.Eq(t, http.StatusOK, status)
	must.GreaterEq(t, 60*time.Millisecond, time.Since(startedAt))
	must.Eq(t, 3, sys.checker.Starts(jobID(1)))
}

// The same ID submitted several times at once to one dispatcher must run as one
// job.
func TestSameIDRunsAsOneJob(t *testing.T) {
	sys := newSystem(t, systemOptions{dispatchers: 1, endpoints: 1, runDuration: constantDuration(200 * time.Millisecond)})
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() {
			status, _ := sys.post(t.Context(), sys.dispatchers[0], "/p/"+jobID(1), fmt.Sprintf(jobTemplate, 2, 200))
			if status != http.StatusOK {
				t.Errorf("status %d", status)
			}
		})
	}
	wg.Wait()
	must.Eq(t, 2, sys.checker.Starts(jobID(1)))
}

// The runs of a job must be stopped soon after its last caller has
// disconnected.
func TestJobStopsAfterCallerDisconnects(t *testing.T) {
	sys := newSystem(t, systemOptions{dispatchers: 1, endpoints: 1, runDuration: constantDuration(time.Hour)})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _, _ = sys.post(ctx, sys.dispatchers[0], "/p/"+jobID(1), fmt.Sprintf(jobTemplate, 2, 900)) }()
	must.True(t, eventually(func() bool { return sys.endpoints[0].Running() == 2 }))
	cancel()
	disconnectedAt := time.Now()
	must.True(t, eventually(func() bool { return sys.endpoints[0].Running() == 0 }))
	must.Less(t, time.Second, time.Since(disconnectedAt), must.Sprint("the runs only stopped when the job expired"))
}

// A task that fails at every endpoint must fail its job after the route's
// number of attempts.
func TestTaskFailsJobAfterMaxAttempts(t *testing.T) {
	sys := newSystem(t, systemOptions{dispatchers: 1, endpoints: 3, runDuration: constantDuration(10 * time.Millisecond),
		configureEndpoint: func(e *platformtest.Endpoint) { e.Fails = func(workload.RunID) bool { return true } }})
	status, body := sys.postUntilAccepted(sys.dispatchers[0], "/p/"+jobID(1), fmt.Sprintf(jobTemplate, 1, 100))
	must.Eq(t, http.StatusOK, status)
	must.StrContains(t, body, "failed")
	must.Eq(t, 2, sys.checker.Starts(jobID(1)))
}

// A dispatcher that shuts down must report first that it isn't ready, and
// answer every admitted job.
func TestShutdownAnswersAdmittedJobs(t *testing.T) {
	sys := newSystem(t, systemOptions{dispatchers: 1, endpoints: 1, runDuration: constantDuration(500 * time.Millisecond)})
	d := sys.dispatchers[0]
	answered := make(chan int, 1)
	go func() {
		status, _ := sys.post(context.Background(), d, "/p/"+jobID(1), fmt.Sprintf(jobTemplate, 2, 500))
		answered <- status
	}()
	must.True(t, eventually(func() bool { return sys.endpoints[0].Running() == 2 }))
	d.stop()
	must.True(t, eventually(func() bool { return !isReady(d) }))
	must.Eq(t, http.StatusOK, <-answered)
	<-d.done
}

// An operator must find the cause of a failed request in the log by the job's
// ID.
func TestLogExplainsFailedJob(t *testing.T) {
	sys := newSystem(t, systemOptions{dispatchers: 1, endpoints: 2, runDuration: constantDuration(10 * time.Millisecond),
		configureEndpoint: func(e *platformtest.Endpoint) {
			e.Fails = func(r workload.RunID) bool { return strings.HasPrefix(r.Task, jobID(7)) }
		}})
	status, body := sys.postUntilAccepted(sys.dispatchers[0], "/p/"+jobID(7), fmt.Sprintf(jobTemplate, 1, 100))
	must.Eq(t, http.StatusOK, status)
	must.StrContains(t, body, "failed")
	var about []string
	must.True(t, eventually(func() bool {
		about = nil
		for _, line := range strings.Split(sys.log.String(), "\n") {
			if strings.Contains(line, jobID(7)) {
				about = append(about, line)
			}
		}
		return strings.Contains(strings.Join(about, "\n"), `"job: ended"`)
	}))
	log := strings.Join(about, "\n")
	for _, part := range []string{`"job: admitted"`, `"job: tasks placed"`, `"end":"failed"`, `"task: failed"`, `"failures":2,"max":2`, `"runner":"run-`} {
		must.StrContains(t, log, part)
	}
}
