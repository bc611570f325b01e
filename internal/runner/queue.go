package runner

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/workload"
)

// startQueued starts the queued orders for which there is capacity, the most
// urgent first, and refuses those whose wait deadline has passed. It checks the
// leases of their dispatchers itself: after the process was suspended it may run
// before the periodic check.
func (r *Runner) startQueued(now time.Duration) {
	if len(r.queue) == 0 {
		return
	}
	slices.SortStableFunc(r.queue, func(a, b *order) int { return a.compareUrgency(b, now) })
	var remaining []*order
	queued := r.queue
	r.queue = nil
	for _, o := range queued {
		code := r.checkOrder(o)
		if code == result.OK && !r.leaseValid(o.owner, now) {
			code = result.LeaseLapsed
		}
		switch {
		case code != result.OK:
			r.refuse(o, code)
		case r.hasCapacity(o, now):
			r.startRun(o, now)
		case o.waitDeadline <= now:
			r.refuse(o, result.NoFreeSlot)
		default:
			remaining = append(remaining, o)
		}
	}
	r.queue = append(remaining, r.queue...)
}

// refuseQueued refuses every queued order that is no longer allowed.
func (r *Runner) refuseQueued() {
	queued := r.queue
	r.queue = nil
	for _, o := range queued {
		if code := r.checkOrder(o); code != result.OK {
			r.refuse(o, code)
			continue
		}
		r.queue = append(r.queue, o)
	}
}

// dequeue removes the order for a run from the queue and reports whether there
// was one.
func (r *Runner) dequeue(run workload.RunID) bool {
	n := len(r.queue)
	r.queue = slices.DeleteFunc(r.queue, func(o *order) bool { return o.runID == run })
	return len(r.queue) < n
}

// compareUrgency sorts orders that can still meet their start deadline before
// those that can't, and within both groups by start deadline.
func (o *order) compareUrgency(other *order, now time.Duration) int {
	late, otherLate := o.startDeadline < now, other.startDeadline < now
	if late != otherLate {
		if late {
			return 1
		}
		return -1
	}
	return cmp.Compare(o.startDeadline, other.startDeadline)
}
