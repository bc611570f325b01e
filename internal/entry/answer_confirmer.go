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

// answerConfirmer holds back answers that say "not run" until a confirmation
// requested after the decision shows that this entry still owned the cell.
// Without it, another entry might have taken the cell over and started the work.
type answerConfirmer struct {
	control *controlState
	// localCell returns the local cell with the number, or nil.
	localCell func(n uint32) *cell.Cell
	// requestConfirmation starts a confirmation and does not wait for it.
	requestConfirmation func()
	// holdTimeout is how long an answer is held for its confirmation. After it
	// OutcomeUnknown is delivered instead.
	holdTimeout time.Duration

	// wake makes run check the held answers immediately. An entry that is alone
	// on the roster needs no other to confirm its document, so no change of the
	// control state would make run check them.
	wake chan struct{}

	mu   sync.Mutex
	held []heldAnswer
}

func newAnswerConfirmer(state *controlState, requestConfirmation func(), holdTimeout time.Duration) *answerConfirmer {
	none := func(uint32) *cell.Cell { return nil }
	return &answerConfirmer{control: state, localCell: none, requestConfirmation: requestConfirmation, holdTimeout: holdTimeout, wake: make(chan struct{}, 1)}
}

type heldAnswer struct {
	answer    *pb.Answer
	decidedAt time.Time
	deliver   func(*pb.Answer)
}

// claimsNotRun reports whether the answer says of the job or of any of its tasks
// that it did not run. NotOwner does not count because it never reaches a caller.
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

// Deliver calls f once with the answer, immediately or when it is confirmed. If
// it cannot be confirmed, f gets NotOwner or OutcomeUnknown instead. f must not
// block.
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
	confirmedAt := c.control.ConfirmedAt(now)
	for _, h := range c.takeDue(confirmedAt, now) {
		if !c.stillOwner(h.answer) || c.refusalOutdated(h.answer) {
			h.deliver(&pb.Answer{Id: h.answer.GetId(), Code: uint32(result.NotOwner)})
			continue
		}
		if confirmedAt.After(h.decidedAt) {
			h.deliver(h.answer)
			continue
		}
		h.deliver(&pb.Answer{
			Id:         h.answer.GetId(),
			Code:       uint32(result.OutcomeUnknown),
			Detail:     "the owner reported work as not run, but could not confirm that it still owned the job's cell",
			Cell:       h.answer.GetCell(),
			Generation: h.answer.GetGeneration(),
		})
	}
}

// takeDue removes and returns the answers that are confirmed or have been held
// for holdTimeout. It requests another confirmation if answers remain.
func (c *answerConfirmer) takeDue(confirmedAt, now time.Time) []heldAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	var due, rest []heldAnswer
	for _, h := range c.held {
		if confirmedAt.After(h.decidedAt) || now.Sub(h.decidedAt) > c.holdTimeout {
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

// refusalOutdated reports whether a refusal is no longer true: while it was held,
// the same id was submitted again and admitted. The entry that relayed it gets
// NotOwner, resubmits, and then gets the job's answer.
func (c *answerConfirmer) refusalOutdated(a *pb.Answer) bool {
	local := c.localCell(a.GetCell())
	if local == nil || len(a.GetId()) != len(sched.Key{}) || !result.Code(a.GetCode()).NotRun() {
		return false
	}
	return local.MayHaveStarted(sched.Key(a.GetId()))
}

// stillOwner reports whether the document names this entry as the cell's owner
// under the generation that gave the answer. If not, the entry that relayed the
// submission has to send it to the new owner.
func (c *answerConfirmer) stillOwner(a *pb.Answer) bool {
	d := c.control.Document()
	if int(a.GetCell()) >= len(d.Cells) {
		return false
	}
	owner := d.Cells[a.GetCell()]
	return owner.Owner == c.control.self && owner.Generation == a.GetGeneration()
}
