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

	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform/platformtest"
)

const (
	// slowFactor is how much slower one of the endpoints is than estimated.
	slowFactor = 6
	// fillMS and overflowMS are the estimates of the jobs that fill the sound endpoint,
	// and of those that a slow endpoint ends before their late bound.
	fillMS     = 400
	overflowMS = 20
)

// runTime returns the run time at a sound endpoint of a job whose ID is jobID(n),
// where n is odd for the jobs that fill it.
func runTime(run workload.RunID) time.Duration {
	task, _ := workload.ParseTaskID(run.Task)
	if strings.HasSuffix(task.Job, "1") {
		return fillMS * time.Millisecond
	}
	return overflowMS * time.Millisecond
}

// submitUntil submits jobs that fill the endpoints, more than these can serve, until
// the channel is closed, and returns when all are answered.
func (sys *testSystem) submitUntil(stop <-chan struct{}) {
	var wg sync.WaitGroup
	for n := 1; ; n++ {
		select {
		case <-stop:
			wg.Wait()
			return
		case <-time.After(20 * time.Millisecond):
		}
		wg.Go(func() {
			id := jobID(n*16 + 1)
			status, body := sys.post(sys.t.Context(), sys.dispatchers[0], "/p/"+id, fmt.Sprintf(jobTemplate, 1, fillMS))
			if starts := sys.checker.Starts(id); status == http.StatusServiceUnavailable && starts > 0 {
				sys.t.Errorf("%s was answered as not run after %d starts: %s", id, starts, body)
			}
		})
	}
}

// One of two endpoints is suspended because it is slow, and the other one is full. A
// short job must be answered late instead of refused, and a long one be refused at
// once, although the slow endpoint is idle.
func TestShortJobsAreServedByASlowEndpointUnderOverload(t *testing.T) {
	var slow atomic.Bool
	sys := newSystem(t, systemOptions{dispatchers: 1, endpoints: 2, runDuration: runTime, configureEndpoint: func(e *platformtest.Endpoint) {
		if slow.Swap(true) {
			return
		}
		e.Duration = func(run workload.RunID) time.Duration { return slowFactor * runTime(run) }
	}})
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		sys.submitUntil(stop)
	}()
	served, refused, late := 0, 0, 0
	for n := 1; n < 300 && served < 5; n++ {
		id := jobID(n*16 + 2)
		startedAt := time.Now()
		status, body := sys.post(t.Context(), sys.dispatchers[0], "/p/"+id, fmt.Sprintf(jobTemplate, 3, overflowMS))
		if status == http.StatusServiceUnavailable {
			refused++
			must.Eq(t, 0, sys.checker.Starts(id), must.Sprint(body))
		}
		if status == http.StatusOK && strings.Contains(sys.log.String(), `"job: admitted as overflow","job":"`+id) {
			served++
			if time.Since(startedAt) > 92*time.Millisecond {
				late++
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	close(stop)
	<-stopped
	t.Logf("served as overflow %d, of these late %d, refused %d", served, late, refused)
	must.Eq(t, 5, served)
	must.Positive(t, late)
	log := sys.log.String()
	for _, line := range strings.Split(log, "\n") {
		if strings.Contains(line, "admitted as overflow") {
			must.StrNotContains(t, line, `1","route"`, must.Sprint("a long job"))
		}
	}
	must.SliceEmpty(t, sys.checker.Violations())
}
