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

// Outcomes takes what an agent reports of starts. What comes late or twice is
// counted and changes nothing.
func (c *Cell) Outcomes(name string, link Link, outcomes []*pb.Outcome, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.endpoints[name]
	if e == nil || e.link != link {
		return
	}
	for _, o := range outcomes {
		k, ok := keyOf(o.GetTask())
		if !ok || o.GetRunning() {
			continue
		}
		c.counters.OutcomesReceived++
		c.outcome(e, k, o, now)
	}
	c.dispatch(now)
}

func keyOf(r *pb.TaskRef) (taskKey, bool) {
	if len(r.GetSubmission()) != len(sched.Key{}) {
		return taskKey{}, false
	}
	return taskKey{sched.Key(r.GetSubmission()), r.GetIndex()}, true
}

func (c *Cell) outcome(e *endpoint, k taskKey, o *pb.Outcome, now time.Time) {
	if _, ok := e.placed[k]; !ok {
		c.counters.DuplicateOutcomes++
		return
	}
	delete(e.placed, k)
	code := result.Code(o.GetCode())
	if code.NotRun() {
		c.notStarted(e, k, code, now)
		return
	}
	c.sched.Ended(now, k.job, int(k.index), e.name, sched.Ending{Code: code, Run: time.Duration(o.GetRunNs())})
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
	c.settle(j, now)
}

// notStarted puts a task back that provably did not start, or fails its job
// when the retry budget does not allow another try.
func (c *Cell) notStarted(e *endpoint, k taskKey, code result.Code, now time.Time) {
	c.counters.RefusalsReceived++
	c.dropRecord(e, k)
	again := c.sched.NotStarted(now, k.job, int(k.index), e.name, code)
	j := c.active[k.job]
	if j == nil || int(k.index) >= len(j.tasks) || j.tasks[k.index].state != running {
		return
	}
	if again && j.stop == result.OK {
		j.tasks[k.index].state = waiting
		j.running--
		j.waiting++
		return
	}
	c.endTask(j, int(k.index), &pb.Outcome{Code: uint32(code)})
	c.stopJob(j, code, "", now)
	c.settle(j, now)
}

// dropRecord forgets the record of a task that was running when the record was
// taken and that, as its agent tells now, did not start.
func (c *Cell) dropRecord(e *endpoint, k taskKey) {
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

// anyStarted tells whether a start of any task may have happened.
func (j *job) anyStarted() bool {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == running || (t.state == ended && !result.Code(t.outcome.GetCode()).NotRun()) {
			return true
		}
	}
	return false
}

// anyKnownStart tells whether an agent said that a task started.
func (j *job) anyKnownStart() bool {
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

// takeRecords compares an agent's records with what was sent to it. What was
// sent and has no record never arrived: the old stream has ended before the
// records were made.
func (c *Cell) takeRecords(e *endpoint, records []*pb.Outcome, now time.Time) {
	seen := make(map[taskKey]struct{}, len(records))
	for _, o := range records {
		k, ok := keyOf(o.GetTask())
		if !ok {
			continue
		}
		seen[k] = struct{}{}
		c.takeRecord(e, k, o, now)
	}
	for _, k := range e.placedInOrder() {
		if _, ok := seen[k]; !ok {
			delete(e.placed, k)
			c.notStarted(e, k, result.StaleStamp, now)
		}
	}
}

func (c *Cell) takeRecord(e *endpoint, k taskKey, o *pb.Outcome, now time.Time) {
	if _, placed := e.placed[k]; placed {
		if !o.GetRunning() {
			c.outcome(e, k, o, now)
		}
		return
	}
	if j := c.jobs[k.job]; j != nil {
		c.checkRecord(j, k)
		return
	}
	byIndex := c.records[k.job]
	if byIndex == nil {
		byIndex = map[uint32]*record{}
		c.records[k.job] = byIndex
	}
	byIndex[k.index] = &record{endpoint: e.name, incarnation: e.incarnation, digest: o.GetDigest(), outcome: o}
	if o.GetRunning() {
		e.placed[k] = struct{}{}
		c.sched.Occupy(k.job, int(k.index), e.name, "")
	}
}

// recordsFit tells whether the starts that agents reported for the id are of
// this very submission.
func (c *Cell) recordsFit(key sched.Key, s *pb.Submission) bool {
	for index, r := range c.records[key] {
		if int(index) >= len(s.GetTasks()) || r.digest != s.GetDigest() {
			return false
		}
	}
	return true
}

// adoptRecords fills a job that was submitted again with the starts that
// agents reported for it, and tells whether there are any.
func (c *Cell) adoptRecords(j *job) bool {
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

// failFromRecords stops a job whose records hold a failure.
func (c *Cell) failFromRecords(j *job, now time.Time) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != ended || t.outcome.GetCode() == uint32(result.OK) {
			continue
		}
		c.stopJob(j, result.Code(t.outcome.GetCode()), t.outcome.GetDetail(), now)
		return
	}
}

// checkRecord asserts that a start which an agent reports is not about to be
// made again.
func (c *Cell) checkRecord(j *job, k taskKey) {
	if !j.isEnded && int(k.index) < len(j.tasks) && j.tasks[k.index].state == waiting {
		c.counters.InvariantFailures++
	}
}
