package cell

import (
	"time"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/sched"
)

// record is a reported start of a task whose job this owner does not know.
type record struct {
	endpoint    string
	incarnation string
	// digest identifies the body of the submission that the task belongs to.
	digest  uint64
	outcome *pb.Outcome
}

// HandleOutcomes handles the task outcomes that an agent reports. Late and
// duplicate outcomes are counted and otherwise ignored.
func (c *Cell) HandleOutcomes(name string, link Link, outcomes []*pb.Outcome, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpoints[name]
	if e == nil || e.link != link {
		return
	}
	for _, o := range outcomes {
		k, ok := taskKeyOf(o.GetTask())
		if !ok || o.GetRunning() {
			continue
		}
		c.counters.OutcomesReceived++
		c.handleOutcome(e, k, o, now)
	}
	c.dispatch(now)
}

func taskKeyOf(r *pb.TaskRef) (taskKey, bool) {
	if len(r.GetSubmission()) != len(sched.Key{}) {
		return taskKey{}, false
	}
	return taskKey{sched.Key(r.GetSubmission()), r.GetIndex()}, true
}

func (c *Cell) handleOutcome(e *endpoint, k taskKey, o *pb.Outcome, now time.Time) {
	if _, ok := e.outstanding[k]; !ok {
		c.counters.DuplicateOutcomes++
		return
	}
	delete(e.outstanding, k)
	code := result.Code(o.GetCode())
	if code.NotRun() {
		c.handleNotStarted(e, k, code, now)
		return
	}
	c.sched.TaskEnded(now, k.job, int(k.index), e.name, sched.Completion{Code: code, RunTime: time.Duration(o.GetRunNs())})
	if r := c.records[k.job][k.index]; r != nil {
		r.outcome = o
		return
	}
	j := c.active[k.job]
	if j == nil || int(k.index) >= len(j.tasks) || j.tasks[k.index].state != running {
		return
	}
	c.endTask(j, int(k.index), o)
	if code != result.OK {
		c.stopJob(j, code, o.GetDetail(), now)
	}
	c.finishIfDone(j, now)
}

// handleNotStarted returns a task that provably did not start to the queue, or
// fails its job if the retry budget allows no further attempt.
func (c *Cell) handleNotStarted(e *endpoint, k taskKey, code result.Code, now time.Time) {
	c.counters.RefusalsReceived++
	c.deleteRecord(e, k)
	retry := c.sched.TaskNotStarted(now, k.job, int(k.index), e.name, code)
	j := c.active[k.job]
	if j == nil || int(k.index) >= len(j.tasks) || j.tasks[k.index].state != running {
		return
	}
	if retry && j.stopCode == result.OK {
		j.tasks[k.index].state = waiting
		j.running--
		j.waiting++
		return
	}
	c.endTask(j, int(k.index), &pb.Outcome{Code: uint32(code)})
	c.stopJob(j, code, "", now)
	c.finishIfDone(j, now)
}

// deleteRecord removes the record of a task that was running when its agent
// sent the record, but that did not start after all, as the agent reports now.
func (c *Cell) deleteRecord(e *endpoint, k taskKey) {
	byIndex := c.records[k.job]
	r := byIndex[k.index]
	if r == nil || r.incarnation != e.incarnation {
		return
	}
	delete(byIndex, k.index)
	if len(byIndex) == 0 {
		delete(c.records, k.job)
	}
}

// anyMayHaveStarted reports whether any task may have started.
func (j *job) anyMayHaveStarted() bool {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == running || (t.state == ended && !result.Code(t.outcome.GetCode()).NotRun()) {
			return true
		}
	}
	return false
}

// anyKnownStarted reports whether an agent has reported the start of any task.
func (j *job) anyKnownStarted() bool {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != ended {
			continue
		}
		code := result.Code(t.outcome.GetCode())
		if !code.NotRun() && code != result.OutcomeUnknown {
			return true
		}
	}
	return false
}

// reconcileRecords compares an agent's records with the tasks that were sent to
// it. A sent task without a record never arrived, because the previous stream
// ended before the agent made the list of records.
func (c *Cell) reconcileRecords(e *endpoint, records []*pb.Outcome, now time.Time) {
	seen := make(map[taskKey]struct{}, len(records))
	for _, o := range records {
		k, ok := taskKeyOf(o.GetTask())
		if !ok {
			continue
		}
		seen[k] = struct{}{}
		c.reconcileRecord(e, k, o, now)
	}
	for _, k := range e.sortedOutstanding() {
		if _, ok := seen[k]; !ok {
			delete(e.outstanding, k)
			c.handleNotStarted(e, k, result.StaleStamp, now)
		}
	}
}

func (c *Cell) reconcileRecord(e *endpoint, k taskKey, o *pb.Outcome, now time.Time) {
	if _, sent := e.outstanding[k]; sent {
		if !o.GetRunning() {
			c.handleOutcome(e, k, o, now)
		}
		return
	}
	if j := c.jobs[k.job]; j != nil {
		c.assertNotWaiting(j, k)
		return
	}
	byIndex := c.records[k.job]
	if byIndex == nil {
		byIndex = map[uint32]*record{}
		c.records[k.job] = byIndex
	}
	byIndex[k.index] = &record{endpoint: e.name, incarnation: e.incarnation, digest: o.GetDigest(), outcome: o}
	if o.GetRunning() {
		e.outstanding[k] = struct{}{}
		c.sched.RestoreRunningTask(k.job, int(k.index), e.name, "")
	}
}

// recordsMatch reports whether the starts that agents reported for this ID
// belong to this submission and not to another one with the same ID.
func (c *Cell) recordsMatch(key sched.Key, s *pb.Submission) bool {
	for index, r := range c.records[key] {
		if int(index) >= len(s.GetTasks()) || r.digest != s.GetDigest() {
			return false
		}
	}
	return true
}

// applyRecords applies the starts that agents reported to a resubmitted job,
// and reports whether there were any.
func (c *Cell) applyRecords(j *job) bool {
	byIndex := c.records[j.key]
	delete(c.records, j.key)
	for index, r := range byIndex {
		t := &j.tasks[index]
		t.endpoint = r.endpoint
		t.incarnation = r.incarnation
		t.state = running
		j.waiting--
		j.running++
		if !r.outcome.GetRunning() {
			c.endTask(j, int(index), r.outcome)
		}
	}
	return len(byIndex) > 0
}

// stopIfRecordFailed stops a job if one of its records holds a failure.
func (c *Cell) stopIfRecordFailed(j *job, now time.Time) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != ended || t.outcome.GetCode() == uint32(result.OK) {
			continue
		}
		c.stopJob(j, result.Code(t.outcome.GetCode()), t.outcome.GetDetail(), now)
		return
	}
}

// assertNotWaiting counts an invariant failure if a task that an agent has
// started is still waiting here, because it would be started again.
func (c *Cell) assertNotWaiting(j *job, k taskKey) {
	if !j.isEnded && int(k.index) < len(j.tasks) && j.tasks[k.index].state == waiting {
		c.counters.InvariantFailures++
	}
}
