package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/placement"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/runref"
	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform"
)

const (
	// maxTaskAttempts bounds the runs of one task.
	maxTaskAttempts = 40
	// maxLostRuns bounds the runs of one task that are lost with their endpoint or
	// runner, whether or not the endpoint is known to have crashed.
	maxLostRuns = 5
	// attemptSkip is added to a task's attempt when the endpoint refuses it
	// because it knows the same or a later attempt, which an earlier submission
	// of the job has used.
	attemptSkip = 8
)

const (
	// initialMeanTaskDuration is the assumed mean duration of tasks before any
	// has been placed.
	initialMeanTaskDuration = 200 * time.Millisecond
	// meanWeight is the weight of one task in the mean.
	meanWeight = 1.0 / 256
)

// updateMeanTaskDuration adds a placed task's estimate to the mean.
func (d *Dispatcher) updateMeanTaskDuration(estimate time.Duration) {
	d.meanTaskDuration += time.Duration(meanWeight * float64(estimate-d.meanTaskDuration))
}

// usableEndpoints returns the endpoints that may get work, and their runners in
// the same order. If containment is set, those for contained jobs are marked.
func (d *Dispatcher) usableEndpoints(containment bool, now time.Duration) ([]placement.Endpoint, []*runner) {
	return d.selectEndpoints(&d.usableViews, containment, func(r *runner) bool { return r.usable(now) })
}

// endpointViews is memory for selected endpoints and their runners.
type endpointViews struct {
	endpoints []placement.Endpoint
	runners   []*runner
}

// selectEndpoints returns the selected endpoints of those that are not out of
// service, and their runners in the same order. If containment is set, those for
// contained jobs are marked. The result is valid until the next call with the same
// views: a fleet of views for each arriving job and each pass would be most of the
// memory that a dispatcher allocates.
func (d *Dispatcher) selectEndpoints(views *endpointViews, containment bool, selected func(*runner) bool) ([]placement.Endpoint, []*runner) {
	p := d.policy.Current()
	if p == nil {
		return nil, nil
	}
	all, runners := views.endpoints[:0], views.runners[:0]
	defer func() { views.endpoints, views.runners = all[:0], runners[:0] }()
	for _, r := range d.runners {
		// The containment area includes endpoints that can't be selected.
		if !p.OutOfService(r.state.GetFailureDomain()) && (containment || selected(r)) {
			all = append(all, r.endpoint())
			runners = append(runners, r)
		}
	}
	if containment {
		placement.MarkContainment(all)
		for i, r := range runners {
			all[i].HasContained = r.hasContained()
		}
	}
	n := 0
	for i, r := range runners {
		if selected(r) {
			all[n], runners[n] = all[i], r
			n++
		}
	}
	return all[:n], runners[:n]
}

// schedule assigns free capacity to waiting jobs, the most urgent first. It is
// called with the lock held.
func (d *Dispatcher) schedule(now time.Duration) {
	if len(d.waiting) == 0 || !d.suspension.settled(now) {
		return
	}
	// Other work since now is not part of the pass.
	startedAt := clock.SinceBoot()
	defer func() { d.passes.finished(startedAt, clock.SinceBoot()) }()
	d.scheduleOverflow(now)
	endpoints, runners := d.usableEndpoints(d.anyContained(now), now)
	if len(endpoints) == 0 {
		return
	}
	placement.SetMedianSpeeds(endpoints)
	d.setTakenByOthers(endpoints, runners, now)
	for j := range placement.InOrder(d.rankedWaiting(now), &d.started) {
		area := d.areaOf(j, now)
		for s := range j.spec.Steps {
			queued := j.queuedTasks(s)
			if len(queued) == 0 {
				continue
			}
			request := j.placementRequest(s, len(queued), area)
			request.Slack, request.Level = j.urgency().Slack(now), d.level(j)
			for _, a := range placement.Assign(request, endpoints, rand.IntN) {
				if area == placement.Inside {
					endpoints[a.EndpointIndex].HasContained = true
				}
				d.sendStarts(runners[a.EndpointIndex], queued[:a.Count], a.Queued, area, now)
				queued = queued[a.Count:]
			}
		}
	}
}

// setTakenByOthers sets the age of the views of endpoints, and what the other
// dispatchers have probably taken since. A runner adds its state, if that has changed,
// to each frame, so that its last frame is the age of the view.
func (d *Dispatcher) setTakenByOthers(endpoints []placement.Endpoint, runners []*runner, now time.Duration) {
	for i, r := range runners {
		endpoints[i].ViewAge = now - r.lastFrameAt
	}
	placement.SetTakenByOthers(endpoints, 1-d.loadShare(now), d.meanTaskDuration)
}

// sendStarts requests runs of tasks of one job from a runner, unless the job's callers have
// disconnected. The tasks are to wait there if wait is set.
func (d *Dispatcher) sendStarts(r *runner, tasks []*task, wait bool, area placement.Area, now time.Duration) {
	j := tasks[0].job
	if !d.confirmCaller(j, r.heartbeatReceivedAt) {
		return
	}
	// The echo proves to the runner that the orders are new, and that the caller was
	// connected when the heartbeat had been received.
	frame := d.newHeartbeat(r, now)
	if !r.inUse() {
		r.usedSince = now
	}
	slack := j.urgency().Slack(now)
	level := d.level(j)
	for i, t := range tasks {
		t.attempt++
		t.state, t.runnerName, t.placedAt, t.moving = taskPlaced, r.node.Name, now, false
		t.contained = area == placement.Inside
		order := newRunOrder(t, slack, level)
		order.PatienceUs = placement.RunnerWait(wait, t.redirects).Microseconds()
		order.Number = r.reserve(t.step().Resources, now)
		if i == 0 {
			order.Spec = j.spec.Spec
		} else {
			order.RepeatsSpec = true
		}
		frame.Starts = append(frame.Starts, order)
		r.runs[t.runID()] = t
		d.updateMeanTaskDuration(t.step().Estimate)
		d.countStarted(t, level, now)
	}
	if !j.hasQueuedTasks() {
		delete(d.waiting, j.spec.ID)
	}
	d.updateQueuedWork(j, now)
	d.metrics.orders.Add(d.runCtx, int64(len(tasks)))
	d.log.Info("job: tasks placed", zap.String("job", j.spec.ID), zap.String("runner", r.node.Name), zap.Int("tasks", len(tasks)),
		zap.Uint64("attempt", tasks[0].attempt), zap.Duration("age", now-j.arrivedAt), zap.Float64("speed", r.speed()))
	r.outbox.Put(frame)
}

// newRunOrder returns the order of the task's next run, without the spec.
func newRunOrder(t *task, slack time.Duration, level int) *pb.RunOrder {
	step := t.step()
	return &pb.RunOrder{
		Run:        runref.Encode(t.runID()),
		Service:    t.job.route.Service,
		CpuMilli:   uint64(step.Resources.MilliCPU),
		MemoryMb:   uint64(step.Resources.MemoryMB),
		Gpus:       uint64(step.Resources.GPUs),
		EstimateUs: step.Estimate.Microseconds(),
		SlackUs:    slack.Microseconds(),
		Route:      t.job.route.Name,
		Contained:  t.contained,
		Priority:   uint32(level),
		Overflow:   t.overflow,
		// The endpoint may have been replaced by one of another kind meanwhile.
		RequiredLabel: step.RequiredLabel,
	}
}

// runTicks handles everything that depends on time, until ctx ends.
func (d *Dispatcher) runTicks(ctx context.Context) {
	for {
		due := clock.SinceBoot() + tickInterval
		if !clock.Sleep(ctx, tickInterval) {
			return
		}
		d.mu.Lock()
		now := clock.SinceBoot()
		d.recordTick(now-due, now)
		d.tick(now)
		d.mu.Unlock()
	}
}

// tick handles what depends on time. It is called with the lock held.
func (d *Dispatcher) tick(now time.Duration) {
	d.suspension.tick(now)
	for _, r := range d.runners {
		d.endInheritedRuns(r, now)
		d.dropRunsOfLostRunner(r, now)
	}
	if !d.suspension.settled(now) {
		return
	}
	for _, r := range d.runners {
		r.closeIfSilent(now)
	}
	d.requestPolicy(now)
	d.checkConfirmation(now)
	d.expireJobs(now)
	d.refuseUnplaceable(now)
	d.schedule(now)
}

// expireJobs counts the jobs that have become late and ends those that have expired.
func (d *Dispatcher) expireJobs(now time.Duration) {
	firstInTime := d.firstLevelInTime(now)
	for _, j := range d.jobs {
		d.updateQueuedWork(j, now)
		d.expireJob(j, firstInTime, now)
	}
}

// expireJob ends a job whose deadline has passed, whose answer would come too
// late to have a value, or which is late and has not started while another
// waiting job of its priority level or one before it can still be answered in time;
// firstInTime is the first level with such a job.
func (d *Dispatcher) expireJob(j *job, firstInTime int, now time.Duration) {
	u := j.urgency()
	if now < j.deadline && !u.Expired(now) && (!u.LateUnstarted(now) || d.level(j) < firstInTime) {
		return
	}
	a := platform.Answer{Code: result.StillRunning}
	if !j.started() {
		a = platform.Answer{Code: result.Overloaded, RetryAfter: d.retryAfterExpiry(j, now)}
	}
	d.log.Info("job: expired", zap.String("job", j.spec.ID), zap.Stringer("code", a.Code), zap.Duration("age", now-j.arrivedAt),
		zap.Duration("objective", j.objective), zap.Int("placed", len(j.placedTasks())), zap.Duration("left", j.remainingWork()))
	d.finish(j, a)
}

// firstLevelInTime returns the first level of which a waiting job can still be answered
// in time, or policy.MaxLevels if there is none. It is computed once a tick: in an
// overload, thousands of late jobs wait, and each would search all others.
func (d *Dispatcher) firstLevelInTime(now time.Duration) int {
	first := policy.MaxLevels
	for _, j := range d.waiting {
		if level := d.level(j); level < first && now < j.deadline && j.urgency().Slack(now) >= 0 {
			first = level
		}
	}
	return first
}

// finish answers a job and stops its runs.
func (d *Dispatcher) finish(j *job, a platform.Answer) {
	if j.answered {
		return
	}
	j.answered = true
	d.recordFirstStart(j)
	delete(d.jobs, j.spec.ID)
	delete(d.waiting, j.spec.ID)
	d.updateQueuedWork(j, clock.SinceBoot())
	for _, t := range j.placedTasks() {
		d.stopRun(t)
	}
	d.log.Info("job: ended", zap.String("job", j.spec.ID), zap.Stringer("code", a.Code), zap.Bool("failed", a.Failed),
		zap.Duration("took", clock.SinceBoot()-j.arrivedAt), zap.Duration("objective", j.objective))
	j.answer <- a
}

// stopRun asks the task's runner to stop its run.
func (d *Dispatcher) stopRun(t *task) {
	r := d.runners[t.runnerName]
	if r == nil {
		return
	}
	r.stopping[t.runID()] = true
	if r.outbox != nil {
		r.outbox.Put(r.newStop(t.runID()))
	}
}

// newStop returns the frame that requests the stop of a run. The run of an open job is only
// moved: its task waits until the runner has reported the end.
func (r *runner) newStop(run workload.RunID) *pb.DispatcherFrame {
	refs := []*pb.RunRef{runref.Encode(run)}
	if t := r.runs[run]; t != nil && !t.job.answered {
		return &pb.DispatcherFrame{Moves: refs}
	}
	return &pb.DispatcherFrame{Stops: refs}
}
