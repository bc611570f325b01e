package model

import (
	"fmt"
	"time"

	"github.com/pomelosill/pomelosill/internal/control"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
)

// outBound is how long after an accepted end of service a start may happen:
// the freshness limit, with what the clocks may drift in it and one step.
const outBound = freshness + 2*step + time.Duration(4*maxDrift*float64(freshness))

// History is what endpoints recorded and callers were told.
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

// Attempt is one submission of a caller; Answered is zero without an answer.
// For an answer that says "not run" it is when the owner decided: another
// attempt under the same id may be let in while the answer is on its way.
type Attempt struct {
	ID       string
	Echoes   []string
	Sent     time.Time
	Answered time.Time
	Answer   []byte
}

// checks records the history and asserts the invariants after each step.
type checks struct {
	w          *World
	history    History
	violations []string
	stats      Stats
	// seen holds the tasks that have started.
	seen map[string]string
	// refusedAt is when an owner decided that something was not run.
	refusedAt map[*pb.Answer]time.Time
	// outSince is when the end of a domain's service was accepted.
	outSince map[string]time.Duration
	// revisions are the highest that each process has applied.
	revisions map[string]uint64
	// generations are the latest under which each agent started a task.
	generations map[string]uint64
}

func newChecks(w *World) *checks {
	return &checks{
		w:           w,
		seen:        map[string]string{},
		refusedAt:   map[*pb.Answer]time.Time{},
		outSince:    map[string]time.Duration{},
		revisions:   map[string]uint64{},
		generations: map[string]uint64{},
	}
}

func (c *checks) broken(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%v: ", c.w.at)+fmt.Sprintf(format, args...))
}

func (c *checks) report() Report {
	c.stats.Starts = len(c.history.Starts)
	return Report{History: c.history, Violations: c.violations, Stats: c.stats}
}

// started is called at the moment at which a task starts on an endpoint.
func (c *checks) started(a *agent, t *runningTask) {
	task := fmt.Sprintf("%s/%d", t.start.Task.Submission, t.start.Task.Index)
	if where, ok := c.seen[task]; ok {
		c.broken("%s started at %s and again at %s", task, where, a.incarnation)
	}
	c.seen[task] = a.incarnation
	if since, out := c.outSince[a.domain]; out && c.w.at-since > outBound {
		c.broken("%s started in %s %v after its end of service was accepted", task, a.domain, c.w.at-since)
	}
	if t.start.Generation < c.generations[a.incarnation] {
		c.broken("%s started under generation %d after %d", task, t.start.Generation, c.generations[a.incarnation])
	}
	c.generations[a.incarnation] = t.start.Generation
	if t.start.Generation < a.generation {
		c.broken("%s started under generation %d though %d has fenced", task, t.start.Generation, a.generation)
	}
	c.history.Starts = append(c.history.Starts, Start{
		Submission: t.start.Task.Submission.String(),
		Task:       int(t.start.Task.Index),
		Endpoint:   a.name,
		Domain:     a.domain,
		At:         c.w.stamp(),
	})
}

// documentWritten sees each write of the control document.
func (c *checks) documentWritten(old, next *control.Document) {
	if old != nil && next.Revision != old.Revision+1 {
		c.broken("the store went from revision %d to %d", old.Revision, next.Revision)
	}
	for i := range 3 {
		if name := domainOf(i); next.Config.InService("", name) {
			delete(c.outSince, name)
		}
	}
}

// domainOutAccepted is called when an operator is told that the domain's end
// of service was accepted.
func (c *checks) domainOutAccepted(domain string) {
	if c.w.store.doc.Config.InService("", domain) {
		return
	}
	if _, ok := c.outSince[domain]; !ok {
		c.outSince[domain] = c.w.at
		c.stats.DomainsOut++
	}
}

// refused is called when an owner decides on an answer that says "not run".
func (c *checks) refused(a *pb.Answer) { c.refusedAt[a] = c.w.stamp() }

func (c *checks) submitted(j *job) int {
	c.history.Attempts = append(c.history.Attempts, Attempt{ID: j.id.String(), Echoes: j.payloads, Sent: c.w.stamp()})
	return len(c.history.Attempts) - 1
}

func (c *checks) answered(attempt int, a *pb.Answer) {
	at := &c.history.Attempts[attempt]
	at.Answered = c.w.stamp()
	if decided, ok := c.refusedAt[a]; ok {
		at.Answered = decided
	}
	at.Answer = encode(a)
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

// turn checks what must hold after each step.
func (c *checks) turn() {
	for _, e := range c.w.entries {
		if e.dead || e.doc == nil {
			continue
		}
		c.rises(e.id, e.doc.Revision)
		for _, n := range e.numbers() {
			c.checkCell(e, e.cells[n])
		}
	}
	for _, a := range c.w.agents {
		if !a.dead {
			c.rises(a.incarnation, a.gate.State(a.mono()).ControlRevision)
		}
	}
}

func (c *checks) rises(process string, revision uint64) {
	if revision < c.revisions[process] {
		c.broken("%s went from revision %d back to %d", process, c.revisions[process], revision)
	}
	c.revisions[process] = revision
}

func (c *checks) checkCell(e *entry, oc *ownedCell) {
	if oc == nil {
		return
	}
	s := oc.cell.State()
	if s.Counters.InvariantFailures > 0 {
		c.broken("%s: a check inside cell %d failed %d times: %+v", e.id, s.Number, s.Counters.InvariantFailures, s)
	}
}
