package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/pomelosill/pomelosill/internal/clock"
)

// Guards against a dispatcher that spends its processor time on placement passes while
// many jobs wait and each frame asks for a pass, and against passes that are put off
// while few jobs wait.
func TestPassesLookAtABoundedNumberOfJobs(t *testing.T) {
	visitsIn := func(waiting int) int {
		var p passLimiter
		visits := 0
		for now := time.Duration(0); now < time.Second; now += time.Millisecond {
			if p.pause(now) <= 0 {
				p.count(waiting, now)
				visits += waiting
			}
		}
		return visits
	}
	must.Between(t, maxVisitsPerSecond, visitsIn(200), maxVisitsPerSecond+maxVisitBurst+200)
	must.Eq(t, 5000, visitsIn(5))
	var p passLimiter
	p.count(1_000_000, 0)
	must.Eq(t, maxPassPause, p.pause(0))
}

// Guards against a waiting job that is forgotten because its pass came too early: it
// must be placed once the pause is over, without another frame.
func TestDeferredPassRuns(t *testing.T) {
	d, _ := newServingDispatcher(t)
	d.mu.Lock()
	d.enqueueTestJob("1", "r")
	now := clock.SinceBoot()
	d.passes.usedUntil = now + time.Second
	d.requestPass(now)
	must.True(t, d.passes.pending)
	d.mu.Unlock()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return !d.passes.pending
	}), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
}
