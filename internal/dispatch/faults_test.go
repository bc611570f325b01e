package dispatch_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/standin/kvstore"
	"github.com/pomelosill/pomelosill/platform"
	"github.com/pomelosill/pomelosill/platform/platformtest"
)

// A third of the start requests gets no response, and some are carried out
// late. Every job must be done, no task may run twice at the same time, and no
// endpoint may exceed its capacity.
func TestUnansweredStartsRunOnce(t *testing.T) {
	var n atomic.Int64
	sys := newSystem(t, systemOptions{
		dispatchers: 2, endpoints: 3, runDuration: constantDuration(30 * time.Millisecond),
		configureEndpoint: func(e *platformtest.Endpoint) {
			e.ChooseFault = func(c platformtest.Call) platformtest.Fault {
				k := n.Add(1)
				switch {
				case c.Kind != "start":
					return platformtest.FaultNone
				case k%5 == 0:
					return platformtest.FaultDelayed
				case k%7 == 0:
					return platformtest.FaultLostAnswer
				}
				return platformtest.FaultNone
			}
		},
	})
	var wg sync.WaitGroup
	var served atomic.Int64
	for i := range 40 {
		wg.Go(func() {
			if status, _ := sys.postUntilAccepted(sys.dispatchers[i%2], "/p/"+jobID(i+1), fmt.Sprintf(jobTemplate, 2, 300)); status == http.StatusOK {
				served.Add(1)
			}
		})
		time.Sleep(15 * time.Millisecond)
	}
	wg.Wait()
	must.Eq(t, 40, served.Load())
	must.SliceEmpty(t, sys.checker.Violations())
}

// Runs that stall at one endpoint must be moved, so that their job is done at
// another.
func TestStalledRunsAreMoved(t *testing.T) {
	sys := newSystem(t, systemOptions{dispatchers: 1, endpoints: 2, runDuration: constantDuration(80 * time.Millisecond)})
	sys.endpoints[0].Stall(true)
	for i := range 4 {
		status, body := sys.postUntilAccepted(sys.dispatchers[0], "/p/"+jobID(i+1), fmt.Sprintf(jobTemplate, 2, 500))
		must.Eq(t, http.StatusOK, status, must.Sprint(body))
	}
	must.SliceEmpty(t, sys.checker.Violations())
}

func TestOperatorChangesApplyOnAllDispatchers(t *testing.T) {
	sys := newSystem(t, systemOptions{dispatchers: 2, endpoints: 2, runDuration: constantDuration(10 * time.Millisecond)})
	statusOf := func(d *dispatcherProcess, path string) int {
		status, _ := sys.post(t.Context(), d, path, fmt.Sprintf(jobTemplate, 1, 50))
		return status
	}
	sys.configure(5, "/q/")
	for _, d := range sys.dispatchers {
		must.True(t, eventually(func() bool { return statusOf(d, "/q/"+jobID(1)) == http.StatusOK }))
		must.Eq(t, http.StatusNotFound, statusOf(d, "/p/"+jobID(1)))
	}
	sys.put(platform.PrefixEvacuate+"z0", "{}")
	sys.put(platform.PrefixEvacuate+"z1", "{}")
	for _, d := range sys.dispatchers {
		must.True(t, eventually(func() bool { return statusOf(d, "/q/"+jobID(2)) == http.StatusServiceUnavailable }))
	}
	e, err := sys.client.Get(t.Context(), platform.PrefixEvacuate+"z0")
	must.NoError(t, err)
	must.NoError(t, sys.client.Delete(t.Context(), platform.PrefixEvacuate+"z0", e.Revision))
	for _, d := range sys.dispatchers {
		must.True(t, eventually(func() bool { return statusOf(d, "/q/"+jobID(3)) == http.StatusOK }))
	}
}

// While the store is unavailable, dispatchers must serve jobs with the policy
// and the directory that they know.
func TestJobsAreServedWithoutStore(t *testing.T) {
	sys := newSystem(t, systemOptions{dispatchers: 2, endpoints: 2, runDuration: constantDuration(10 * time.Millisecond)})
	sys.store.SetFaults(kvstore.Fault{Kind: kvstore.Unavailable})
	time.Sleep(300 * time.Millisecond)
	for i, d := range sys.dispatchers {
		status, body := sys.postUntilAccepted(d, "/p/"+jobID(i+1), fmt.Sprintf(jobTemplate, 2, 50))
		must.Eq(t, http.StatusOK, status, must.Sprint(body))
	}
}
