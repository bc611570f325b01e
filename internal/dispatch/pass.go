package dispatch

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/clock"
)

const (
	// maxPassFraction bounds the part of the time that placement passes take while
	// jobs wait. It is elapsed time, not processor time: if the process is throttled,
	// passes become rarer. Under overload every frame from a runner may bring capacity for one
	// task, and a pass looks at every waiting job: without a bound, a dispatcher with
	// little processor time would place tasks instead of answering callers.
	maxPassFraction = 0.1
	// maxPassBurst is the time for passes that a dispatcher may save up, so that
	// passes are put off only under sustained load.
	maxPassBurst = 5 * time.Millisecond
	// minBoundedJobs is the number of waiting jobs from which passes are bounded. With
	// fewer, a pass is cheap, and a pause would only delay them: tasks whose start was
	// refused wait for their next endpoint.
	minBoundedJobs = 16
	// maxPassPause bounds the time between two passes, so that one that took long
	// because the process was suspended doesn't hold up the next.
	maxPassPause = 10 * time.Millisecond
)

// passLimiter is a token bucket for the time of placement passes. The dispatcher's
// lock guards it.
type passLimiter struct {
	// usedUntil is when the fraction of the time for passes has made up for the
	// passes so far.
	usedUntil time.Duration
	// pending is set while a timer is set for the next pass.
	pending bool
}

// pause returns the time until the next pass is allowed, not positive if it is now.
func (p *passLimiter) pause(now time.Duration) time.Duration {
	saved := time.Duration(float64(maxPassBurst) / maxPassFraction)
	return min(p.usedUntil-saved-now, maxPassPause)
}

// finished records a pass.
func (p *passLimiter) finished(startedAt, endedAt time.Duration) {
	took := time.Duration(float64(max(endedAt-startedAt, 0)) / maxPassFraction)
	saved := time.Duration(float64(maxPassBurst) / maxPassFraction)
	p.usedUntil = min(max(p.usedUntil, startedAt)+took, endedAt+saved+maxPassPause)
}

// requestPass runs a placement pass as soon as one is allowed. It is called with the
// lock held.
func (d *Dispatcher) requestPass(now time.Duration) {
	if len(d.waiting) == 0 || d.passes.pending {
		return
	}
	pause := d.passes.pause(now)
	if pause <= 0 || len(d.waiting) < minBoundedJobs {
		d.schedule(now)
		return
	}
	d.passes.pending = true
	time.AfterFunc(pause, d.runPendingPass)
}

// runPendingPass runs the pass that a timer was set for.
func (d *Dispatcher) runPendingPass() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.passes.pending = false
	if d.runCtx.Err() == nil {
		d.schedule(clock.SinceBoot())
	}
}
