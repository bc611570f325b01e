package cell

import (
	"slices"
	"time"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/sched"
)

// recordSweepInterval is the time between two searches for expired records.
const recordSweepInterval = 10 * time.Second

type taskState int

const (
	waiting taskState = iota
	running
	ended
)

type taskKey struct {
	job   sched.Key
	index uint32
}

type task struct {
	state       taskState
	endpoint    string
	incarnation string
	payload     []byte
	idempotent  bool
	outcome     *pb.Outcome
}

// job is the owner's state of one submission.
type job struct {
	key        sched.Key
	team       string
	digest     uint64
	admittedAt time.Time
	deadline   time.Time
	tasks      []task
	waiting    int
	running    int
	// succeeded counts the tasks that ended with OK.
	succeeded int
	// stopCode is the code that the job was stopped with, or OK if it was not.
	stopCode result.Code
	detail   string
	repliers []ReplyFunc
	// answer is the encoded answer. It is nil until the job has ended, and
	// again once the answer is evicted.
	answer  []byte
	isEnded bool
	endedAt time.Time
	// code is the code of the answer. It is set when the job ends.
	code result.Code
	// taskCount is kept because tasks is freed when the job ends.
	taskCount int
}

func newJob(key sched.Key, s *pb.Submission, now time.Time) *job {
	j := &job{
		key:        key,
		team:       s.GetTeam(),
		digest:     s.GetDigest(),
		admittedAt: now,
		deadline:   now.Add(time.Duration(s.GetTimeoutNs())),
		tasks:      make([]task, len(s.GetTasks())),
		taskCount:  len(s.GetTasks()),
		waiting:    len(s.GetTasks()),
	}
	for i, t := range s.GetTasks() {
		j.tasks[i].payload = t.GetPayload()
		j.tasks[i].idempotent = t.GetIdempotent()
	}
	return j
}

// schedulerJob describes the job and its waiting tasks to the scheduler.
func (j *job) schedulerJob(declared []time.Duration) sched.Job {
	s := sched.Job{Key: j.key, Team: j.team, Deadline: j.deadline, DeclaredRunTimes: declared}
	if len(declared) > 0 {
		s.DeclaredRunTime = slices.Max(declared)
	}
	for i := range j.tasks {
		if j.tasks[i].state == waiting {
			s.Waiting = append(s.Waiting, i)
		}
	}
	return s
}

// stopJob ends a job early. Waiting tasks are cancelled; running tasks are
// awaited.
func (c *Cell) stopJob(j *job, code result.Code, detail string, now time.Time) {
	if j.stopCode != result.OK || j.isEnded {
		return
	}
	j.stopCode = code
	j.detail = detail
	c.sched.RemoveJob(now, j.key)
	for i := range j.tasks {
		if j.tasks[i].state == waiting {
			c.endTask(j, i, &pb.Outcome{Code: uint32(result.Cancelled), Detail: "never started"})
		}
	}
}

// cancelRunning asks the agents to cancel the job's running tasks.
func (c *Cell) cancelRunning(j *job) {
	for i := range j.tasks {
		t := &j.tasks[i]
		e := c.endpoints[t.endpoint]
		if t.state != running || e == nil || e.link == nil || e.incarnation != t.incarnation {
			continue
		}
		c.counters.CancelsSent++
		e.link.Cancel(&pb.TaskRef{Submission: j.key[:], Index: uint32(i)})
	}
}

// endTask records the outcome of a waiting or running task.
func (c *Cell) endTask(j *job, index int, o *pb.Outcome) {
	t := &j.tasks[index]
	switch t.state {
	case waiting:
		j.waiting--
	case running:
		j.running--
	case ended:
		c.counters.InvariantFailures++
		return
	}
	t.state = ended
	t.outcome = o
	if o.GetCode() == uint32(result.OK) {
		j.succeeded++
	}
	t.payload = nil
	o.Task = &pb.TaskRef{Submission: j.key[:], Index: uint32(index)}
}

// finishIfDone ends the job and sends its answer once no task is waiting or
// running.
func (c *Cell) finishIfDone(j *job, now time.Time) {
	if j.isEnded || j.running > 0 || j.waiting > 0 {
		return
	}
	a := c.newAnswer(j.key[:], c.finalCode(j), j.detail)
	for i := range j.tasks {
		a.Outcomes = append(a.Outcomes, j.tasks[i].outcome)
	}
	j.answer = c.encodeAnswer(a)
	j.tasks = nil
	j.code = result.Code(a.Code)
	j.isEnded = true
	j.endedAt = now
	delete(c.active, j.key)
	c.ended = append(c.ended, j)
	c.heldAnswers = append(c.heldAnswers, j)
	c.heldAnswerBytes += int64(len(j.answer))
	c.countEnd(j.code)
	c.reply(j, a)
}

func (c *Cell) countEnd(code result.Code) {
	if code == result.OK {
		c.counters.JobsDone++
		return
	}
	c.counters.JobsFailed++
	if code == result.OutcomeUnknown {
		c.counters.OutcomeUnknown++
	}
}

// finalCode returns the code of the job's answer. It never says "not run" if a
// task may have started, and never claims a start that no agent has reported.
func (c *Cell) finalCode(j *job) result.Code {
	if !j.stopCode.NotRun() || !j.anyMayHaveStarted() {
		return j.stopCode
	}
	if !j.anyKnownStarted() {
		return result.OutcomeUnknown
	}
	switch j.stopCode {
	case result.DeadlinePassed:
		return result.DeadlineAfterStart
	case result.Cancelled:
		return result.CancelledAfterStart
	}
	return result.TaskFailed
}

// enforceDeadlines stops the jobs whose deadline has passed. If an agent has
// still not answered LostAfter later, the outcomes of its tasks count as
// unknown.
func (c *Cell) enforceDeadlines(now time.Time) {
	for _, j := range c.sortedActiveJobs(func(j *job) bool { return !now.Before(j.deadline) }) {
		c.stopJob(j, result.DeadlinePassed, "", now)
		if now.After(j.deadline.Add(c.cfg.LostAfter)) {
			c.markRunningUnknown(j)
		}
		c.finishIfDone(j, now)
	}
}

func (c *Cell) markRunningUnknown(j *job) {
	for i := range j.tasks {
		if j.tasks[i].state == running {
			c.endTask(j, i, &pb.Outcome{Code: uint32(result.OutcomeUnknown), Detail: "no answer from the agent"})
		}
	}
}

// expireRetained drops the answers, job IDs, record gaps and records whose
// retention has passed.
func (c *Cell) expireRetained(now time.Time) {
	c.evictAnswers(now)
	n := 0
	for n < len(c.ended) && now.Sub(c.ended[n].endedAt) >= c.idRetentionWithSkew() {
		delete(c.jobs, c.ended[n].key)
		n++
	}
	c.ended = c.ended[n:]
	c.expireRecordGaps(now)
	c.expireRecords(now)
}

// expireRecords drops the records of IDs that are too old to be submitted.
func (c *Cell) expireRecords(now time.Time) {
	if now.Sub(c.recordsSweptAt) < recordSweepInterval {
		return
	}
	c.recordsSweptAt = now
	for key := range c.records {
		if now.Sub(idTime(key)) > c.idRetentionWithSkew() {
			delete(c.records, key)
		}
	}
}

// idRetentionWithSkew is how long a job must be remembered after its end so
// that any later resubmission is refused by the time in its ID alone.
func (c *Cell) idRetentionWithSkew() time.Duration { return c.cfg.IDRetention + 2*c.cfg.ClockSkew }

func (j *job) state() string {
	switch {
	case j.isEnded && j.code == result.OK:
		return "done"
	case j.isEnded && (j.code == result.Cancelled || j.code == result.CancelledAfterStart):
		return "cancelled"
	case j.isEnded:
		return "failed"
	case j.running > 0:
		return "running"
	}
	return "waiting"
}
