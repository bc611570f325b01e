package caller

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/pomelosill/pomelosill/internal/work"
	"github.com/pomelosill/pomelosill/platform"
	"github.com/pomelosill/pomelosill/platform/platformtest"
)

const (
	// FirstNumber is the number of the first job of a test's main load.
	FirstNumber = 1
	// apart keeps the numbers of different loads apart.
	apart = 1 << 32
	// retryAfter is the time after which a job that failed is followed by
	// another while a system recovers.
	retryAfter = 50 * time.Millisecond
)

// Endpoint is a stand-in with room for a number of the callers' tasks.
func Endpoint(domain string, tasks int64, judge *platformtest.Judge) *platformtest.Endpoint {
	return &platformtest.Endpoint{
		Service: Service, Domain: domain, Capacity: work.Resources{CPU: tasks * TaskCPU, MemoryMB: 1000},
		Need:     func(work.Run) work.Resources { return work.Resources{CPU: TaskCPU, MemoryMB: 1} },
		Duration: Duration, Judge: judge,
	}
}

// Check compares what callers were told with what the endpoints did.
func Check(t *testing.T, judge *platformtest.Judge, all []*Told) {
	t.Helper()
	served, refused := 0, 0
	for _, a := range all {
		id := JobID(a.Number)
		if a.Completed() {
			served++
			if n := judge.Done(id); n < ShapeOf(a.Number).Tasks {
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

// Recovers checks that every dispatcher serves jobs in time, after the last
// fault.
func (c *Callers) Recovers(t *testing.T, within time.Duration) {
	t.Helper()
	began := time.Now()
	inRow := 0
	for number := uint64(apart); inRow < 2*len(c.Dispatchers); number++ {
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
		time.Sleep(retryAfter)
	}
	t.Logf("all dispatchers served again %s after the last fault", time.Since(began).Round(time.Millisecond))
}

// Evacuates takes a failure domain out of service, and checks that it gets no
// starts after a time.
func (c *Callers) Evacuates(t *testing.T, operator *platform.Store, domain string, within time.Duration, judge *platformtest.Judge) {
	t.Helper()
	if _, err := operator.CompareAndSwap(t.Context(), platform.PrefixEvacuate+domain, 0, []byte("{}"), 0); err != nil {
		t.Errorf("evacuation of %s: %v", domain, err)
		return
	}
	time.Sleep(within)
	before := judge.StartsIn(domain)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	Check(t, judge, c.Load(ctx, 2*apart))
	if after := judge.StartsIn(domain); after != before {
		t.Errorf("%d starts in failure domain %s, which is out of service", after-before, domain)
	}
}
