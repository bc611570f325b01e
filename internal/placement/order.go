package placement

import (
	"cmp"
	"time"
)

// maxLatenessFactor times the objective is the age from which an answer is worth
// nothing to the caller.
const maxLatenessFactor = 3

// Urgency is what orders jobs.
type Urgency struct {
	// ArrivedAt is when the job came, Objective how soon it should be answered.
	ArrivedAt time.Duration
	Objective time.Duration
	// RemainingWork is the time that the longest chain of its open tasks takes.
	RemainingWork time.Duration
	// Started is set once a task of the job has been placed.
	Started bool
}

// Slack is how long the job can still wait and meet its objective.
func (u *Urgency) Slack(now time.Duration) time.Duration {
	return u.ArrivedAt + u.Objective - now - u.RemainingWork
}

// Expired tells whether not even a late answer can be given any more.
func (u *Urgency) Expired(now time.Duration) bool {
	return now+u.RemainingWork > u.ArrivedAt+maxLatenessFactor*u.Objective
}

// Classes of jobs, the most urgent first. Under overload the work that has
// begun is finished before more is begun, and nothing is spent on late
// answers while another job can still be answered in time.
const (
	classStarted = iota
	classUnstarted
	classLateStarted
	classLateUnstarted
)

func (u *Urgency) class(now time.Duration) int {
	late := u.Slack(now) < 0
	switch {
	case u.Started && !late:
		return classStarted
	case !late:
		return classUnstarted
	case u.Started:
		return classLateStarted
	}
	return classLateUnstarted
}

// LateUnstarted tells whether the job can't meet its objective and has not begun.
func (u *Urgency) LateUnstarted(now time.Duration) bool { return u.class(now) == classLateUnstarted }

// Compare orders jobs for the next free room: by class, and in it the job
// with the least slack ahead.
func Compare(a, b *Urgency, now time.Duration) int {
	return cmp.Or(
		cmp.Compare(a.class(now), b.class(now)),
		cmp.Compare(a.Slack(now), b.Slack(now)),
	)
}

// Backlog is what waits for room, and how fast room becomes free.
type Backlog struct {
	// QueuedMilliCPU is what the waiting tasks need, in thousandths of a core.
	QueuedMilliCPU int64
	// CapacityMilliCPU is what all endpoints have, in thousandths of a core at speed 1.
	CapacityMilliCPU int64
	// MeanTaskDuration is the mean duration of tasks. How long the waiting tasks
	// themselves take doesn't matter: they only have to begin.
	MeanTaskDuration time.Duration
}

// Wait is how long it takes until what waits has begun.
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
	// maxSlackFraction is the share of a job's slack that the backlog may take up.
	maxSlackFraction = 0.6
	// maxWait is the longest backlog in front of any job: with a longer one
	// the jobs with little slack would bear all of the overload.
	maxWait = 55 * time.Millisecond
)

// Admit tells whether a job that has just come can still be answered in time
// behind the backlog. Under overload this turns the excess away at once; those
// that are let in are answered in time.
func Admit(u *Urgency, b Backlog, now time.Duration) bool {
	limit := time.Duration(maxSlackFraction * float64(max(u.Slack(now), 0)))
	return b.Wait() <= min(limit, maxWait)
}
