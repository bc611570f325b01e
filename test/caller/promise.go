package caller

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform"
	"github.com/pomelosill/pomelosill/platform/platformtest"
)

const (
	// FirstJobNumber is the number of the first job of a test's main load.
	FirstJobNumber = 1
	// loadNumberOffset keeps the numbers of different loads apart.
	loadNumberOffset = 1 << 32
	// retryDelay is the time after which a job that failed is followed by
	// another while a system recovers.
	retryDelay = 50 * time.Millisecond
)

// NewEndpoint is a stand-in with room for a number of the callers' tasks.
func NewEndpoint(domain string, tasks int64, judge *platformtest.Checker) *platformtest.Endpoint {
	return &platformtest.Endpoint{
		Service: Service, Domain: domain, Capacity: workload.Resources{MilliCPU: tasks * TaskCPU, MemoryMB: 1000},
		Need:     func(workload.RunID) workload.Resources { return workload.Resources{MilliCPU: TaskCPU, MemoryMB: 1} },
		Duration: RunDuration, Checker: judge,
	}
}

// CheckResults compares what callers were told with what the endpoints did.
func CheckResults(t *testing.T, judge *platformtest.Checker, all []*JobResult) {
	t.Helper()
	served, refused := 0, 0
	for _, a := range all {
		id := JobID(a.Number)
		if a.Completed() {
			served++
			if n := judge.DoneTasks(id); n < ShapeOf(a.Number).Tasks {
				t.Errorf("%s is said to be done, and %d of %d tasks were", id, n, ShapeOf(a.Number).Tasks)
			}
		}
		if a.Refused() {
			refused++
			if n := judge.Starts(id); n > 0 {
				t.Errorf("%s is said not to have run (%v), and was started %d times", id, a.Statuses, n)
			}
		}
	}
	t.Logf("%d jobs: %d served, %d refused", len(all), served, refused)
}

// CheckRecovery checks that every dispatcher serves jobs in time, after the last
// fault.
func (c *Callers) CheckRecovery(t *testing.T, within time.Duration) {
	t.Helper()
	began := time.Now()
	inRow := 0
	for number := uint64(loadNumberOffset); inRow < 2*len(c.Dispatchers); number++ {
		if time.Since(began) > within {
			t.Errorf("jobs are not served again within %s", within)
			return
		}
		dispatcher := c.Dispatchers[int(number)%len(c.Dispatchers)]
		if status, _ := c.Post(dispatcher, number); status == http.StatusOK {
			inRow++
			continue
		}
		inRow = 0
		time.Sleep(retryDelay)
	}
	t.Logf("all dispatchers served again %s after the last fault", time.Since(began).Round(time.Millisecond))
}

// CheckEvacuation takes a failure domain out of service, and checks that it gets no
// starts after a time.
func (c *Callers) CheckEvacuation(t *testing.T, operator *platform.Store, domain string, within time.Duration, judge *platformtest.Checker) {
	t.Helper()
	if _, err := operator.CompareAndSwap(t.Context(), platform.PrefixEvacuate+domain, 0, []byte("{}"), 0); err != nil {
		t.Errorf("evacuation of %s: %v", domain, err)
		return
	}
	time.Sleep(within)
	before := judge.StartsInDomain(domain)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	CheckResults(t, judge, c.SendJobs(ctx, 2*loadNumberOffset))
	if after := judge.StartsInDomain(domain); after != before {
		t.Errorf("%d starts in failure domain %s, which is out of service", after-before, domain)
	}
}
