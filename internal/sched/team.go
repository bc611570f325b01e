package sched

import (
	"cmp"
	"slices"
	"time"
)

// team is the scheduling state of one team.
type team struct {
	Team
	// configured is false for a team that has no quota. Jobs that it had
	// before, or that a takeover restored, still run.
	configured bool
	// readyJobs holds the jobs with waiting tasks that may start.
	readyJobs indexedHeap[*job, byRank]
	// activeIndex is the index in Scheduler.activeTeams while readyJobs is not
	// empty.
	activeIndex int
	running     int
	waiting     int
	// runningPerWeight is the number of running tasks over the weight.
	runningPerWeight float64
	// jobs is the number of jobs that the Scheduler holds for the team.
	jobs int
	// queuedWork is the expected total run time of the waiting tasks.
	queuedWork  time.Duration
	runTimes    runTimes
	failureRate movingRate
	// hasLongTasks is set until the team's tasks are known to be short.
	hasLongTasks bool
	// recount is used by CheckInvariants only.
	recount recount
}

// weight returns the team's weight, at least 1.
func (t *team) weight() int { return max(t.Weight, 1) }

// updateRunningPerWeight must be called after a change of running or of the
// weight.
func (t *team) updateRunningPerWeight() {
	t.runningPerWeight = float64(t.running) / float64(t.weight())
}

// allowsDomain reports whether the team may use a failure domain.
func (t *team) allowsDomain(domain string) bool {
	return len(t.Domains) == 0 || slices.Contains(t.Domains, domain)
}

// atRunningLimit reports whether the team already runs as many tasks as it may.
func (t *team) atRunningLimit() bool { return t.MaxRunning > 0 && t.running >= t.MaxRunning }

// before reports whether t goes before u. below and uBelow say whether each
// runs less than its share.
func (t *team) before(below bool, u *team, uBelow bool) bool {
	if below != uBelow {
		return below
	}
	return t.readyJobs[0].before(u.readyJobs[0])
}

// job is a job with waiting or running tasks.
type job struct {
	key             Key
	team            *team
	seq             uint64
	deadline        time.Time
	declaredRunTime time.Duration
	// arrival is when the job was queued, relative to Scheduler.startTime.
	arrival time.Duration
	// expectedRunTime is the run time of one task as expected when the job was
	// queued.
	expectedRunTime time.Duration
	// rank orders the jobs of a team; the lowest goes first.
	rank    time.Duration
	waiting []int
	running []runningTask
	// readyIndex and deadlineIndex are the indexes in the team's and the
	// Scheduler's heap, expiredIndex that in the list of expired jobs; or -1.
	readyIndex    int
	deadlineIndex int
	expiredIndex  int
	// expired is set once the deadline has passed; TakeExpired returns such a
	// job once.
	expired bool
	// removed is set by RemoveJob; the job is kept until its running tasks
	// end.
	removed bool
}

// runningTask is a task that occupies a slot.
type runningTask struct {
	index    int
	endpoint *endpoint
}

// findRunning returns the index of a running task, or -1.
func (j *job) findRunning(index int, endpoint string) int {
	for i := range j.running {
		if j.running[i].index == index && j.running[i].endpoint.Name == endpoint {
			return i
		}
	}
	return -1
}

// removeRunning removes the running task at index i.
func (j *job) removeRunning(i int) {
	last := len(j.running) - 1
	j.running[i] = j.running[last]
	j.running = j.running[:last]
}

// sortByDeclared sorts the tasks by declared run time, longest first.
func sortByDeclared(waiting []int, declared []time.Duration) {
	if len(declared) == 0 {
		return
	}
	runTime := func(index int) time.Duration {
		if index < len(declared) {
			return declared[index]
		}
		return 0
	}
	slices.SortStableFunc(waiting, func(a, b int) int { return cmp.Compare(runTime(b), runTime(a)) })
}

// remainingWork returns the expected total run time of the tasks that have not
// ended.
func (j *job) remainingWork() time.Duration {
	return time.Duration(len(j.waiting)+len(j.running)) * j.expectedRunTime
}

// before reports whether j goes before k, by rank and then by age.
func (j *job) before(k *job) bool {
	if j.rank != k.rank {
		return j.rank < k.rank
	}
	return j.seq < k.seq
}

// byRank orders jobs by rank, then by age.
type byRank struct{}

func (byRank) before(a, b *job) bool { return a.before(b) }
func (byRank) index(j *job) *int     { return &j.readyIndex }

// byDeadline orders jobs by deadline.
type byDeadline struct{}

func (byDeadline) before(a, b *job) bool { return a.deadline.Before(b.deadline) }
func (byDeadline) index(j *job) *int     { return &j.deadlineIndex }
