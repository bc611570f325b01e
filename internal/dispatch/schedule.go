package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/place"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/runref"
	"github.com/pomelosill/pomelosill/platform"
)

const (
	// patience is how long an order may wait for room at its runner.
	patience = 150 * time.Millisecond
	// maxAttempts bounds the runs of one task.
	maxAttempts = 40
	// skipAttempts is added to the attempt of a task whose run was not newer
	// than one that the endpoint knows from before.
	skipAttempts = 8
	// maxJobs bounds the number of callers' jobs that may wait here.
	maxJobs = 5000
)

// servable refuses a job that no endpoint could run.
func (d *Dispatcher) servable(j *job, now time.Duration) error {
	if len(d.jobs) >= maxJobs {
		return result.Errorf(result.QueueFull, "%d jobs wait", len(d.jobs))
	}
	endpoints, _ := d.endpoints(now)
	for s := range j.spec.Steps {
		w := j.wish(s, 1)
		possible := slices.ContainsFunc(endpoints, func(e place.Endpoint) bool { return w.Possible(&e) })
		if !possible {
			return result.Errorf(result.NoEndpoint, "no endpoint for step %d of job %s among %d", s, j.spec.ID, len(endpoints))
		}
	}
	return d.inTime(j, endpoints, now)
}

// inTime refuses a job that would have to wait for longer than its objective
// allows.
func (d *Dispatcher) inTime(j *job, endpoints []place.Endpoint, now time.Duration) error {
	u := j.urgency()
	b := place.Backlog{CPU: d.waitingAtRunners(), Capacity: capacity(endpoints), Mean: d.meanTask}
	var own int64
	for _, other := range d.waiting {
		if !other.urgency().Late(now) {
			own += other.waitingCPU()
		}
	}
	// The other dispatchers' queues are taken to be as long as their load.
	b.CPU += int64(float64(own) / d.share(now))
	if place.Admit(u, b, now) {
		return nil
	}
	return result.Errorf(result.Overloaded, "job %s: %s of work wait ahead, its slack is %s", j.spec.ID, b.Wait(), u.Slack(now))
}

// capacity is what all endpoints have, in thousandths of a core at speed 1.
func capacity(endpoints []place.Endpoint) int64 {
	var all int64
	for i := range endpoints {
		e := &endpoints[i]
		all += int64(float64(e.Capacity.CPU) * min(e.Speed, 1))
	}
	return all
}

// waitingAtRunners is what all dispatchers' orders need that wait at runners,
// in thousandths of a core.
func (d *Dispatcher) waitingAtRunners() int64 {
	var all int64
	for _, r := range d.runners {
		all += int64(r.state.GetWaitingCpu())
	}
	return all
}

const (
	// firstMean is the mean duration of tasks before any has been placed.
	firstMean = 200 * time.Millisecond
	// meanWeight is the weight of one task in the mean.
	meanWeight = 1.0 / 256
)

// learnMean takes the duration of a placed task into the mean.
func (d *Dispatcher) learnMean(each time.Duration) {
	d.meanTask += time.Duration(meanWeight * float64(each-d.meanTask))
}

// endpoints lists the endpoints that may get work, with their runners.
func (d *Dispatcher) endpoints(now time.Duration) ([]place.Endpoint, []*runner) {
	p := d.policy.State()
	var all []place.Endpoint
	var runners []*runner
	for _, r := range d.runners {
		if !r.usable(now) || p == nil || p.OutOfService(r.state.GetFailureDomain()) {
			continue
		}
		all = append(all, r.endpoint())
		runners = append(runners, r)
	}
	return all, runners
}

// schedule gives free room to the jobs that wait, the most urgent first. It
// is called with the lock held.
func (d *Dispatcher) schedule(now time.Duration) {
	waiting := d.waitingJobs(now)
	if len(waiting) == 0 {
		return
	}
	endpoints, runners := d.endpoints(now)
	if len(endpoints) == 0 {
		return
	}
	for _, j := range waiting {
		for s := range j.spec.Steps {
			queued := j.queued(s)
			if len(queued) == 0 {
				continue
			}
			for _, pick := range place.Choose(j.wish(s, len(queued)), endpoints, rand.IntN) {
				d.order(runners[pick.At], queued[:pick.Count], now)
				queued = queued[pick.Count:]
			}
		}
	}
}

// waitingJobs lists the jobs with queued tasks, the most urgent first.
func (d *Dispatcher) waitingJobs(now time.Duration) []*job {
	type ranked struct {
		job     *job
		urgency *place.Urgency
	}
	var all []ranked
	for _, j := range d.waiting {
		all = append(all, ranked{j, j.urgency()})
	}
	slices.SortFunc(all, func(a, b ranked) int { return place.Compare(a.urgency, b.urgency, now) })
	jobs := make([]*job, len(all))
	for i := range all {
		jobs[i] = all[i].job
	}
	return jobs
}

// order asks a runner to start tasks of one job.
func (d *Dispatcher) order(r *runner, tasks []*task, now time.Duration) {
	frame := &pb.DispatcherFrame{}
	j := tasks[0].job
	slack := j.urgency().Slack(now)
	for _, t := range tasks {
		t.attempt++
		t.state, t.runner, t.placedAt, t.moving = taskPlaced, r.node.Name, now, false
		step := &j.spec.Steps[t.id.Step]
		frame.Starts = append(frame.Starts, &pb.RunOrder{
			Run:        runref.Encode(t.run()),
			Service:    j.route.Service,
			Spec:       j.spec.Spec,
			CpuMilli:   uint64(step.Need.CPU),
			MemoryMb:   uint64(step.Need.MemoryMB),
			Gpus:       uint64(step.Need.GPUs),
			EstimateUs: step.Estimate.Microseconds(),
			PatienceUs: patience.Microseconds(),
			Number:     r.reserve(step.Need),
			SlackUs:    slack.Microseconds(),
		})
		r.runs[t.run()] = t
		d.learnMean(step.Estimate)
	}
	if !j.waits() {
		delete(d.waiting, j.spec.ID)
	}
	d.metrics.orders.Add(d.base, int64(len(tasks)))
	d.log.Info("job: tasks placed", zap.String("job", j.spec.ID), zap.String("runner", r.node.Name), zap.Int("tasks", len(tasks)),
		zap.Uint64("attempt", tasks[0].attempt), zap.Duration("age", now-j.arrived), zap.Float64("speed", r.speed()))
	r.out.Put(frame)
}

// watchJobs looks at everything that time changes.
func (d *Dispatcher) watchJobs(ctx context.Context) {
	for clock.Sleep(ctx, tick) {
		d.mu.Lock()
		now := clock.Boot()
		for _, r := range d.runners {
			d.checkRunner(r, now)
		}
		for _, j := range d.jobs {
			d.checkJob(j, now)
		}
		d.schedule(now)
		d.mu.Unlock()
	}
}

// checkJob gives up a job that can't be answered in time any more.
func (d *Dispatcher) checkJob(j *job, now time.Duration) {
	u := j.urgency()
	if now < j.until && !u.Hopeless(now) && (!u.Late(now) || !d.othersInTime(now)) {
		return
	}
	a := platform.Answer{Code: result.Overloaded, RetryAfter: comeBack()}
	if j.begun() {
		a = platform.Answer{Code: result.StillRunning}
	}
	d.log.Info("job: given up", zap.String("job", j.spec.ID), zap.Stringer("code", a.Code), zap.Duration("age", now-j.arrived),
		zap.Duration("objective", j.objective), zap.Int("placed", len(j.placed())), zap.Duration("left", j.left()))
	d.finish(j, a)
}

// othersInTime tells whether a job waits that can still be answered in time.
func (d *Dispatcher) othersInTime(now time.Duration) bool {
	for _, j := range d.waiting {
		if j.urgency().Slack(now) >= 0 {
			return true
		}
	}
	return false
}

// finish answers a job and stops what still runs of it.
func (d *Dispatcher) finish(j *job, a platform.Answer) {
	if j.answered {
		return
	}
	j.answered = true
	delete(d.jobs, j.spec.ID)
	delete(d.waiting, j.spec.ID)
	for _, t := range j.placed() {
		d.stopRun(t)
	}
	d.log.Info("job: ended", zap.String("job", j.spec.ID), zap.Stringer("code", a.Code), zap.Bool("failed", a.Failed),
		zap.Duration("took", clock.Boot()-j.arrived), zap.Duration("objective", j.objective))
	j.answer <- a
}

// stopRun asks the task's runner to stop its run.
func (d *Dispatcher) stopRun(t *task) {
	r := d.runners[t.runner]
	if r == nil {
		return
	}
	r.stopping[t.run()] = true
	if r.out != nil {
		r.out.Put(&pb.DispatcherFrame{Stops: []*pb.RunRef{runref.Encode(t.run())}})
	}
}
