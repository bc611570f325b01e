package dispatch

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/placement"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/platform"
)

// maxOverflowRefusals is how often runners may refuse a task's overflow runs: each
// refusal shows that this dispatcher's view of the slow endpoints is old, and the
// job's caller waits meanwhile.
const maxOverflowRefusals = 2

// overflowPlan assigns tasks of one job to slow endpoints.
type overflowPlan struct {
	runners []*runner
	// steps holds the indices of the steps with tasks to place, and assignments has one
	// element for each of them. The endpoint index of an assignment is that in runners.
	steps       []int
	assignments [][]placement.Assignment
}

// admitOverflow reports whether a job that is refused because of the backlog is
// admitted as an overflow job instead. All of its tasks must fit at once, including
// those that are blocked by earlier steps: they have to start at the slow endpoints
// later. It is called with the lock held.
func (d *Dispatcher) admitOverflow(j *job, now time.Duration) bool {
	if j.started() {
		return false
	}
	p, ok := d.planOverflow(j, taskBlocked, now)
	if !ok {
		return false
	}
	j.overflow = true
	d.metrics.recordOverflow(d.runCtx, j.route.Name)
	d.log.Info("job: admitted as overflow", zap.String("job", j.spec.ID), zap.String("route", j.route.Name),
		zap.Int("slow", len(p.runners)), zap.Duration("work", j.remainingWork()), zap.Duration("objective", j.objective))
	return true
}

// planOverflow assigns the tasks of a job that are queued, or in the given state, to
// slow endpoints. It reports whether all of them fit there and the job ends before
// its late bound.
func (d *Dispatcher) planOverflow(j *job, also taskState, now time.Duration) (overflowPlan, bool) {
	area := d.areaOf(j, now)
	if area == placement.Inside || !d.anyTakesOverflow(now) {
		return overflowPlan{}, false
	}
	endpoints, runners := d.selectEndpoints(&d.overflowViews, area != placement.Anywhere, func(r *runner) bool { return r.takesOverflow(now) })
	for i, r := range runners {
		endpoints[i].Speed = float64(r.state.GetSpeedPercent()) / percent
		endpoints[i].HasContained = r.hasContained()
	}
	p := overflowPlan{runners: runners}
	var requests []*placement.Request
	for s, tasks := range j.tasks {
		n := 0
		for _, t := range tasks {
			if t.redirects >= maxOverflowRefusals {
				return overflowPlan{}, false
			}
			if t.state == taskQueued || t.state == also {
				n++
			}
		}
		if n > 0 {
			p.steps = append(p.steps, s)
			requests = append(requests, j.placementRequest(s, n, area))
		}
	}
	var ok bool
	p.assignments, ok = placement.PlaceOverflow(j.urgency(), requests, endpoints, j.deadline, now, rand.IntN)
	return p, ok
}

// anyTakesOverflow reports whether any runner may get overflow orders.
func (d *Dispatcher) anyTakesOverflow(now time.Duration) bool {
	for _, r := range d.runners {
		if r.takesOverflow(now) {
			return true
		}
	}
	return false
}

// scheduleOverflow places the queued tasks of overflow jobs at slow endpoints. A job
// whose tasks can't be placed there is refused if nothing of it has started;
// otherwise these tasks are placed like those of other jobs. It is called with the
// lock held.
func (d *Dispatcher) scheduleOverflow(now time.Duration) {
	for _, j := range d.waiting {
		if !j.overflow {
			continue
		}
		p, ok := d.planOverflow(j, taskQueued, now)
		switch {
		case ok:
			d.startOverflow(j, p, now)
		case !j.started():
			d.log.Info("job: refused, no slow endpoint has capacity for it any more", zap.String("job", j.spec.ID), zap.String("route", j.route.Name),
				zap.Duration("age", now-j.arrivedAt), zap.Duration("objective", j.objective))
			d.finish(j, platform.Answer{Code: result.Overloaded, RetryAfter: d.retryAfterExpiry(j, now)})
		}
	}
}

// startOverflow requests the runs of a plan.
func (d *Dispatcher) startOverflow(j *job, p overflowPlan, now time.Duration) {
	for i, s := range p.steps {
		queued := j.queuedTasks(s)
		for _, a := range p.assignments[i] {
			for _, t := range queued[:a.Count] {
				t.overflow = true
			}
			d.sendStarts(p.runners[a.EndpointIndex], queued[:a.Count], false, d.areaOf(j, now), now)
			queued = queued[a.Count:]
		}
	}
}

// openOverflowJobs counts the open jobs that were admitted as overflow.
func (d *Dispatcher) openOverflowJobs() int {
	n := 0
	for _, j := range d.jobs {
		if j.overflow {
			n++
		}
	}
	return n
}
