package cell

import (
	"time"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/sched"
)

// record is a start that an agent reported and that no job here knows.
type record struct {
	endpoint    string
	incarnation string
	// digest is that of the submission that the start was of.
	digest  uint64
	outcome *pb.Outcome
}

// HandleOutcomes takes what an agent reports of starts. What comes late or twice is
// counted and changes nothing.
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

// handleNotStarted puts a task back that provably did not start, or fails its job
// when the retry budget does not allow another try.
func (c *Cell) handleNotStarted(e *endpoint, k taskKey, code result.Code, now time.Time) {
	c.counters.RefusalsReceived++
	c.deleteRecord(e, k)
	again := c.sched.TaskNotStarted(now, k.job, int(k.index), e.name, code)
	j := c.active[k.job]
	if j == nil || int(k.index) >= len(j.tasks) || j.tasks[k.index].state != running {
		return
	}
	if again && j.stopCode == result.OK {
		j.tasks[k.index].state = waiting
		j.running--
		j.waiting++
		return
	}
	c.endTask(j, int(k.index), &pb.Outcome{Code: uint32(code)})
	c.stopJob(j, code, "", now)
	c.finishIfDone(j, now)
}

// deleteRecord forgets the record of a task that was running when the record was
// taken and that, as its agent tells now, did not start.
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

// anyMayHaveStarted tells whether a start of any task may have happened.
func (j *job) anyMayHaveStarted() bool {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == running || (t.state == ended && !result.Code(t.outcome.GetCode()).NotRun()) {
			return true
		}
	}
	return false
}

// anyKnownStarted tells whether an agent said that a task started.
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

// reconcileRecords compares an agent's records with what was sent to it. What was
// sent and has no record never arrived: the old stream has ended before the
// records were made.
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
	if _, placed := e.outstanding[k]; placed {
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

// recordsMatch tells whether the starts that agents reported for the id are of
// this very submission.
func (c *Cell) recordsMatch(key sched.Key, s *pb.Submission) bool {
	for index, r := range c.records[key] {
		if int(index) >= len(s.GetTasks()) || r.digest != s.GetDigest() {
			return false
		}
	}
	return true
}

// applyRecords fills a job that was submitted again with the starts that
// agents reported for it, and tells whether there are any.
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

// stopIfRecordFailed stops a job whose records hold a failure.
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

// assertNotWaiting asserts that a start which an agent reports is not about to be
// made again.
func (c *Cell) assertNotWaiting(j *job, k taskKey) {
	if !j.isEnded && int(k.index) < len(j.tasks) && j.tasks[k.index].state == waiting {
		c.counters.InvariantFailures++
	}
}
