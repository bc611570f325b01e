package dispatch

import (
	"time"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/placement"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/workload"
)

// level returns the priority level of the job's route in the current configuration.
// Jobs that wait while the configuration changes follow it.
func (d *Dispatcher) level(j *job) int { return d.policy.Current().Level(j.route.Name) }

// rankedWaiting returns the waiting jobs with their ranks.
func (d *Dispatcher) rankedWaiting(now time.Duration) []placement.Waiting[*job] {
	p := d.policy.Current()
	all := make([]placement.Waiting[*job], 0, len(d.waiting))
	for _, j := range d.waiting {
		u := j.urgency()
		u.Level = p.Level(j.route.Name)
		all = append(all, placement.Waiting[*job]{Item: j, Rank: u.Rank(now)})
	}
	return all
}

// countStarted counts the requested run of a task in the started work of a level.
func (d *Dispatcher) countStarted(t *task, level int, now time.Duration) {
	t.level = level
	d.started.Add(level, t.work(), now)
}

// uncountStarted takes back the task's last run, which was refused. Otherwise a level
// whose starts are often refused would seem to have its minimum share.
func (d *Dispatcher) uncountStarted(t *task, now time.Duration) {
	d.started.Remove(t.level, t.work(), t.placedAt, now)
}

// work returns the work of one run of the task.
func (t *task) work() float64 {
	step := &t.job.spec.Steps[t.id.Step]
	return placement.TaskWork(step.Resources, step.Estimate)
}

// noteStart records when the run of the event was started, if it has ended with a
// result: the time of the event less the run time that it reports.
func (t *task) noteStart(e *pb.RunEvent, now time.Duration) {
	if e.GetEnd() != pb.RunEnd_RUN_END_DONE && e.GetEnd() != pb.RunEnd_RUN_END_FAILED {
		return
	}
	runTime := time.Duration(min(max(e.GetRunUs(), 0), (now-t.placedAt).Microseconds())) * time.Microsecond
	if j := t.job; j.firstStartAt == 0 || now-runTime < j.firstStartAt {
		j.firstStartAt = now - runTime
	}
}

// recordFirstStart records how long an answered job waited for its first start. Jobs
// of which no run has ended with a result don't count.
func (d *Dispatcher) recordFirstStart(j *job) {
	if j.firstStartAt > 0 {
		d.metrics.recordFirstStart(d.runCtx, d.level(j), j.firstStartAt-j.arrivedAt)
	}
}

// waitingCPUByLevel returns the CPU, in thousandths of a core, of the orders that wait
// at a runner, by level. For a runner of a version that doesn't report it by level, all
// of it counts as level 0.
func waitingCPUByLevel(s *pb.RunnerState) [policy.MaxLevels]int64 {
	var all [policy.MaxLevels]int64
	if len(s.GetWaitingCpuByPriority()) == 0 {
		all[0] = workload.DecodeAmount(s.GetWaitingCpu())
	}
	for level, amount := range s.GetWaitingCpuByPriority() {
		all[min(level, policy.MaxLevels-1)] += workload.DecodeAmount(amount)
	}
	return all
}

// LevelState describes one priority level in the state dump.
type LevelState struct {
	Level int `json:"level"`
	// WaitingJobs and WaitingMilliCPU describe the level's tasks that wait for
	// placement here.
	WaitingJobs     int   `json:"waiting_jobs"`
	WaitingMilliCPU int64 `json:"waiting_cpu"`
	// QueuedMilliCPU is the CPU of all dispatchers' orders of the level that wait at
	// runners.
	QueuedMilliCPU int64 `json:"queued_cpu"`
	// StartedFraction is the level's fraction of the work that was placed recently.
	StartedFraction float64 `json:"started_fraction"`
}

// levelStates returns the states of the priority levels in use.
func (d *Dispatcher) levelStates() []LevelState {
	p := d.policy.Current()
	all := make([]LevelState, p.LevelCount())
	for level := range all {
		all[level] = LevelState{Level: level, StartedFraction: d.started.Fraction(level)}
	}
	for _, j := range d.waiting {
		s := &all[p.Level(j.route.Name)]
		s.WaitingJobs++
		s.WaitingMilliCPU += j.queuedMilliCPU()
	}
	for _, r := range d.runners {
		for level, milliCPU := range waitingCPUByLevel(r.state) {
			all[min(level, len(all)-1)].QueuedMilliCPU += milliCPU
		}
	}
	return all
}
