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

// confirms holds back answers that say "not run" until the entry's ownership
// is confirmed by a question asked after the decision. Until then another
// entry might have taken the cell over and started the work.
type confirms struct {
	board *board
	// cells gives the local cell with a number, or nil.
	cells func(n uint32) *cell.Cell
	// ask requests a confirmation now.
	ask func()
	// limit is how long an answer waits until it becomes "may have run".
	limit time.Duration

	// wake is for answers that can be released without anything being asked.
	wake chan struct{}

	mu   sync.Mutex
	held []heldAnswer
}

func newConfirms(b *board, ask func(), limit time.Duration) *confirms {
	none := func(uint32) *cell.Cell { return nil }
	return &confirms{board: b, cells: none, ask: ask, limit: limit, wake: make(chan struct{}, 1)}
}

type heldAnswer struct {
	answer  *pb.Answer
	decided time.Time
	release func(*pb.Answer)
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

// Release gives the answer to f, at once or when it is confirmed. f is called
// once and must not block.
func (c *confirms) Release(a *pb.Answer, f func(*pb.Answer)) {
	if !claimsNotRun(a) {
		f(a)
		return
	}
	c.mu.Lock()
	c.held = append(c.held, heldAnswer{answer: a, decided: time.Now(), release: f})
	c.mu.Unlock()
	c.ask()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *confirms) run(ctx context.Context) {
	tick := time.NewTicker(c.limit / 4)
	defer tick.Stop()
	for {
		changed := c.board.Changed()
		c.releaseConfirmed(time.Now())
		select {
		case <-changed:
		case <-c.wake:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *confirms) releaseConfirmed(now time.Time) {
	basis := c.board.Basis(now)
	for _, h := range c.take(basis, now) {
		if !c.stillOwner(h.answer) || c.overtaken(h.answer) {
			h.release(&pb.Answer{Id: h.answer.GetId(), Code: uint32(result.NotOwner)})
			continue
		}
		if basis.After(h.decided) {
			h.release(h.answer)
			continue
		}
		h.release(&pb.Answer{
			Id:         h.answer.GetId(),
			Code:       uint32(result.OutcomeUnknown),
			Detail:     "this owner started nothing but could not confirm that it still owned the job's cell",
			Cell:       h.answer.GetCell(),
			Generation: h.answer.GetGeneration(),
		})
	}
}

// take removes the answers that are confirmed or have waited too long, and
// asks again if some are left.
func (c *confirms) take(basis, now time.Time) []heldAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	var due, rest []heldAnswer
	for _, h := range c.held {
		if basis.After(h.decided) || now.Sub(h.decided) > c.limit {
			due = append(due, h)
		} else {
			rest = append(rest, h)
		}
	}
	c.held = rest
	if len(rest) > 0 {
		c.ask()
	}
	return due
}

// overtaken tells whether a refusal has become untrue while it was held: the
// same id was submitted again and let in. The receiving entry has to ask again
// and gets the answer of the job.
func (c *confirms) overtaken(a *pb.Answer) bool {
	n := c.cells(a.GetCell())
	if n == nil || len(a.GetId()) != len(sched.Key{}) || !result.Code(a.GetCode()).NotRun() {
		return false
	}
	return n.MayHaveStarted(sched.Key(a.GetId()))
}

// stillOwner tells whether the document names this entry as the owner under
// the generation that gave the answer. If not, the receiving entry has to ask
// the new owner.
func (c *confirms) stillOwner(a *pb.Answer) bool {
	d := c.board.Doc()
	if int(a.GetCell()) >= len(d.Cells) {
		return false
	}
	owner := d.Cells[a.GetCell()]
	return owner.Owner == c.board.self && owner.Generation == a.GetGeneration()
}
