package caller

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform"
	"github.com/pomelosill/pomelosill/platform/platformtest"
)

const (
	// FirstJobNumber is the number of the first job of a test's main load.
	FirstJobNumber = 1
	// loadNumberOffset separates the job numbers of different loads.
	loadNumberOffset = 1 << 32
	// retryDelay is the pause after a job that failed while the system
	// recovers.
	retryDelay = 50 * time.Millisecond
)

// Capacity returns the capacity for the given number of the callers' tasks.
func Capacity(tasks int64) workload.Resources {
	return workload.Resources{MilliCPU: tasks * TaskCPU, MemoryMB: 1000}
}

// NewEndpoint returns a stand-in with capacity for the given number of the
// callers' tasks.
func NewEndpoint(domain string, tasks int64, checker *platformtest.Checker) *platformtest.Endpoint {
	return &platformtest.Endpoint{
		Service: Service, Domain: domain, Capacity: Capacity(tasks),
		Need:     func(workload.RunID) workload.Resources { return workload.Resources{MilliCPU: TaskCPU, MemoryMB: 1} },
		Duration: RunDuration, Checker: checker,
	}
}

// CheckResults checks the answers against what the endpoints did.
func CheckResults(t *testing.T, checker *platformtest.Checker, results []*JobResult) {
	t.Helper()
	completed, refused, failed := 0, 0, 0
	for _, r := range results {
		id := JobID(r.Number)
		if r.Completed() {
			completed++
			if n := checker.DoneTasks(id); n < ShapeOf(r.Number).Tasks {
				t.Errorf("job %s was reported as completed, but only %d of %d tasks were done", id, n, ShapeOf(r.Number).Tasks)
			}
		}
		if r.Failed() {
			failed++
			if n := checker.Crashes(id); n < platformtest.GiveUpCrashes {
				t.Errorf("job %s was reported as failed after %d crashes under its tasks", id, n)
			}
		}
		if r.Refused() {
			refused++
			if n := checker.Starts(id); n > 0 {
				t.Errorf("job %s was reported as not run (%v), but was started %d times", id, r.Statuses, n)
			}
		}
	}
	t.Logf("%d jobs: %d completed, %d refused, %d failed", len(results), completed, refused, failed)
}

// CheckRecovery checks that every dispatcher completes jobs again within the given
// time. It is to be called right after the last fault.
func (c *Callers) CheckRecovery(t *testing.T, within time.Duration) {
	t.Helper()
	start := time.Now()
	consecutive := 0
	var failed []string
	for number := uint64(loadNumberOffset); consecutive < 2*len(c.Dispatchers); number++ {
		if time.Since(start) > within {
			t.Errorf("dispatchers did not complete jobs again within %s; not completed: %s", within, strings.Join(failed, ", "))
			return
		}
		dispatcher := c.Dispatchers[int(number)%len(c.Dispatchers)]
		status, _ := c.Post(dispatcher, number)
		if status == http.StatusOK {
			consecutive++
			continue
		}
		failed = append(failed, fmt.Sprintf("job %s at %s after %s: status %d", JobID(number), dispatcher, time.Since(start).Round(time.Millisecond), status))
		consecutive = 0
		time.Sleep(retryDelay)
	}
	t.Logf("all dispatchers completed jobs again %s after the last fault", time.Since(start).Round(time.Millisecond))
}

// CheckEvacuation takes a failure domain out of service, and checks that no run
// is started there after the given time has passed.
func (c *Callers) CheckEvacuation(t *testing.T, operator *platform.Store, domain string, within time.Duration, checker *platformtest.Checker) {
	t.Helper()
	if _, err := operator.CompareAndSwap(t.Context(), platform.PrefixEvacuate+domain, 0, []byte("{}"), 0); err != nil {
		t.Errorf("evacuate %s: %v", domain, err)
		return
	}
	time.Sleep(within)
	before := checker.StartsInDomain(domain)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	CheckResults(t, checker, c.SendJobs(ctx, 2*loadNumberOffset))
	if after := checker.StartsInDomain(domain); after != before {
		t.Errorf("%d runs were started in the evacuated failure domain %s", after-before, domain)
	}
}
