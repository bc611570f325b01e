package dispatch

import (
	"slices"
	"time"

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
	err := d.checkBacklog(j, area, capacity, now)
	if err != nil && d.admitOverflow(j, now) {
		return nil
	}
	return err
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
	return result.Errorf(result.Overloaded, "job %s: queued work delays it by %s, its slack is %s", j.spec.ID, b.Wait(), u.Slack(now))
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
