package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/clock"
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
// where n ends in the digit 1 for the jobs that fill it.
func runTime(run workload.RunID) time.Duration {
	task, _ := workload.ParseTaskID(run.Task)
	if strings.HasSuffix(task.Job, "1") {
		return fillMS * time.Millisecond
	}
	return overflowMS * time.Millisecond
}

// fill submits jobs that fill the endpoints, more than these can serve, until ctx ends.
func (sys *testSystem) fill(ctx context.Context) {
	var jobs sync.WaitGroup
	defer jobs.Wait()
	for n := 1; clock.Sleep(ctx, 20*time.Millisecond); n++ {
		jobs.Go(func() {
			id := jobID(n*16 + 1)
			status, body := sys.post(sys.t.Context(), sys.dispatchers[0], "/p/"+id, fmt.Sprintf(jobTemplate, 1, fillMS))
			if status == http.StatusServiceUnavailable && sys.checker.Starts(id) > 0 {
				sys.t.Errorf("%s was answered as not run after a start: %s", id, body)
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
		if !slow.Swap(true) {
			e.Duration = func(run workload.RunID) time.Duration { return slowFactor * runTime(run) }
		}
	}})
	ctx, stop := context.WithCancel(t.Context())
	var filling sync.WaitGroup
	filling.Go(func() { sys.fill(ctx) })
	served, n := 0, 0
	must.True(t, eventually(func() bool {
		n++
		id := jobID(n*16 + 2)
		startedAt := time.Now()
		status, _ := sys.post(t.Context(), sys.dispatchers[0], "/p/"+id, fmt.Sprintf(jobTemplate, 3, overflowMS))
		if status == http.StatusOK && strings.Contains(sys.log.String(), `"job: admitted as overflow","job":"`+id) {
			served++
			must.Greater(t, slowFactor*overflowMS*time.Millisecond, time.Since(startedAt), must.Sprint("it ran at the sound endpoint"))
		}
		return served == 5
	}))
	stop()
	filling.Wait()
	must.False(t, regexp.MustCompile(`admitted as overflow","job":"[0-9a-f]*1"`).MatchString(sys.log.String()), must.Sprint("a long job"))
	must.SliceEmpty(t, sys.checker.Violations())
}
