package simulate

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/test/caller"
	"github.com/pomelosill/pomelosill/test/faultinject"
)

const (
	crashDuration = 12 * time.Second
	// minOtherWork is the fraction of the jobs of another route that must be
	// completed while tasks crash endpoints.
	minOtherWork = 0.9
)

// runCrashes sends jobs of which some crash endpoints, and meanwhile injects the
// fault, if it isn't nil, into the first dispatcher. It returns the answers.
func runCrashes(t *testing.T, seed uint64, fault func(c *cluster)) []*caller.JobResult {
	c := newCluster(t, seed, func(*rand.Rand) size { return size{hosts: 9, dispatchers: 3} })
	defer c.close()
	c.jobInterval, c.crashes = caller.JobInterval, true
	must.True(t, c.allReady(), must.Sprint("dispatchers were not ready in time"))
	ctx, cancel := context.WithTimeout(t.Context(), crashDuration)
	defer cancel()
	if fault != nil {
		time.AfterFunc(crashDuration/2, func() { fault(c) })
	}
	callers := c.newCallers(c.dispatcherAddresses)
	results := callers.SendJobs(ctx, caller.FirstJobNumber)
	caller.CheckResults(t, c.checker, results)
	for _, v := range c.checker.Violations() {
		t.Error(v)
	}
	if t.Failed() && *printLogs {
		t.Log(c.log.String())
	}
	return results
}

func runCrashSeeds(t *testing.T, run func(t *testing.T, seed uint64)) {
	faultinject.RunSeeds(t, []uint64{1, 3, 5}, 0, 0, func(t *testing.T, seed uint64) {
		synctest.Test(t, func(t *testing.T) { run(t, seed) })
	})
}

func TestTaskThatCrashesEndpointsIsGivenUp(t *testing.T) {
	runCrashSeeds(t, func(t *testing.T, seed uint64) { runCrashes(t, seed, nil) })
}

// A dispatcher that is killed or cut off leaves the jobs that crash endpoints to
// the others, through which callers send them again.
func TestCrashesAreCountedAcrossDispatchers(t *testing.T) {
	runCrashSeeds(t, func(t *testing.T, seed uint64) {
		runCrashes(t, seed, func(c *cluster) {
			c.dispatchers[0].kill(true)
			c.start(c.dispatchers[0])
			cutOff := c.routesOf(c.dispatchers[1].name)
			c.network.setBlocked(true, cutOff...)
			time.AfterFunc(2*time.Second, func() { c.network.setBlocked(false, cutOff...) })
		})
	})
}

func TestOtherWorkGoesOnWhileTasksCrashEndpoints(t *testing.T) {
	runCrashSeeds(t, func(t *testing.T, seed uint64) {
		completed, others := 0, 0
		for _, r := range runCrashes(t, seed, nil) {
			if caller.Quick(r.Number) {
				continue
			}
			others++
			if r.Completed() {
				completed++
			}
		}
		must.GreaterEq(t, minOtherWork, float64(completed)/float64(others),
			must.Sprintf("%d of %d jobs of the other route were completed", completed, others))
	})
}
