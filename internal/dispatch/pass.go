package dispatch

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/clock"
)

const (
	// maxVisitsPerSecond bounds how many waiting jobs placement passes look at. Under
	// overload every frame from a runner may bring capacity for one task, and a pass
	// looks at every waiting job, some 3 us each: without a bound, a dispatcher with
	// little processor time would place tasks instead of answering callers.
	maxVisitsPerSecond = 30_000
	// maxVisitBurst is how many visits may be saved up, so that passes are put off
	// only under sustained load.
	maxVisitBurst = 1000
	// maxPassPause bounds the time for which a pass is put off.
	maxPassPause = 10 * time.Millisecond
)

// passLimiter is a token bucket for the visits of placement passes. The dispatcher's
// lock guards it.
type passLimiter struct {
	// usedUntil is when the visits so far will have become free again.
	usedUntil time.Duration
	// pending is set while a timer is set for the next pass.
	pending bool
}

// visitTime returns the time in which visits become free.
func visitTime(visits int) time.Duration {
	return time.Duration(visits) * time.Second / maxVisitsPerSecond
}

// pause returns the time until the next pass is allowed, not positive if it is now.
func (p *passLimiter) pause(now time.Duration) time.Duration {
	return min(p.usedUntil-visitTime(maxVisitBurst)-now, maxPassPause)
}

// count records a pass over waiting jobs.
func (p *passLimiter) count(waiting int, now time.Duration) {
	p.usedUntil = min(max(p.usedUntil, now)+visitTime(waiting), now+visitTime(maxVisitBurst)+maxPassPause)
}

// requestPass runs a placement pass as soon as one is allowed. It is called with the
// lock held.
func (d *Dispatcher) requestPass(now time.Duration) {
	if len(d.waiting) == 0 || d.passes.pending {
		return
	}
	pause := d.passes.pause(now)
	if pause <= 0 {
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
