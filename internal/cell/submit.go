package cell

import (
	"bytes"
	"fmt"
	"time"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/sched"
)

// Submit accepts a submission. reply is called exactly once, now or later. A
// submission whose ID is known waits for the answer of the existing job and
// starts nothing.
func (c *Cell) Submit(s *pb.Submission, reply ReplyFunc, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.submit(s, reply, now)
	c.dispatch(now)
}

func (c *Cell) submit(s *pb.Submission, reply ReplyFunc, now time.Time) {
	refuse := func(code result.Code, detail string) {
		c.counters.JobsRefused++
		reply(c.newAnswer(s.GetId(), code, detail))
	}
	if len(s.GetId()) != len(sched.Key{}) {
		refuse(result.BadSubmissionID, "the submission ID must have 16 bytes")
		return
	}
	key := sched.Key(s.GetId())
	switch c.phase {
	case closed:
		refuse(result.NotOwner, "")
		return
	case fencing:
		c.holdPending(s, reply, now)
		return
	}
	if j := c.jobs[key]; j != nil {
		c.attachResubmission(j, s, reply)
		return
	}
	if code, detail := c.checkUnknownID(key, now); code != result.OK {
		refuse(code, detail)
		return
	}
	if !c.recordsMatch(key, s) {
		refuse(result.IDConflict, "")
		return
	}
	c.admit(key, s, reply, now)
}

// holdPending keeps a submission until the cell serves. The time that it waits
// is then deducted from its timeout.
func (c *Cell) holdPending(s *pb.Submission, reply ReplyFunc, now time.Time) {
	if len(c.pending) >= c.cfg.MaxPending {
		reply(c.newAnswer(s.GetId(), result.NoOwner, "too many submissions are waiting for the takeover"))
		return
	}
	c.pending = append(c.pending, pendingSubmission{submission: s, reply: reply, receivedAt: now})
}

// attachResubmission replies with the answer of a known job, now or when the
// job has ended.
func (c *Cell) attachResubmission(j *job, s *pb.Submission, reply ReplyFunc) {
	c.counters.Resubmissions++
	switch {
	case j.digest != s.GetDigest():
		reply(c.newAnswer(s.GetId(), result.IDConflict, ""))
	case !j.isEnded:
		j.repliers = append(j.repliers, reply)
	default:
		reply(c.endedAnswer(j))
	}
}

// endedAnswer returns the answer to a resubmission of a job that has ended.
func (c *Cell) endedAnswer(j *job) *pb.Answer {
	if a := c.heldAnswer(j); a != nil {
		return a
	}
	return c.newAnswer(j.key[:], result.AnswerExpired, fmt.Sprintf("the job ended with %s", j.code))
}

// checkUnknownID decides, by the time in an unknown ID, whether its job may
// have been started without this owner having the record. It returns OK if the
// job may be admitted.
func (c *Cell) checkUnknownID(key sched.Key, now time.Time) (result.Code, string) {
	created := idTime(key)
	if created.Before(now.Add(-c.cfg.IDRetention)) {
		return result.OutcomeUnknown, "the ID is older than the ID retention"
	}
	if !created.After(c.latestRecordGapEnd()) {
		return result.OutcomeUnknown, "records of an earlier owner are missing"
	}
	// An earlier owner, whose clock may have been ahead of this one, may have
	// accepted the ID; then there are records of it.
	if created.After(now.Add(c.cfg.ClockSkew)) && len(c.records[key]) == 0 {
		return result.IDFromFuture, fmt.Sprintf("the time in the ID is %s in the future", created.Sub(now).Round(time.Millisecond))
	}
	return result.OK, ""
}

func (c *Cell) admit(key sched.Key, s *pb.Submission, reply ReplyFunc, now time.Time) {
	j := newJob(key, s, now)
	declared := declaredRunTimes(s)
	if c.applyRecords(j) {
		c.sched.RestoreJob(now, j.schedulerJob(declared))
	} else if code := c.sched.Admit(now, j.schedulerJob(declared)); code != result.OK {
		c.counters.JobsRefused++
		reply(c.newAnswer(s.GetId(), code, ""))
		return
	}
	c.counters.JobsAdmitted++
	c.jobs[key] = j
	c.active[key] = j
	j.repliers = append(j.repliers, reply)
	c.stopIfRecordFailed(j, now)
	c.finishIfDone(j, now)
}

// declaredRunTimes returns the declared run times by task index, or nil if there
// are none.
func declaredRunTimes(s *pb.Submission) []time.Duration {
	var runs []time.Duration
	for i, t := range s.GetTasks() {
		if t.GetDeclaredRunNs() <= 0 {
			continue
		}
		if runs == nil {
			runs = make([]time.Duration, len(s.GetTasks()))
		}
		runs[i] = time.Duration(t.GetDeclaredRunNs())
	}
	return runs
}

// Cancel stops a job: its waiting tasks never start, and its running tasks are
// cancelled at their agents. It reports whether the job is known and had not
// ended.
func (c *Cell) Cancel(key sched.Key, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == fencing {
		return c.cancelPending(key)
	}
	known := c.cancel(key, now)
	c.dispatch(now)
	return known
}

func (c *Cell) cancel(key sched.Key, now time.Time) bool {
	j := c.active[key]
	if j == nil {
		return false
	}
	c.stopJob(j, result.Cancelled, "", now)
	c.cancelRunning(j)
	c.finishIfDone(j, now)
	return true
}

// cancelPending marks the pending submissions with this ID as cancelled and
// reports whether there are any. They are cancelled once the cell serves, when
// it is known which of their tasks were started.
func (c *Cell) cancelPending(key sched.Key) bool {
	known := false
	for i := range c.pending {
		p := &c.pending[i]
		if bytes.Equal(p.submission.GetId(), key[:]) {
			p.cancelled = true
			known = true
		}
	}
	return known
}

// MayHaveStarted reports whether the ID is known and a start of its job cannot
// be ruled out.
func (c *Cell) MayHaveStarted(key sched.Key) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[key]
	return j != nil && (!j.isEnded || !j.code.NotRun())
}

// Lookup returns a job's state, its answer if the job has ended and the answer
// is still kept, and its team. All three are zero for an unknown ID.
func (c *Cell) Lookup(key sched.Key) (state string, a *pb.Answer, team string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[key]
	if j == nil {
		return "", nil, ""
	}
	return j.state(), c.heldAnswer(j), j.team
}
