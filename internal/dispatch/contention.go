package dispatch

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/admission"
	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/placement"
	"github.com/pomelosill/pomelosill/internal/policy"
)

// areaCount is the number of placement areas.
const areaCount = placement.Outside + 1

// contention is what admission by priority reads besides the runners' states. The
// dispatcher's lock guards it.
type contention struct {
	// demand measures the work of the jobs that were admitted here, and refused that
	// of the jobs that were refused because of queued work.
	demand, refused admission.Demand
	slacks          admission.Slacks
	callers         *admission.Callers
	refusedJobs     *admission.RefusedJobs
	// queued is the CPU of the waiting jobs' queued tasks by area, in thousandths of a
	// core. It is a running sum, so that the cost of a decision doesn't depend on the
	// number of waiting jobs.
	queued [areaCount]admission.ByLevel
	fleet  fleetSums
	// limits holds the longest wait that was last allowed, by level.
	limits [policy.MaxLevels]time.Duration
}

func newContention() contention {
	return contention{callers: admission.NewCallers(), refusedJobs: admission.NewRefusedJobs()}
}

// countedWork is the part of a job in contention.queued.
type countedWork struct {
	area     placement.Area
	level    int
	milliCPU float64
}

// updateQueuedWork updates the job's part of the queued work. Late unstarted jobs don't count:
// an arriving job doesn't wait for them. It must be called after each change of the
// job's queued tasks or of its presence in d.waiting. A job that becomes late, or whose
// level or area changes, is counted anew at the next tick.
func (d *Dispatcher) updateQueuedWork(j *job, now time.Duration) {
	waits := d.waiting[j.spec.ID] == j
	if !waits && j.counted.milliCPU == 0 {
		return
	}
	queued := &d.contention.queued
	queued[j.counted.area].Add(j.counted.level, -j.counted.milliCPU)
	j.counted = countedWork{}
	if waits && !j.urgency().LateUnstarted(now) {
		j.counted = countedWork{area: d.areaOf(j, now), level: d.level(j), milliCPU: float64(j.queuedMilliCPU())}
	}
	queued[j.counted.area].Add(j.counted.level, j.counted.milliCPU)
}

// addWaiting adds a job with tasks that are not placed to the waiting jobs.
func (d *Dispatcher) addWaiting(j *job) {
	d.waiting[j.spec.ID] = j
	d.updateQueuedWork(j, clock.SinceBoot())
}

// fleetSums are sums of the figures that runners report.
type fleetSums struct {
	// summedAt is when the sums were computed, zero before the first time.
	summedAt time.Duration
	// connected is the number of connected runners.
	connected int
	// waiting is the CPU that waits at usable runners, in thousandths of a core.
	waiting admission.ByLevel
	// otherLoad is as in loadShare.
	otherLoad float64
	// otherDemand and otherCallers are those of the other dispatchers.
	otherDemand  admission.ByLevel
	otherCallers float64
}

// maxSumAge is how long the sums are used. Runners send their states at intervals of
// tens of milliseconds; without this, each arriving job would cost more in a larger
// fleet.
const maxSumAge = 5 * time.Millisecond

// maxReportAge is the age from which a state isn't used for the demand of the other
// dispatchers. A runner whose endpoint is idle sends no new state while that changes.
const maxReportAge = 2 * time.Second

// fleetSums returns the sums of what the runners report. A runner that is connected but
// doesn't get work still reports the demand of the other dispatchers. As they report
// equal parts to all, the parts that are missing are like the others.
func (d *Dispatcher) fleetSums(now time.Duration) *fleetSums {
	f := &d.contention.fleet
	if f.summedAt > 0 && now-f.summedAt < maxSumAge {
		return f
	}
	*f = fleetSums{summedAt: now}
	reports := 0
	for _, r := range d.runners {
		if r.outbox == nil {
			continue
		}
		f.connected++
		if now-r.stateAt < maxReportAge {
			reports++
			f.otherDemand = f.otherDemand.Plus(admission.DecodeLevels(r.state.GetOtherDemandByPriority()))
			f.otherCallers += admission.Bounded(r.state.GetOtherCallers())
		}
		if r.usable(now) {
			f.otherLoad += admission.Bounded(r.state.GetOtherLoad())
			f.waiting = f.waiting.Plus(r.waiting())
		}
	}
	missing := float64(f.connected) / float64(max(1, reports))
	f.otherDemand, f.otherCallers = f.otherDemand.Times(missing), f.otherCallers*missing
	return f
}

// contentionState returns the inputs of decisions about jobs that may be placed in the
// area.
func (d *Dispatcher) contentionState(area placement.Area, capacityMilliCPU int64, now time.Duration) admission.State {
	c, fleet := &d.contention, d.fleetSums(now)
	// The other dispatchers' queues and refusals are assumed to be proportional to
	// their load.
	others := 1 / placement.Share(d.load.Value(now), fleet.otherLoad)
	return admission.State{
		CapacityMilliCPU: capacityMilliCPU, TaskDurations: c.demand.TaskDurations(d.meanTaskDuration),
		Backlog:     c.queued[area].Times(others).Plus(fleet.waiting),
		Demand:      c.demand.Rate(now).Plus(fleet.otherDemand),
		RefusedWork: c.refused.Work(now).Times(others),
		LowSlack:    c.slacks.Low(),
	}
}

// population returns the demand of all callers.
func (d *Dispatcher) population(now time.Duration) admission.Population {
	fleet := d.fleetSums(now)
	return admission.Population{
		MilliCPU: d.contention.demand.Rate(now).Total() + fleet.otherDemand.Total(),
		Callers:  float64(d.contention.callers.Count(now)) + fleet.otherCallers,
	}
}

// byPriority reports whether jobs are admitted by the priority of their routes: only
// if these differ.
func (d *Dispatcher) byPriority() bool { return d.policy.Current().LevelCount() > 1 }

// countAdmitted counts the demand of an admitted job and of its caller. Overflow jobs
// don't count: they leave the capacity to others. A caller's demand is compared with
// the mean of the same demand, so both must leave out the same jobs.
func (d *Dispatcher) countAdmitted(j *job, now time.Duration) {
	c, work := &d.contention, j.work()
	if !j.overflow {
		c.demand.Add(d.level(j), work, now)
		c.callers.Add(j.caller, work, now)
	}
	c.refusedJobs.Remove(j.spec.ID)
}

// countRefused records a job that is refused because of queued work.
func (d *Dispatcher) countRefused(j *job, now time.Duration) {
	d.contention.refused.Add(d.level(j), j.work(), now)
	d.contention.refusedJobs.Add(j.spec.ID, now)
}

// LevelState describes one priority level in the state dump.
type LevelState struct {
	Level int `json:"level"`
	// WaitingJobs is the number of jobs with tasks that are not placed here, and
	// WaitingMilliCPU the CPU that these tasks need, in thousandths of a core.
	WaitingJobs     int   `json:"waiting_jobs"`
	WaitingMilliCPU int64 `json:"waiting_cpu"`
	// BacklogMilliCPU, DemandMilliCPU and CapacityMilliCPU are in thousandths of a
	// core, for all dispatchers.
	BacklogMilliCPU  int64 `json:"backlog_cpu"`
	DemandMilliCPU   int64 `json:"demand_cpu"`
	CapacityMilliCPU int64 `json:"capacity_cpu"`
	// Wait is the expected wait of an arriving job, and Limit the longest wait that
	// was allowed to the last one.
	Wait  string `json:"wait"`
	Limit string `json:"limit"`
	// StartedFraction is the level's fraction of the work that was placed recently.
	StartedFraction float64 `json:"started_fraction"`
}

// levelStates returns the inputs of decisions about jobs that may be placed anywhere.
func (d *Dispatcher) levelStates(now time.Duration) []LevelState {
	endpoints, _ := d.usableEndpoints(false, now)
	state := d.contentionState(placement.Anywhere, totalMilliCPU(endpoints), now)
	levels := make([]LevelState, d.policy.Current().LevelCount())
	for level := range levels {
		levels[level] = LevelState{
			Level: level, BacklogMilliCPU: int64(state.Backlog[level]), DemandMilliCPU: int64(state.Demand[level]),
			CapacityMilliCPU: state.CapacityMilliCPU, Wait: state.Wait(level).String(), Limit: d.contention.limits[level].String(),
			StartedFraction: d.started.Fraction(level),
		}
	}
	for _, j := range d.waiting {
		if level := d.level(j); level < len(levels) {
			levels[level].WaitingJobs++
			levels[level].WaitingMilliCPU += j.queuedMilliCPU()
		}
	}
	return levels
}
