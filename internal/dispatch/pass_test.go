package dispatch

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/pomelosill/pomelosill/internal/clock"
)

// Guards against a dispatcher that spends its processor time on placement passes while
// many jobs wait and each frame asks for a pass.
func TestPassesTakeABoundedPartOfTheTime(t *testing.T) {
	const pass = 400 * time.Microsecond
	var p passLimiter
	busy := time.Duration(0)
	for now := time.Duration(0); now < time.Second; now += 100 * time.Microsecond {
		if p.pause(now) <= 0 {
			p.finished(now, now+pass)
			busy += pass
		}
	}
	must.Between(t, 90*time.Millisecond, busy, 100*time.Millisecond+maxPassBurst+pass)
	p.finished(0, time.Hour)
	must.LessEq(t, maxPassPause, p.pause(time.Hour), must.Sprint("the process was suspended in a pass"))
	must.LessEq(t, 0, p.pause(time.Hour+maxPassPause))
}

// Guards against a waiting job that is forgotten because its pass came too early: it
// must be placed once the pause is over, without another frame.
func TestDeferredPassRuns(t *testing.T) {
	d, _ := newServingDispatcher(t)
	d.mu.Lock()
	for i := range minBoundedJobs {
		d.enqueueTestJob(strconv.Itoa(i), "r")
	}
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

// Guards against tasks that wait beside free capacity at low load, because earlier passes
// took long in a process with little processor time.
func TestPassOverFewJobsIsNotDeferred(t *testing.T) {
	d, _ := newServingDispatcher(t)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.enqueueTestJob("1", "r")
	now := clock.SinceBoot()
	d.passes.usedUntil = now + time.Second
	d.requestPass(now)
	must.False(t, d.passes.pending)
}
