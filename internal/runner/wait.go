package runner

import (
	"slices"
	"time"

	"github.com/pomelosill/pomelosill/internal/clock"
)

// refuseAfterWait refuses a queued order when it may wait no longer. The periodic
// check, which does so for orders with a long wait, would let the others wait several
// times as long as they may before they are sent elsewhere.
func (r *Runner) refuseAfterWait(o *order, now time.Duration) {
	wait := o.waitDeadline - now
	if wait >= checkInterval {
		return
	}
	time.AfterFunc(wait, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.baseCtx.Err() != nil || !slices.Contains(r.queue, o) {
			return
		}
		r.startQueued(clock.SinceBoot())
		r.markStateChanged()
	})
}
