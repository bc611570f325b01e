package dispatch

import (
	"time"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/placement"
)

// level returns the priority level of the job's route in the current configuration.
// Jobs that wait while the configuration changes follow it. If it removes their route,
// they keep their level: that of an unknown route is the first, and they would overtake
// the jobs of all others.
func (d *Dispatcher) level(j *job) int {
	if p := d.policy.Current(); p.KnowsRoute(j.route.Name) {
		j.lastLevel = p.Level(j.route.Name)
	}
	return j.lastLevel
}

// rankedWaiting returns the waiting jobs with their ranks.
func (d *Dispatcher) rankedWaiting(now time.Duration) []placement.Waiting[*job] {
	all := make([]placement.Waiting[*job], 0, len(d.waiting))
	for _, j := range d.waiting {
		u := j.urgency()
		u.Level = d.level(j)
		all = append(all, placement.Waiting[*job]{Item: j, Rank: u.Rank(now)})
	}
	return all
}

// countStarted counts the requested run of a task in the started work of a level.
// Overflow runs don't count: they use no capacity that another level could get.
func (d *Dispatcher) countStarted(t *task, level int, now time.Duration) {
	t.level = level
	if t.overflow {
		return
	}
	d.started.Add(level, t.work(), now)
}

// uncountStarted takes back the task's last run, which was refused. Otherwise a level
// whose starts are often refused would seem to have its minimum share.
func (d *Dispatcher) uncountStarted(t *task, now time.Duration) {
	if t.overflow {
		return
	}
	d.started.Remove(t.level, t.work(), t.placedAt, now)
}

// work returns the work of one run of the task.
func (t *task) work() float64 {
	return placement.TaskWork(t.step().Resources, t.step().Estimate)
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
