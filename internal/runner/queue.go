package runner

import (
	"slices"
	"time"

	"github.com/pomelosill/pomelosill/internal/placement"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/workload"
)

// startQueued starts the queued orders for which there is capacity, in the order of
// placement.InOrder, and refuses those whose wait deadline has passed. It checks the
// leases of all dispatchers first: after the process was suspended it may run before the
// periodic check, and a start prolongs the endpoint's lease.
func (r *Runner) startQueued(now time.Duration) {
	if len(r.queue) == 0 {
		return
	}
	r.checkDispatcherLeases(now)
	var remaining []*order
	queued := rankOrders(r.queue, now)
	r.queue = nil
	for o := range placement.InOrder(queued, &r.started) {
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

// dequeue removes the owner's order for a run from the queue and reports whether there
// was one. Another dispatcher may have an order for the same run: its job was sent
// again, and the attempts of each submission are numbered alike.
func (r *Runner) dequeue(owner string, run workload.RunID) bool {
	n := len(r.queue)
	r.queue = slices.DeleteFunc(r.queue, func(o *order) bool { return o.owner == owner && o.runID == run })
	return len(r.queue) < n
}

// rankOrders returns the orders with their ranks. Orders of one level are ranked by
// start deadline, those that can still meet it first: their messages don't tell
// whether the job has started.
func rankOrders(orders []*order, now time.Duration) []placement.Waiting[*order] {
	ranked := make([]placement.Waiting[*order], len(orders))
	for i, o := range orders {
		ranked[i] = placement.Waiting[*order]{Item: o, Rank: placement.NewRank(o.level, o.startDeadline-now, false, false)}
	}
	return ranked
}

// precedesQueue reports whether all queued orders, of which there are some, are of
// lower priority levels than the order. Orders that don't fit must not keep it from
// free capacity.
func (r *Runner) precedesQueue(o *order) bool {
	return len(r.queue) > 0 && !slices.ContainsFunc(r.queue, func(queued *order) bool { return queued.level <= o.level })
}

// countStarted counts the order's run, which starts now, in the work of its level.
// Overflow runs don't count: they use no capacity that another level could get.
func (r *Runner) countStarted(o *order, now time.Duration) {
	if o.overflow {
		return
	}
	o.startedAt = now
	r.started.Add(o.level, placement.TaskWork(o.resources, o.estimate), now)
}

// uncountStarted takes back an order's run that the endpoint refused. Otherwise a level
// whose starts are often refused would seem to have its minimum share.
func (r *Runner) uncountStarted(o *order, now time.Duration) {
	if !o.overflow {
		r.started.Remove(o.level, placement.TaskWork(o.resources, o.estimate), o.startedAt, now)
	}
}

// waitingCPUByLevel returns the CPU that queued orders need by priority level, without
// the levels after the last one that has any. It is nil if there are none.
func (r *Runner) waitingCPUByLevel() []uint64 {
	var sums [policy.MaxLevels]uint64
	count := 0
	for _, o := range r.queue {
		sums[o.level] += uint64(o.resources.MilliCPU)
		count = max(count, o.level+1)
	}
	if count == 0 {
		return nil
	}
	return sums[:count]
}

// LevelState describes one priority level in the state dump.
type LevelState struct {
	Level int `json:"level"`
	// QueuedOrders and QueuedMilliCPU describe the level's orders that wait for
	// capacity.
	QueuedOrders   int   `json:"waiting"`
	QueuedMilliCPU int64 `json:"waiting_cpu"`
	// StartedFraction is the level's fraction of the work that was started recently.
	StartedFraction float64 `json:"started_fraction"`
}

// levelStates returns the states of the priority levels.
func (r *Runner) levelStates() []LevelState {
	all := make([]LevelState, policy.MaxLevels)
	for level := range all {
		all[level] = LevelState{Level: level, StartedFraction: r.started.Fraction(level)}
	}
	for _, o := range r.queue {
		all[o.level].QueuedOrders++
		all[o.level].QueuedMilliCPU += o.resources.MilliCPU
	}
	return all
}
