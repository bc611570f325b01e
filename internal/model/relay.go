package model

import (
	"slices"
	"time"

	"github.com/pomelosill/pomelosill/internal/control"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/sched"
)

const (
	// answerRetention is how long after its deadline a submission is kept.
	answerRetention = 10 * time.Second
	// relayTimeout is the time without an answer after which a submission is
	// sent again, as after a broken stream.
	relayTimeout = 4 * time.Second
	// confirmTimeout bounds how long an answer that says "not run" waits for
	// its confirmation.
	confirmTimeout = 2 * freshness
)

// relay holds the submissions that callers made at an entry.
type relay struct {
	entry       *entry
	submissions []*relayedSubmission
}

type relayedSubmission struct {
	submission *pb.Submission
	key        sched.Key
	deadline   time.Time
	owner      string
	generation uint64
	sentAt     time.Time
	// sendCount counts how often the submission was sent.
	sendCount int
	waiters   []func(*pb.Answer)
}

func newRelay(e *entry) *relay { return &relay{entry: e} }

func (r *relay) find(key sched.Key) *relayedSubmission {
	for _, rs := range r.submissions {
		if rs.key == key {
			return rs
		}
	}
	return nil
}

func (r *relay) remove(rs *relayedSubmission) {
	r.submissions = slices.DeleteFunc(r.submissions, func(o *relayedSubmission) bool { return o == rs })
}

// submit accepts a caller's submission.
func (r *relay) submit(s *pb.Submission, reply func(*pb.Answer)) {
	key := sched.Key(s.GetId())
	if rs := r.find(key); rs != nil {
		rs.waiters = append(rs.waiters, reply)
		return
	}
	r.submissions = append(r.submissions, &relayedSubmission{
		submission: s,
		key:        key,
		deadline:   r.entry.now().Add(time.Duration(s.GetTimeoutNs())),
		waiters:    []func(*pb.Answer){reply},
	})
}

// step sends submissions that have no owner, and expires those that nobody has
// answered in time.
func (r *relay) step(now time.Time) {
	for _, rs := range slices.Clone(r.submissions) {
		n := control.CellOfSubmission(rs.key, len(r.entry.document.Cells))
		c := r.entry.document.Cells[n]
		if rs.owner != c.Owner || rs.generation != c.Generation || now.Sub(rs.sentAt) > relayTimeout {
			rs.owner = ""
		}
		if now.After(rs.deadline.Add(answerRetention)) {
			r.expire(rs)
			continue
		}
		if rs.owner == "" && c.Owner != "" {
			r.send(rs, n, c, now)
		}
	}
}

func (r *relay) expire(rs *relayedSubmission) {
	code := result.NoOwner
	if rs.sendCount > 0 {
		code = result.OutcomeUnknown
	}
	r.finish(rs, &pb.Answer{Id: rs.key[:], Code: uint32(code)})
}

func (r *relay) finish(rs *relayedSubmission, a *pb.Answer) {
	r.remove(rs)
	for _, reply := range rs.waiters {
		reply(a)
	}
}

func (r *relay) send(rs *relayedSubmission, n int, c control.Cell, now time.Time) {
	m, ok := r.entry.document.Member(c.Owner)
	if !ok {
		return
	}
	s := &pb.Submission{
		Id:        rs.submission.GetId(),
		Team:      rs.submission.GetTeam(),
		Tasks:     rs.submission.GetTasks(),
		Digest:    rs.submission.GetDigest(),
		Cell:      uint32(n),
		TimeoutNs: int64(rs.deadline.Sub(now)),
	}
	rs.owner, rs.generation, rs.sentAt = c.Owner, c.Generation, now
	rs.sendCount++
	sendNumber := rs.sendCount
	from, to := r.entry, r.entry.sim.entryByAddress(m.Address)
	r.entry.sim.send(&from.process, &to.process, func() {
		if to.id != c.Owner {
			return
		}
		to.submitLocal(s, func(a *pb.Answer) {
			r.entry.sim.send(&to.process, &from.process, func() { r.applyAnswer(rs.key, sendNumber, a) })
		})
	})
}

// applyAnswer handles an owner's answer as the product's relay does: from an
// older stream or a former owner only a complete answer counts.
func (r *relay) applyAnswer(key sched.Key, sendNumber int, a *pb.Answer) {
	rs := r.find(key)
	if rs == nil {
		return
	}
	current := rs.owner != "" && rs.sendCount == sendNumber
	code := result.Code(a.GetCode())
	if code == result.NotOwner {
		if current {
			rs.owner = ""
		}
		return
	}
	if !current && code != result.OK {
		return
	}
	r.finish(rs, a)
}

// submitLocal passes a submission to the local cell.
func (e *entry) submitLocal(s *pb.Submission, reply func(*pb.Answer)) {
	oc := e.cells[s.GetCell()]
	if oc == nil {
		reply(&pb.Answer{Id: s.GetId(), Code: uint32(result.NotOwner)})
		return
	}
	oc.cell.Submit(s, func(a *pb.Answer) { e.sendOrHold(a, reply) }, e.now())
}

// heldAnswer is an answer that is held until the ownership has been confirmed
// after the decision.
type heldAnswer struct {
	answer    *pb.Answer
	decidedAt time.Time
	reply     func(*pb.Answer)
}

func (e *entry) sendOrHold(a *pb.Answer, reply func(*pb.Answer)) {
	if !claimsNotRun(a) {
		reply(a)
		return
	}
	e.sim.checker.notRunDecided(a)
	e.heldAnswers = append(e.heldAnswers, heldAnswer{a, e.now(), reply})
}

func claimsNotRun(a *pb.Answer) bool {
	code := result.Code(a.GetCode())
	if code == result.NotOwner {
		return false
	}
	return code.NotRun() || slices.ContainsFunc(a.GetOutcomes(), func(o *pb.Outcome) bool {
		return result.Code(o.GetCode()).NotRun()
	})
}

func (e *entry) releaseConfirmed(now time.Time) {
	confirmedAt := e.confirmedAt(now)
	waiting := e.heldAnswers
	e.heldAnswers = nil
	for _, h := range waiting {
		confirmed := confirmedAt.After(h.decidedAt)
		if !confirmed && now.Sub(h.decidedAt) <= confirmTimeout {
			e.heldAnswers = append(e.heldAnswers, h)
			continue
		}
		h.reply(e.confirmedAnswer(h.answer, confirmed))
	}
}

// refusalOutdated reports whether the ID was admitted while its refusal was
// held.
func (e *entry) refusalOutdated(a *pb.Answer) bool {
	oc := e.cells[a.GetCell()]
	return oc != nil && result.Code(a.GetCode()).NotRun() && oc.cell.MayHaveStarted(sched.Key(a.GetId()))
}

func (e *entry) confirmedAnswer(a *pb.Answer, confirmed bool) *pb.Answer {
	c := e.document.Cells[a.GetCell()]
	if c.Owner != e.id || c.Generation != a.GetGeneration() || e.refusalOutdated(a) {
		return &pb.Answer{Id: a.GetId(), Code: uint32(result.NotOwner)}
	}
	if confirmed {
		return a
	}
	return &pb.Answer{Id: a.GetId(), Code: uint32(result.OutcomeUnknown), Cell: a.GetCell(), Generation: a.GetGeneration()}
}
