package admission

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/placement"
	"github.com/pomelosill/pomelosill/internal/policy"
)

const (
	// minShare is the fraction of the started work that a level with waiting jobs gets
	// at least, whatever the demand of the levels before it. Dispatchers and runners
	// order queued work accordingly.
	minShare = placement.MinLevelShare
	// returningSlackFraction replaces placement.MaxSlackFraction for a job that returns
	// after it was refused.
	returningSlackFraction = 1.0
	// contentionFraction of its limit is the wait from which a job's level is under
	// contention.
	contentionFraction = 0.5
	// maxWait is the wait where no capacity is known. Longer waits are not told apart.
	maxWait = time.Hour
)

// State is what a dispatcher knows of queued work, demand and capacity.
type State struct {
	// CapacityMilliCPU is the CPU of all endpoints, each multiplied by its speed,
	// which counts as 1 if it is higher.
	CapacityMilliCPU int64
	// TaskDurations holds for each level the mean duration of the tasks of this level
	// and those after it. These tasks occupy the capacity that the levels before leave
	// free, so they determine how often a part of it becomes free for the level: where
	// its tasks are long and those of the levels before short, the mean of all tasks
	// would give a wait that is several times too short.
	TaskDurations [policy.MaxLevels]time.Duration
	// Backlog is the CPU that queued tasks of all dispatchers need, and Demand that
	// of the work that they recently admitted, both in thousandths of a core.
	Backlog ByLevel
	Demand  ByLevel
	// LowSlack is the slack that most jobs of a level have at least, zero where it is
	// unknown.
	LowSlack [policy.MaxLevels]time.Duration
	// RefusedWork is the work that all dispatchers recently refused, in thousandths of
	// a core times seconds.
	RefusedWork ByLevel
}

// Job is an arriving job.
type Job struct {
	Level int
	// Slack is how long the job can wait and meet its objective.
	Slack time.Duration
	// CallerExcess is the demand of its caller over the mean of all callers, zero if
	// that is unknown.
	CallerExcess float64
	// Returned is set if the job was refused recently.
	Returned bool
	// FitsNow is set if healthy endpoints have free capacity for all of its tasks and
	// for the jobs of its level and those before it that wait at the dispatcher.
	FitsNow bool
}

// Decision is the answer to an arriving job, with the figures that it follows from.
type Decision struct {
	Admitted bool
	// Unfair is set if the job is refused only because its caller has more demand
	// than others.
	Unfair bool
	Level  int
	// Wait is the expected wait, and Limit the longest with which the job is admitted.
	Wait  time.Duration
	Limit time.Duration
	// BacklogMilliCPU is the queued work of the job's level and those before it, and
	// CapacityMilliCPU the capacity.
	BacklogMilliCPU  int64
	CapacityMilliCPU int64
	CallerExcess     float64
	// RetryAfter is the shortest delay for the caller of a refused job.
	RetryAfter time.Duration
}

// FreeFraction returns the fraction of the capacity that is left for a level by the
// demand of those before it.
func (s *State) FreeFraction(level int) float64 {
	if s.CapacityMilliCPU <= 0 {
		return minShare
	}
	return max(minShare, 1-s.Demand.Before(level)/float64(s.CapacityMilliCPU))
}

// Wait returns the expected time until the queued tasks of the level and those before
// it have started, or until those of the level have started on its minimum share, if
// that is earlier: a backlog of the levels before must not refuse all of its jobs.
func (s *State) Wait(level int) time.Duration {
	queued := s.Backlog.Through(level)
	if queued <= 0 {
		return 0
	}
	if s.CapacityMilliCPU <= 0 {
		return maxWait
	}
	level = clampLevel(level)
	queued = min(queued/s.FreeFraction(level), s.Backlog[level]/minShare)
	wait := queued / float64(s.CapacityMilliCPU) * float64(s.TaskDurations[level])
	return time.Duration(min(wait, float64(maxWait)))
}

// Limit returns the longest wait with which the job is admitted. The low slack of its
// level bounds it unless that is unknown (zero).
func (j *Job) Limit(lowSlack time.Duration) time.Duration {
	slack := j.Slack
	if lowSlack > 0 {
		slack = min(slack, lowSlack)
	}
	fraction := placement.MaxSlackFraction
	if j.Returned {
		fraction = returningSlackFraction
	}
	return time.Duration(fraction * float64(max(slack, 0)))
}

// Decide returns whether an arriving job is admitted. It addresses an overload by
// routes of different priority: a job waits only for the work of its level and those
// before it, so a flood of a later level doesn't cause refusals of earlier ones, and
// each level uses the slack that its jobs have. A caller with much more demand than
// others is refused first.
func Decide(j *Job, s *State) Decision {
	d := Decision{
		Level: j.Level, Wait: s.Wait(j.Level), Limit: j.Limit(s.LowSlack[clampLevel(j.Level)]), CallerExcess: j.CallerExcess,
		BacklogMilliCPU: int64(min(s.Backlog.Through(j.Level), maxFigure)), CapacityMilliCPU: s.CapacityMilliCPU,
	}
	limit := d.Limit
	if j.CallerExcess > maxCallerExcess {
		limit = time.Duration(contentionFraction * float64(limit))
	}
	d.Admitted = d.Wait <= limit || j.FitsNow
	if d.Admitted {
		return d
	}
	d.Unfair = d.Wait <= d.Limit
	d.RetryAfter = s.RetryAfter(j.Level, d.Wait-limit)
	return d
}
