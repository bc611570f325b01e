package cell

import (
	"bytes"
	"fmt"
	"time"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/sched"
)

// Submit takes a submission. The reply gets exactly one answer, now or later.
// An id that is known attaches to its job and starts nothing.
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
		refuse(result.BadSubmissionID, "the id must have 16 bytes")
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

// holdPending keeps a submission until the cell serves; the cell may change it then.
func (c *Cell) holdPending(s *pb.Submission, reply ReplyFunc, now time.Time) {
	if len(c.pending) >= c.cfg.MaxPending {
		reply(c.newAnswer(s.GetId(), result.NoOwner, "too many submissions wait for the takeover"))
		return
	}
	c.pending = append(c.pending, pendingSubmission{submission: s, reply: reply, receivedAt: now})
}

// attachResubmission lets a resubmission wait for, or get, the job's answer.
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

// endedAnswer is the answer to a resubmission of a job that has ended.
func (c *Cell) endedAnswer(j *job) *pb.Answer {
	if a := c.heldAnswer(j); a != nil {
		return a
	}
	return c.newAnswer(j.key[:], result.AnswerExpired, fmt.Sprintf("the job ended with %s", j.code))
}

// checkUnknownID decides by an unknown id's time whether its job may have
// been started before without a record that reached this owner.
func (c *Cell) checkUnknownID(key sched.Key, now time.Time) (result.Code, string) {
	made := idTime(key)
	if made.Before(now.Add(-c.cfg.IDRetention)) {
		return result.OutcomeUnknown, "the id is older than ids are remembered"
	}
	if !made.After(c.latestRecordGapEnd()) {
		return result.OutcomeUnknown, "records of an earlier owner are missing"
	}
	// An earlier owner's clock may have been ahead of this one's.
	if made.After(now.Add(c.cfg.ClockSkew)) && len(c.records[key]) == 0 {
		return result.IDFromFuture, fmt.Sprintf("the id's time is %s ahead", made.Sub(now).Round(time.Millisecond))
	}
	return result.OK, ""
}

func (c *Cell) admit(key sched.Key, s *pb.Submission, reply ReplyFunc, now time.Time) {
	j := newJob(key, s, now)
	declared := declaredRuns(s)
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

// declaredRuns returns the declared run times by task, or nil when there are
// none.
func declaredRuns(s *pb.Submission) []time.Duration {
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

// Cancel stops a job: what waits never starts, what runs is cancelled at its
// agent. It tells whether the job is known and had not ended.
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

// cancelPending marks the submissions of an id that wait for the cell to
// serve. They are cancelled once it is known what of them was started.
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

// MayHaveStarted tells whether the id is known and not surely without a start.
func (c *Cell) MayHaveStarted(key sched.Key) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[key]
	return j != nil && (!j.isEnded || !j.code.NotRun())
}

// Lookup gives the answer of a job that has ended, or attaches the reply to
// one that has not. It is false for an unknown id.
func (c *Cell) Lookup(key sched.Key) (state string, a *pb.Answer, team string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[key]
	if j == nil {
		return "", nil, ""
	}
	return j.state(), c.heldAnswer(j), j.team
}
