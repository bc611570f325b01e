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
	// answerRetention is how long past its deadline a submission is kept.
	answerRetention = 10 * time.Second
	// relayTimeout is when a submission that had no answer is sent again, as
	// after a broken stream.
	relayTimeout = 4 * time.Second
	// confirmTimeout is how long a "not run" waits to be confirmed.
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
	// sendCount counts the streams that it was sent on.
	sendCount int
	waiters   []func(*pb.Answer)
}

func newRelay(e *entry) *relay { return &relay{entry: e} }

func (r *relay) find(key sched.Key) *relayedSubmission {
	for _, j := range r.submissions {
		if j.key == key {
			return j
		}
	}
	return nil
}

func (r *relay) remove(j *relayedSubmission) {
	r.submissions = slices.DeleteFunc(r.submissions, func(o *relayedSubmission) bool { return o == j })
}

// submit takes a caller's submission.
func (r *relay) submit(s *pb.Submission, reply func(*pb.Answer)) {
	key := sched.Key(s.GetId())
	if j := r.find(key); j != nil {
		j.waiters = append(j.waiters, reply)
		return
	}
	r.submissions = append(r.submissions, &relayedSubmission{
		submission: s,
		key:        key,
		deadline:   r.entry.now().Add(time.Duration(s.GetTimeoutNs())),
		waiters:    []func(*pb.Answer){reply},
	})
}

// step sends what has no owner, and gives up on what nobody answers.
func (r *relay) step(now time.Time) {
	for _, j := range slices.Clone(r.submissions) {
		n := control.CellOfSubmission(j.key, len(r.entry.document.Cells))
		c := r.entry.document.Cells[n]
		if j.owner != c.Owner || j.generation != c.Generation || now.Sub(j.sentAt) > relayTimeout {
			j.owner = ""
		}
		if now.After(j.deadline.Add(answerRetention)) {
			r.expire(j)
			continue
		}
		if j.owner == "" && c.Owner != "" {
			r.send(j, n, c, now)
		}
	}
}

func (r *relay) expire(j *relayedSubmission) {
	code := result.NoOwner
	if j.sendCount > 0 {
		code = result.OutcomeUnknown
	}
	r.finish(j, &pb.Answer{Id: j.key[:], Code: uint32(code)})
}

func (r *relay) finish(j *relayedSubmission, a *pb.Answer) {
	r.remove(j)
	for _, reply := range j.waiters {
		reply(a)
	}
}

func (r *relay) send(j *relayedSubmission, n int, c control.Cell, now time.Time) {
	m, ok := r.entry.document.Member(c.Owner)
	if !ok {
		return
	}
	s := &pb.Submission{
		Id:        j.submission.GetId(),
		Team:      j.submission.GetTeam(),
		Tasks:     j.submission.GetTasks(),
		Digest:    j.submission.GetDigest(),
		Cell:      uint32(n),
		TimeoutNs: int64(j.deadline.Sub(now)),
	}
	j.owner, j.generation, j.sentAt = c.Owner, c.Generation, now
	j.sendCount++
	send := j.sendCount
	from, to := r.entry, r.entry.sim.entryByAddress(m.Address)
	r.entry.sim.send(&from.process, &to.process, func() {
		if to.id != c.Owner {
			return
		}
		to.submitLocal(s, func(a *pb.Answer) {
			r.entry.sim.send(&to.process, &from.process, func() { r.applyAnswer(j.key, send, a) })
		})
	})
}

// applyAnswer takes an owner's answer as the product's relay does: on an older
// stream or from a former owner only a whole answer counts.
func (r *relay) applyAnswer(key sched.Key, send int, a *pb.Answer) {
	j := r.find(key)
	if j == nil {
		return
	}
	current := j.owner != "" && j.sendCount == send
	code := result.Code(a.GetCode())
	if code == result.NotOwner {
		if current {
			j.owner = ""
		}
		return
	}
	if !current && code != result.OK {
		return
	}
	r.finish(j, a)
}

// submitLocal gives a submission to the local cell.
func (e *entry) submitLocal(s *pb.Submission, reply func(*pb.Answer)) {
	oc := e.cells[s.GetCell()]
	if oc == nil {
		reply(&pb.Answer{Id: s.GetId(), Code: uint32(result.NotOwner)})
		return
	}
	oc.cell.Submit(s, func(a *pb.Answer) { e.sendOrHold(a, reply) }, e.now())
}

// heldAnswer waits until the ownership is confirmed after the decision.
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
	basis := e.basis(now)
	waiting := e.heldAnswers
	e.heldAnswers = nil
	for _, h := range waiting {
		confirmed := basis.After(h.decidedAt)
		if !confirmed && now.Sub(h.decidedAt) <= confirmTimeout {
			e.heldAnswers = append(e.heldAnswers, h)
			continue
		}
		h.reply(e.confirmedAnswer(h.answer, confirmed))
	}
}

// refusalOutdated tells whether the id was let in while its refusal was held.
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
