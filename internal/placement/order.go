package placement

import (
	"cmp"
	"time"
)

// maxLatenessFactor times the objective is the age from which an answer has no
// value to the caller.
const maxLatenessFactor = 3

// Urgency holds the values that order jobs by priority.
type Urgency struct {
	// ArrivedAt is the time of the job's arrival, Objective the latency within
	// which it should be answered.
	ArrivedAt time.Duration
	Objective time.Duration
	// RemainingWork is the duration of the longest chain of unfinished tasks.
	RemainingWork time.Duration
	// Started is set once a task of the job has been placed.
	Started bool
	// Suspect is set if the job may have crashed an endpoint.
	Suspect bool
	// Level is the priority level of the job's route; 0 comes first.
	Level int
	// Overflow is set if the job was admitted to be answered late.
	Overflow bool
}

// Slack returns how long the job can still wait and meet its objective. It is
// negative for a late job, which an overflow job is from the start: tasks of it that
// have to run at sound endpoints must not delay jobs that are in time.
func (u *Urgency) Slack(now time.Duration) time.Duration {
	slack := u.ArrivedAt + u.Objective - now - u.RemainingWork
	if u.Overflow {
		return min(slack, -time.Microsecond)
	}
	return slack
}

// Expired reports whether the job's answer will have no value, even if the
// remaining work begins now.
func (u *Urgency) Expired(now time.Duration) bool {
	return now+u.RemainingWork > u.ArrivedAt+maxLatenessFactor*u.Objective
}

// LateUnstarted reports whether the job can't meet its objective and has not
// started. It is false for a suspect job.
func (u *Urgency) LateUnstarted(now time.Duration) bool {
	return !u.Suspect && !u.Started && u.Slack(now) < 0
}

// Classes of jobs, the most urgent first. No capacity is spent on late answers
// while another job can still be answered in time. Jobs that probably crash their
// endpoint again come last.
const (
	classInTime = iota
	classLate
	classSuspect
)

// Rank holds a job's values for the order. It is computed once per decision, because
// each job is compared with many others.
type Rank struct {
	class     int8
	level     int8
	unstarted bool
	slack     time.Duration
}

// NewRank returns the rank of a job, or of an order of one, of the given priority
// level.
func NewRank(level int, slack time.Duration, started, suspect bool) Rank {
	r := Rank{level: int8(level), slack: slack, unstarted: !started}
	switch {
	case suspect:
		r.class, r.unstarted = classSuspect, true
	case slack < 0:
		r.class = classLate
	}
	return r
}

// Rank returns the job's rank at the given time.
func (u *Urgency) Rank(now time.Duration) Rank {
	return NewRank(u.Level, u.Slack(now), u.Started, u.Suspect)
}

// Compare orders ranks: by class, then by priority level, then started work before
// other work, then least slack first. It addresses contention: jobs of routes with
// higher priority don't wait behind those that have enough slack to wait, and
// started work is finished before other work of its level is started. With equal
// levels the level has no effect.
func (r Rank) Compare(o Rank) int {
	switch {
	case r.class != o.class:
		return cmp.Compare(r.class, o.class)
	case r.level != o.level:
		return cmp.Compare(r.level, o.level)
	case r.unstarted != o.unstarted:
		if o.unstarted {
			return -1
		}
		return 1
	}
	return cmp.Compare(r.slack, o.slack)
}

// Compare orders jobs for the next free capacity, as their ranks do.
func Compare(a, b *Urgency, now time.Duration) int { return a.Rank(now).Compare(b.Rank(now)) }

// Backlog describes the queued work and how fast capacity becomes free.
type Backlog struct {
	// QueuedMilliCPU is the CPU that queued tasks need.
	QueuedMilliCPU int64
	// CapacityMilliCPU is the CPU of all endpoints, each multiplied by its
	// speed, which counts as 1 if it is higher.
	CapacityMilliCPU int64
	// MeanTaskDuration is the mean duration of all tasks. The durations of the
	// queued tasks themselves don't count: an arriving job waits until they
	// have started, not until they have ended.
	MeanTaskDuration time.Duration
}

// Wait returns the expected time until all queued tasks have started.
func (b Backlog) Wait() time.Duration {
	if b.QueuedMilliCPU <= 0 {
		return 0
	}
	if b.CapacityMilliCPU <= 0 {
		return time.Hour
	}
	return time.Duration(float64(b.QueuedMilliCPU) / float64(b.CapacityMilliCPU) * float64(b.MeanTaskDuration))
}

const (
	// MaxSlackFraction is the fraction of a job's slack that waiting behind the
	// backlog may use. The rest is for the handling of the job and for the error of
	// the estimates.
	MaxSlackFraction = 0.6
	// maxWait is the longest backlog that any job is admitted behind: with a
	// longer one, jobs with little slack would bear all of the overload.
	maxWait = 55 * time.Millisecond
)

// Admit reports whether an arriving job can be answered in time behind the
// backlog. Under overload, excess jobs are refused at once so that the admitted
// ones are answered in time.
func Admit(u *Urgency, b Backlog, now time.Duration) bool {
	limit := time.Duration(MaxSlackFraction * float64(max(u.Slack(now), 0)))
	return b.Wait() <= min(limit, maxWait)
}
