package model

import (
	"fmt"
	"time"

	"github.com/pomelosill/pomelosill/internal/control"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
)

// maxStartAfterOutOfService bounds how long after an accepted end of service a
// start may happen: the freshness limit, plus two steps and the drift of the
// clocks within the limit.
const maxStartAfterOutOfService = freshness + 2*stepInterval + time.Duration(4*maxClockDrift*float64(freshness))

// History is what endpoints recorded and callers were answered.
type History struct {
	Starts   []Start
	Attempts []Attempt
}

// Start is one start on an endpoint.
type Start struct {
	Submission string
	Task       int
	Endpoint   string
	Domain     string
	At         time.Time
}

// Attempt is one submission of a job. Answered is zero without an answer. For
// an answer that says "not run" it is when the owner decided, because another
// attempt with the same ID may be admitted while the answer is on its way.
type Attempt struct {
	ID       string
	Echoes   []string
	Sent     time.Time
	Answered time.Time
	Answer   []byte
}

// checker records the history and checks the invariants after each step.
type checker struct {
	sim        *Simulation
	history    History
	violations []string
	stats      Stats
	// startedOn holds the agent incarnation on which each task started.
	startedOn map[string]string
	// refusedAt holds when an owner decided on an answer that says "not run".
	refusedAt map[*pb.Answer]time.Time
	// outOfServiceSince holds when the end of a domain's service was accepted.
	outOfServiceSince map[string]time.Duration
	// revisions holds the highest revision that each process has applied.
	revisions map[string]uint64
	// generations holds the last generation under which each agent started a
	// task.
	generations map[string]uint64
}

func newChecker(sim *Simulation) *checker {
	return &checker{
		sim:               sim,
		startedOn:         map[string]string{},
		refusedAt:         map[*pb.Answer]time.Time{},
		outOfServiceSince: map[string]time.Duration{},
		revisions:         map[string]uint64{},
		generations:       map[string]uint64{},
	}
}

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%v: ", c.sim.elapsed)+fmt.Sprintf(format, args...))
}

func (c *checker) report() Report {
	c.stats.Starts = len(c.history.Starts)
	return Report{History: c.history, Violations: c.violations, Stats: c.stats}
}

// taskStarted is called when a task starts on an endpoint.
func (c *checker) taskStarted(a *agent, t *runningTask) {
	task := fmt.Sprintf("%s/%d", t.start.Task.Submission, t.start.Task.Index)
	if previous, ok := c.startedOn[task]; ok {
		c.addViolation("%s started at %s and again at %s", task, previous, a.incarnation)
	}
	c.startedOn[task] = a.incarnation
	if since, out := c.outOfServiceSince[a.domain]; out && c.sim.elapsed-since > maxStartAfterOutOfService {
		c.addViolation("%s started in %s %v after its end of service was accepted", task, a.domain, c.sim.elapsed-since)
	}
	if t.start.Generation < c.generations[a.incarnation] {
		c.addViolation("%s started under generation %d after generation %d", task, t.start.Generation, c.generations[a.incarnation])
	}
	c.generations[a.incarnation] = t.start.Generation
	if t.start.Generation < a.generation {
		c.addViolation("%s started under generation %d although the agent had accepted the fence of generation %d", task, t.start.Generation, a.generation)
	}
	c.history.Starts = append(c.history.Starts, Start{
		Submission: t.start.Task.Submission.String(),
		Task:       int(t.start.Task.Index),
		Endpoint:   a.name,
		Domain:     a.domain,
		At:         c.sim.eventTime(),
	})
}

// documentWritten is called on each write of the control document.
func (c *checker) documentWritten(old, next *control.Document) {
	if old != nil && next.Revision != old.Revision+1 {
		c.addViolation("the store went from revision %d to %d", old.Revision, next.Revision)
	}
	for i := range 3 {
		if name := domainName(i); next.Config.InService("", name) {
			delete(c.outOfServiceSince, name)
		}
	}
}

// domainOutAccepted is called when an operator is told that a domain's end of
// service was accepted.
func (c *checker) domainOutAccepted(domain string) {
	if c.sim.store.document.Config.InService("", domain) {
		return
	}
	if _, ok := c.outOfServiceSince[domain]; !ok {
		c.outOfServiceSince[domain] = c.sim.elapsed
		c.stats.DomainsOut++
	}
}

// notRunDecided is called when an owner decides on an answer that says "not
// run".
func (c *checker) notRunDecided(a *pb.Answer) { c.refusedAt[a] = c.sim.eventTime() }

func (c *checker) attemptSubmitted(j *job) int {
	c.history.Attempts = append(c.history.Attempts, Attempt{ID: j.id.String(), Echoes: j.payloads, Sent: c.sim.eventTime()})
	return len(c.history.Attempts) - 1
}

func (c *checker) attemptAnswered(attempt int, a *pb.Answer) {
	at := &c.history.Attempts[attempt]
	at.Answered = c.sim.eventTime()
	if decided, ok := c.refusedAt[a]; ok {
		at.Answered = decided
	}
	at.Answer = encodeAnswer(a)
	c.stats.Answers++
	switch code := result.Code(a.GetCode()); {
	case code == result.OK:
		c.stats.Done++
	case code == result.OutcomeUnknown:
		c.stats.Unknown++
	case code.NotRun():
		c.stats.NotRun++
	}
}

// checkInvariants checks the conditions that must hold after each step.
func (c *checker) checkInvariants() {
	for _, e := range c.sim.entries {
		if e.down || e.document == nil {
			continue
		}
		c.checkMonotonic(e.id, e.document.Revision)
		for _, n := range e.cellNumbers() {
			c.checkCell(e, e.cells[n])
		}
	}
	for _, a := range c.sim.agents {
		if !a.down {
			c.checkMonotonic(a.incarnation, a.gate.State(a.monotonic()).ControlRevision)
		}
	}
}

func (c *checker) checkMonotonic(process string, revision uint64) {
	if revision < c.revisions[process] {
		c.addViolation("%s went from revision %d back to %d", process, c.revisions[process], revision)
	}
	c.revisions[process] = revision
}

func (c *checker) checkCell(e *entry, oc *ownedCell) {
	if oc == nil {
		return
	}
	s := oc.cell.State()
	if s.Counters.InvariantFailures > 0 {
		c.addViolation("%s: a check inside cell %d failed %d times: %+v", e.id, s.Number, s.Counters.InvariantFailures, s)
	}
}
