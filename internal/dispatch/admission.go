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
	jobID    string
	slack    time.Duration
	decision admission.Decision
	// retryAfter is the delay for the caller, zero if it doesn't follow from the load.
	retryAfter time.Duration
}

// Error returns the text of the error for the caller.
func (e *overloadError) Error() string { return e.result().Error() }

// Unwrap returns the error for the caller.
func (e *overloadError) Unwrap() error { return e.result() }

// result returns the error for the caller. Its text is not made with the decision, which
// holds the dispatcher's lock.
func (e *overloadError) result() *result.Error {
	cause := "queued work delays it"
	if e.decision.Unfair {
		cause = "its caller has more demand than others, and queued work delays it"
	}
	return result.Errorf(result.Overloaded, "job %s: %s by %s, its slack is %s", e.jobID, cause, e.decision.Wait, e.slack)
}

// checkPriority returns an error for a job that would have to wait for longer than it
// may behind the queued work of its level and those before it.
func (d *Dispatcher) checkPriority(j *job, area placement.Area, endpoints []placement.Endpoint, capacityMilliCPU int64, now time.Duration) error {
	level, slack := d.level(j), j.urgency().Slack(now)
	d.contention.slacks.Add(level, slack)
	state := d.contentionState(area, capacityMilliCPU, now)
	arriving := &admission.Job{
		Level: level, Slack: slack, Returned: d.contention.refusedJobs.Returned(j.spec.ID, now),
		CallerExcess: d.contention.callers.Excess(j.caller, d.population(now), now),
	}
	decision := admission.Decide(arriving, &state)
	d.contention.limits[decision.Level] = decision.Limit
	if decision.Admitted {
		return nil
	}
	// Jobs that are queued here and fit as well only wait for the next placement pass.
	queued := int64(d.contention.queued[area].Through(level))
	if queued+j.queuedMilliCPU() <= freeMilliCPU(endpoints) && j.fits(endpoints, area) {
		arriving.FitsNow = true
		if admission.Decide(arriving, &state).Admitted {
			return nil
		}
	}
	return &overloadError{
		jobID: j.spec.ID, slack: slack, decision: decision,
		retryAfter: admission.Spread(decision.RetryAfter, rand.IntN),
	}
}

// freeMilliCPU returns the free CPU of the healthy endpoints.
func freeMilliCPU(endpoints []placement.Endpoint) int64 {
	var free int64
	for i := range endpoints {
		if e := &endpoints[i]; e.Healthy {
			free += max(e.Free.MilliCPU, 0)
		}
	}
	return free
}

// fits reports whether the healthy endpoints have free capacity for all queued tasks of
// the job.
func (j *job) fits(endpoints []placement.Endpoint, area placement.Area) bool {
	var requests []*placement.Request
	for s := range j.spec.Steps {
		if n := j.countTasks(s, taskQueued); n > 0 {
			requests = append(requests, j.placementRequest(s, n, area))
		}
	}
	if len(requests) > 1 {
		// Steps share the free capacity: what one takes is reserved in a copy.
		endpoints = slices.Clone(endpoints)
	}
	for _, req := range requests {
		if !takeFree(req, endpoints, len(requests) > 1) {
			return false
		}
	}
	return true
}

// takeFree reports whether healthy endpoints have free capacity for all requested
// tasks, and reserves it if reserve is set.
func takeFree(req *placement.Request, endpoints []placement.Endpoint, reserve bool) bool {
	for i := range endpoints {
		e := &endpoints[i]
		if !e.Healthy || e.Free.MilliCPU < req.Resources.MilliCPU || !req.CanEverFit(e) {
			continue
		}
		n := req.FitCount(e)
		if reserve {
			e.Reserve(req.Resources.Times(n))
		}
		if req.Count -= n; req.Count == 0 {
			return true
		}
	}
	return false
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
	return &overloadError{jobID: j.spec.ID, slack: u.Slack(now), decision: decision}
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
		all += min(workload.DecodeAmount(r.state.GetWaitingCpu()), maxWaitingFraction*r.capacity().MilliCPU)
	}
	return all
}
