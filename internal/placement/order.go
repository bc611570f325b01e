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

// Classes of jobs, the most urgent first. Under overload, started work is
// finished before other work is started, and no capacity is spent on late
// answers while another job can still be answered in time. Jobs that probably
// crash their endpoint again come last.
const (
	classStarted = iota
	classUnstarted
	classLateStarted
	classLateUnstarted
	classSuspect
)

func (u *Urgency) class(now time.Duration) int {
	late := u.Slack(now) < 0
	switch {
	case u.Suspect:
		return classSuspect
	case u.Started && !late:
		return classStarted
	case !late:
		return classUnstarted
	case u.Started:
		return classLateStarted
	}
	return classLateUnstarted
}

// LateUnstarted reports whether the job can't meet its objective and has not
// started.
func (u *Urgency) LateUnstarted(now time.Duration) bool { return u.class(now) == classLateUnstarted }

// Compare orders jobs for the next free capacity: by class, then by slack,
// least slack first.
func Compare(a, b *Urgency, now time.Duration) int {
	return cmp.Or(
		cmp.Compare(a.class(now), b.class(now)),
		cmp.Compare(a.Slack(now), b.Slack(now)),
	)
}

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
	// maxSlackFraction is the fraction of a job's slack that waiting behind the
	// backlog may use.
	maxSlackFraction = 0.6
	// maxWait is the longest backlog that any job is admitted behind: with a
	// longer one, jobs with little slack would bear all of the overload.
	maxWait = 55 * time.Millisecond
)

// Admit reports whether an arriving job can be answered in time behind the
// backlog. Under overload, excess jobs are refused at once so that the admitted
// ones are answered in time.
func Admit(u *Urgency, b Backlog, now time.Duration) bool {
	limit := time.Duration(maxSlackFraction * float64(max(u.Slack(now), 0)))
	return b.Wait() <= min(limit, maxWait)
}
