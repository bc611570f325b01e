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
	// answerGrace is how long past its deadline a submission is kept.
	answerGrace = 10 * time.Second
	// relayTimeout is when a submission that had no answer is sent again, as
	// after a broken stream.
	relayTimeout = 4 * time.Second
	// confirmLimit is how long a "not run" waits to be confirmed.
	confirmLimit = 2 * freshness
)

// relay holds the submissions that callers made at an entry.
type relay struct {
	e    *entry
	jobs []*relayed
}

type relayed struct {
	submission *pb.Submission
	key        sched.Key
	deadline   time.Time
	owner      string
	generation uint64
	sentAt     time.Time
	// sends counts the streams that it was sent on.
	sends   int
	waiters []func(*pb.Answer)
}

func newRelay(e *entry) *relay { return &relay{e: e} }

func (r *relay) find(key sched.Key) *relayed {
	for _, j := range r.jobs {
		if j.key == key {
			return j
		}
	}
	return nil
}

func (r *relay) remove(j *relayed) {
	r.jobs = slices.DeleteFunc(r.jobs, func(o *relayed) bool { return o == j })
}

// submit takes a caller's submission.
func (r *relay) submit(s *pb.Submission, reply func(*pb.Answer)) {
	key := sched.Key(s.GetId())
	if j := r.find(key); j != nil {
		j.waiters = append(j.waiters, reply)
		return
	}
	r.jobs = append(r.jobs, &relayed{
		submission: s,
		key:        key,
		deadline:   r.e.now().Add(time.Duration(s.GetTimeoutNs())),
		waiters:    []func(*pb.Answer){reply},
	})
}

// turn sends what has no owner, and gives up on what nobody answers.
func (r *relay) turn(now time.Time) {
	for _, j := range slices.Clone(r.jobs) {
		n := control.CellOfSubmission(j.key, len(r.e.doc.Cells))
		c := r.e.doc.Cells[n]
		if j.owner != c.Owner || j.generation != c.Generation || now.Sub(j.sentAt) > relayTimeout {
			j.owner = ""
		}
		if now.After(j.deadline.Add(answerGrace)) {
			r.giveUp(j)
			continue
		}
		if j.owner == "" && c.Owner != "" {
			r.send(j, n, c, now)
		}
	}
}

func (r *relay) giveUp(j *relayed) {
	code := result.NoOwner
	if j.sends > 0 {
		code = result.OutcomeUnknown
	}
	r.finish(j, &pb.Answer{Id: j.key[:], Code: uint32(code)})
}

func (r *relay) finish(j *relayed, a *pb.Answer) {
	r.remove(j)
	for _, reply := range j.waiters {
		reply(a)
	}
}

func (r *relay) send(j *relayed, n int, c control.Cell, now time.Time) {
	m, ok := r.e.doc.Member(c.Owner)
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
	j.sends++
	send := j.sends
	from, to := r.e, r.e.w.entryAt(m.Address)
	r.e.w.send(&from.process, &to.process, func() {
		if to.id != c.Owner {
			return
		}
		to.submitHere(s, func(a *pb.Answer) {
			r.e.w.send(&to.process, &from.process, func() { r.answered(j.key, send, a) })
		})
	})
}

// answered takes an owner's answer as the product's relay does: on an older
// stream or from a former owner only a whole answer counts.
func (r *relay) answered(key sched.Key, send int, a *pb.Answer) {
	j := r.find(key)
	if j == nil {
		return
	}
	current := j.owner != "" && j.sends == send
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

// submitHere gives a submission to the local cell.
func (e *entry) submitHere(s *pb.Submission, reply func(*pb.Answer)) {
	oc := e.cells[s.GetCell()]
	if oc == nil {
		reply(&pb.Answer{Id: s.GetId(), Code: uint32(result.NotOwner)})
		return
	}
	oc.cell.Submit(s, func(a *pb.Answer) { e.release(a, reply) }, e.now())
}

// heldAnswer waits until the ownership is confirmed after the decision.
type heldAnswer struct {
	answer  *pb.Answer
	decided time.Time
	reply   func(*pb.Answer)
}

func (e *entry) release(a *pb.Answer, reply func(*pb.Answer)) {
	if !claimsNotRun(a) {
		reply(a)
		return
	}
	e.w.checks.refused(a)
	e.held = append(e.held, heldAnswer{a, e.now(), reply})
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
	waiting := e.held
	e.held = nil
	for _, h := range waiting {
		confirmed := basis.After(h.decided)
		if !confirmed && now.Sub(h.decided) <= confirmLimit {
			e.held = append(e.held, h)
			continue
		}
		h.reply(e.confirmedAnswer(h.answer, confirmed))
	}
}

// overtaken tells whether the id was let in while its refusal was held.
func (e *entry) overtaken(a *pb.Answer) bool {
	oc := e.cells[a.GetCell()]
	return oc != nil && result.Code(a.GetCode()).NotRun() && oc.cell.MayHaveStarted(sched.Key(a.GetId()))
}

func (e *entry) confirmedAnswer(a *pb.Answer, confirmed bool) *pb.Answer {
	c := e.doc.Cells[a.GetCell()]
	if c.Owner != e.id || c.Generation != a.GetGeneration() || e.overtaken(a) {
		return &pb.Answer{Id: a.GetId(), Code: uint32(result.NotOwner)}
	}
	if confirmed {
		return a
	}
	return &pb.Answer{Id: a.GetId(), Code: uint32(result.OutcomeUnknown), Cell: a.GetCell(), Generation: a.GetGeneration()}
}
