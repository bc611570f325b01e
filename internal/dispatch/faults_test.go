package dispatch_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	standin "github.com/pomelosill/pomelosill/internal/standin/kvstore"
	"github.com/pomelosill/pomelosill/platform"
	"github.com/pomelosill/pomelosill/platform/platformtest"
)

// A third of the starts gets no answer, some are carried out late: every job
// is done, no task runs twice at once, no endpoint is over its room.
func TestUnansweredStarts(t *testing.T) {
	var n atomic.Int64
	f := newSystem(t, systemOptions{
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
			if status, _ := f.postUntilAccepted(f.dispatchers[i%2], "/p/"+jobID(i+1), fmt.Sprintf(jobTemplate, 2, 300)); status == http.StatusOK {
				served.Add(1)
			}
		})
		time.Sleep(15 * time.Millisecond)
	}
	wg.Wait()
	must.Eq(t, 40, served.Load())
	must.SliceEmpty(t, f.judge.Violations())
}

// A job whose runs stand still at one endpoint is done at another.
func TestStalledRunsAreMoved(t *testing.T) {
	f := newSystem(t, systemOptions{dispatchers: 1, endpoints: 2, runDuration: constantDuration(80 * time.Millisecond)})
	f.endpoints[0].Stall(true)
	for i := range 4 {
		status, body := f.postUntilAccepted(f.dispatchers[0], "/p/"+jobID(i+1), fmt.Sprintf(jobTemplate, 2, 500))
		must.Eq(t, http.StatusOK, status, must.Sprint(body))
	}
	must.SliceEmpty(t, f.judge.Violations())
}

func TestOperatorsChangesAreInForce(t *testing.T) {
	f := newSystem(t, systemOptions{dispatchers: 2, endpoints: 2, runDuration: constantDuration(10 * time.Millisecond)})
	serves := func(m *dispatcherProcess, path string) int {
		status, _ := f.post(t.Context(), m, path, fmt.Sprintf(jobTemplate, 1, 50))
		return status
	}
	f.configure(5, "/q/")
	for _, m := range f.dispatchers {
		must.True(t, eventually(func() bool { return serves(m, "/q/"+jobID(1)) == http.StatusOK }))
		must.Eq(t, http.StatusNotFound, serves(m, "/p/"+jobID(1)))
	}
	f.put(platform.PrefixEvacuate+"z0", "{}")
	f.put(platform.PrefixEvacuate+"z1", "{}")
	for _, m := range f.dispatchers {
		must.True(t, eventually(func() bool { return serves(m, "/q/"+jobID(2)) == http.StatusServiceUnavailable }))
	}
	e, err := f.client.Get(t.Context(), platform.PrefixEvacuate+"z0")
	must.NoError(t, err)
	must.NoError(t, f.client.Delete(t.Context(), platform.PrefixEvacuate+"z0", e.Revision))
	for _, m := range f.dispatchers {
		must.True(t, eventually(func() bool { return serves(m, "/q/"+jobID(3)) == http.StatusOK }))
	}
}

// With the store away everything goes on, and a dispatcher that starts then
// learns what it needs from the others, if its record is known.
func TestStoreAway(t *testing.T) {
	f := newSystem(t, systemOptions{dispatchers: 2, endpoints: 2, runDuration: constantDuration(10 * time.Millisecond)})
	f.store.SetFaults(standin.Fault{Kind: standin.Unavailable})
	time.Sleep(300 * time.Millisecond)
	for i, m := range f.dispatchers {
		status, body := f.postUntilAccepted(m, "/p/"+jobID(i+1), fmt.Sprintf(jobTemplate, 2, 50))
		must.Eq(t, http.StatusOK, status, must.Sprint(body))
	}
}
