package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pomelosill/pomelosill/internal/cell"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/sched"
)

// answerConfirmer holds back answers that say "not run" until the entry's ownership
// is confirmed by a question asked after the decision. Until then another
// entry might have taken the cell over and started the work.
type answerConfirmer struct {
	control *controlState
	// localCell gives the local cell with a number, or nil.
	localCell func(n uint32) *cell.Cell
	// requestConfirmation requests a confirmation now.
	requestConfirmation func()
	// holdTimeout is how long an answer waits until it becomes "may have run".
	holdTimeout time.Duration

	// wake is for answers that can be released without anything being asked.
	wake chan struct{}

	mu   sync.Mutex
	held []heldAnswer
}

func newAnswerConfirmer(b *controlState, ask func(), limit time.Duration) *answerConfirmer {
	none := func(uint32) *cell.Cell { return nil }
	return &answerConfirmer{control: b, localCell: none, requestConfirmation: ask, holdTimeout: limit, wake: make(chan struct{}, 1)}
}

type heldAnswer struct {
	answer    *pb.Answer
	decidedAt time.Time
	deliver   func(*pb.Answer)
}

// claimsNotRun tells whether an answer says of any work that it did not run.
// NotOwner never reaches a caller.
func claimsNotRun(a *pb.Answer) bool {
	code := result.Code(a.GetCode())
	if code == result.NotOwner {
		return false
	}
	if code.NotRun() {
		return true
	}
	for _, o := range a.GetOutcomes() {
		if result.Code(o.GetCode()).NotRun() {
			return true
		}
	}
	return false
}

// Deliver gives the answer to f, at once or when it is confirmed. f is called
// once and must not block.
func (c *answerConfirmer) Deliver(a *pb.Answer, f func(*pb.Answer)) {
	if !claimsNotRun(a) {
		f(a)
		return
	}
	c.mu.Lock()
	c.held = append(c.held, heldAnswer{answer: a, decidedAt: time.Now(), deliver: f})
	c.mu.Unlock()
	c.requestConfirmation()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *answerConfirmer) run(ctx context.Context) {
	tick := time.NewTicker(c.holdTimeout / 4)
	defer tick.Stop()
	for {
		changed := c.control.Changed()
		c.deliverConfirmed(time.Now())
		select {
		case <-changed:
		case <-c.wake:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *answerConfirmer) deliverConfirmed(now time.Time) {
	basis := c.control.ConfirmedAt(now)
	for _, h := range c.takeDue(basis, now) {
		if !c.stillOwner(h.answer) || c.refusalOutdated(h.answer) {
			h.deliver(&pb.Answer{Id: h.answer.GetId(), Code: uint32(result.NotOwner)})
			continue
		}
		if basis.After(h.decidedAt) {
			h.deliver(h.answer)
			continue
		}
		h.deliver(&pb.Answer{
			Id:         h.answer.GetId(),
			Code:       uint32(result.OutcomeUnknown),
			Detail:     "this owner started nothing but could not confirm that it still owned the job's cell",
			Cell:       h.answer.GetCell(),
			Generation: h.answer.GetGeneration(),
		})
	}
}

// takeDue removes the answers that are confirmed or have waited too long, and
// asks again if some are left.
func (c *answerConfirmer) takeDue(basis, now time.Time) []heldAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	var due, rest []heldAnswer
	for _, h := range c.held {
		if basis.After(h.decidedAt) || now.Sub(h.decidedAt) > c.holdTimeout {
			due = append(due, h)
		} else {
			rest = append(rest, h)
		}
	}
	c.held = rest
	if len(rest) > 0 {
		c.requestConfirmation()
	}
	return due
}

// refusalOutdated tells whether a refusal has become untrue while it was held: the
// same id was submitted again and let in. The receiving entry has to ask again
// and gets the answer of the job.
func (c *answerConfirmer) refusalOutdated(a *pb.Answer) bool {
	n := c.localCell(a.GetCell())
	if n == nil || len(a.GetId()) != len(sched.Key{}) || !result.Code(a.GetCode()).NotRun() {
		return false
	}
	return n.MayHaveStarted(sched.Key(a.GetId()))
}

// stillOwner tells whether the document names this entry as the owner under
// the generation that gave the answer. If not, the receiving entry has to ask
// the new owner.
func (c *answerConfirmer) stillOwner(a *pb.Answer) bool {
	d := c.control.Document()
	if int(a.GetCell()) >= len(d.Cells) {
		return false
	}
	owner := d.Cells[a.GetCell()]
	return owner.Owner == c.control.self && owner.Generation == a.GetGeneration()
}
