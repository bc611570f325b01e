package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pomelosill/pomelosill/internal/admission"
	"github.com/pomelosill/pomelosill/internal/placement"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/workload"
)

// maxJobs bounds the number of jobs that are open here.
const maxJobs = 5000

// checkServable returns an error if too many jobs are open, if no endpoint
// could run one of the job's steps, or if the job would have to wait too long.
// The last two are unknown while the dispatcher is starting.
func (d *Dispatcher) checkServable(j *job, now time.Duration) error {
	if len(d.jobs) >= maxJobs {
		return result.Errorf(result.QueueFull, "%d jobs are open, which is the limit", len(d.jobs))
	}
	area := d.areaOf(j, now)
	all, _ := d.usableEndpoints(area != placement.Anywhere, now)
	endpoints := endpointsIn(all, area)
	if area == placement.Inside && !placement.AdmitContained(d.openContainedJobs(now), len(endpoints), d.loadShare(now)) {
		return result.Errorf(result.Overloaded, "job %s: other jobs of route %s crash endpoints, and the %d endpoints for them are in use", j.spec.ID, j.route.Name, len(endpoints))
	}
	capacity, known := placement.StartingCapacity(totalMilliCPU(endpoints), len(endpoints), len(d.runners), now-d.startedAt)
	if !known {
		return nil
	}
	for s := range j.spec.Steps {
		req := j.placementRequest(s, 1, area)
		possible := slices.ContainsFunc(endpoints, func(e placement.Endpoint) bool { return req.CanEverFit(&e) })
		if !possible {
			return result.Errorf(result.NoEndpoint, "no endpoint can run step %d of job %s; %d are usable", s, j.spec.ID, len(endpoints))
		}
	}
	err := d.checkQueuedWork(j, area, endpoints, capacity, now)
	if err != nil && d.admitOverflow(j, now) {
		return nil
	}
	return err
}

// checkQueuedWork returns an error for a job that would have to wait for too long
// behind queued work.
func (d *Dispatcher) checkQueuedWork(j *job, area placement.Area, endpoints []placement.Endpoint, capacityMilliCPU int64, now time.Duration) error {
	if d.byPriority() {
		return d.checkPriority(j, area, endpoints, capacityMilliCPU, now)
	}
	return d.checkBacklog(j, area, capacityMilliCPU, now)
}

// overloadError is the refusal of a job because of queued work.
type overloadError struct {
	// err is the error for the caller.
	err      *result.Error
	decision admission.Decision
	// retryAfter is the delay for the caller, zero if it doesn't follow from the load.
	retryAfter time.Duration
}

// Error returns the text of the error for the caller.
func (e *overloadError) Error() string { return e.err.Error() }

// Unwrap returns the error for the caller.
func (e *overloadError) Unwrap() error { return e.err }

// newOverloadError returns the refusal of a job by a decision.
func newOverloadError(j *job, decision admission.Decision, slack time.Duration) *overloadError {
	cause := "queued work delays it"
	if decision.Unfair {
		cause = "its caller has more demand than others, and queued work delays it"
	}
	return &overloadError{decision: decision, err: result.Errorf(result.Overloaded, "job %s: %s by %s, its slack is %s",
		j.spec.ID, cause, decision.Wait, slack)}
}

// checkPriority returns an error for a job that would have to wait for longer than it
// may behind the queued work of its level and those before it.
func (d *Dispatcher) checkPriority(j *job, area placement.Area, endpoints []placement.Endpoint, capacityMilliCPU int64, now time.Duration) error {
	state := d.contentionState(area, capacityMilliCPU, now)
	arriving := &admission.Job{
		Level: d.level(j), Slack: j.urgency().Slack(now), Returned: d.contention.refusedJobs.Returned(j.spec.ID, now),
		CallerExcess: d.contention.callers.Excess(j.caller, d.population(now), now),
	}
	decision := admission.Decide(arriving, state)
	d.contention.limits[decision.Level] = decision.Limit
	if decision.Admitted {
		return nil
	}
	if d.contention.queued[area].Through(arriving.Level) == 0 && j.fits(endpoints, area) {
		arriving.FitsNow = true
		if admission.Decide(arriving, state).Admitted {
			return nil
		}
	}
	refusal := newOverloadError(j, decision, arriving.Slack)
	refusal.retryAfter = admission.Spread(decision.RetryAfter, rand.IntN)
	return refusal
}

// fits reports whether the healthy endpoints have free capacity for all queued tasks of
// the job.
func (j *job) fits(endpoints []placement.Endpoint, area placement.Area) bool {
	free := slices.Clone(endpoints)
	for s := range j.spec.Steps {
		req := j.placementRequest(s, len(j.queuedTasks(s)), area)
		for i := range free {
			if req.Count == 0 {
				break
			}
			if e := &free[i]; e.Healthy && req.CanEverFit(e) {
				n := req.FitCount(e)
				e.Reserve(req.Resources.Times(n))
				req.Count -= n
			}
		}
		if req.Count > 0 {
			return false
		}
	}
	return true
}

// retryAfterExpiry returns the delay for the caller of a job that was admitted and has
// not started in time.
func (d *Dispatcher) retryAfterExpiry(j *job, now time.Duration) time.Duration {
	if !d.byPriority() {
		return randomRetryAfter()
	}
	d.countRefused(j, now)
	area := d.areaOf(j, now)
	all, _ := d.usableEndpoints(area != placement.Anywhere, now)
	state := d.contentionState(area, totalMilliCPU(endpointsIn(all, area)), now)
	level := d.level(j)
	return admission.Spread(state.RetryAfter(level, state.Wait(level)), rand.IntN)
}

// checkBacklog returns an error for a job that would have to wait for longer
// than its objective allows.
func (d *Dispatcher) checkBacklog(j *job, area placement.Area, capacityMilliCPU int64, now time.Duration) error {
	u := j.urgency()
	b := placement.Backlog{QueuedMilliCPU: d.queuedAtRunners(), CapacityMilliCPU: capacityMilliCPU, MeanTaskDuration: d.meanTaskDuration}
	var ownQueued int64
	for _, other := range d.waiting {
		if d.areaOf(other, now) == area && !other.urgency().LateUnstarted(now) {
			ownQueued += other.queuedMilliCPU()
		}
	}
	// The other dispatchers' queues are assumed to be proportional to their
	// load.
	b.QueuedMilliCPU += int64(float64(ownQueued) / d.loadShare(now))
	if placement.Admit(u, b, now) {
		return nil
	}
	decision := admission.Decision{Level: d.level(j), Wait: b.Wait(), BacklogMilliCPU: b.QueuedMilliCPU, CapacityMilliCPU: capacityMilliCPU}
	return newOverloadError(j, decision, u.Slack(now))
}

// totalMilliCPU returns the CPU of all endpoints, each multiplied by its speed,
// which counts as 1 if it is higher.
func totalMilliCPU(endpoints []placement.Endpoint) int64 {
	var total int64
	for i := range endpoints {
		e := &endpoints[i]
		total += int64(float64(e.Capacity.MilliCPU) * min(e.Speed, 1))
	}
	return total
}

// queuedAtRunners returns the CPU, in thousandths of a core, that is needed by
// all dispatchers' tasks that wait at runners.
func (d *Dispatcher) queuedAtRunners() int64 {
	var all int64
	for _, r := range d.runners {
		all += workload.DecodeAmount(r.state.GetWaitingCpu())
	}
	return all
}
