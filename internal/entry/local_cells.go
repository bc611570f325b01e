package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/cell"
	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/control"
	"github.com/pomelosill/pomelosill/internal/sched"
)

// runReconcile reconciles the local cells with the document until ctx ends. It
// never waits for the store, so that a configuration change takes effect
// immediately.
func (o *ownership) runReconcile(ctx context.Context) {
	o.runOnChange(ctx, func(d *control.Document) { o.reconcile(ctx, d) })
	for _, c := range o.Cells() {
		c.Close()
	}
}

// reconcile opens and closes local cells according to the document, and applies
// the document to those that stay open.
func (o *ownership) reconcile(ctx context.Context, d *control.Document) {
	revision, accepted := o.control.Accepted()
	for i, c := range d.Cells {
		n := uint32(i)
		oc := o.findCell(n)
		mine := c.Owner == o.control.self
		if oc != nil && (!mine || oc.cell.Generation() != c.Generation) {
			o.closeCell(n, oc, c.Owner)
			oc = nil
		}
		if mine && oc == nil {
			o.openCellAsync(ctx, n, c.Generation, d)
		}
		if oc == nil {
			continue
		}
		now := time.Now()
		oc.cell.ApplyControl(d, now)
		if accepted && revision >= d.Revision {
			oc.cell.AcceptOwnership(now)
		}
	}
}

// openCellAsync opens a cell in another goroutine, because opening calls the
// store.
func (o *ownership) openCellAsync(ctx context.Context, n uint32, generation uint64, d *control.Document) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.opening[n] {
		return
	}
	o.opening[n] = true
	go func() {
		if !o.openCell(ctx, n, generation, d) {
			clock.Sleep(ctx, retryDelay)
		}
		o.mu.Lock()
		delete(o.opening, n)
		o.mu.Unlock()
		o.control.Notify()
	}()
}

func (o *ownership) findCell(n uint32) *ownedCell {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.cells[n]
}

// Cell returns the local cell with the number, or nil if this entry does not own
// it.
func (o *ownership) Cell(n uint32) *cell.Cell {
	if oc := o.findCell(n); oc != nil {
		return oc.cell
	}
	return nil
}

// Cells returns all local cells.
func (o *ownership) Cells() []*cell.Cell {
	var cells []*cell.Cell
	for _, oc := range o.ownedCells() {
		cells = append(cells, oc.cell)
	}
	return cells
}

// Counters returns the sum of the counters of all local cells, including those
// closed since.
func (o *ownership) Counters() cell.Counters {
	o.mu.Lock()
	sum := o.closedCellCounters
	o.mu.Unlock()
	// Don't hold o.mu while taking a cell's lock: a cell that answers a
	// submission calls back here through the relay, which would deadlock.
	for _, c := range o.Cells() {
		sum.Add(c.State().Counters)
	}
	return sum
}

func (o *ownership) ownedCells() []*ownedCell {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Values(o.cells))
}

// closeCell closes a local cell that another entry owns now.
func (o *ownership) closeCell(n uint32, oc *ownedCell, owner string) {
	o.mu.Lock()
	delete(o.cells, n)
	o.lostTo[n] = owner
	o.mu.Unlock()
	oc.cell.Close()
	final := oc.cell.State().Counters
	o.mu.Lock()
	o.closedCellCounters.Add(final)
	o.mu.Unlock()
	o.log.Info("cell closed", zap.Uint32("cell", n), zap.Uint64("generation", oc.cell.Generation()))
	o.control.Notify()
}

// openCell creates a local cell and reports whether it succeeded. It first writes
// the agent list under the new generation, so that the previous owner can no
// longer add an agent to it.
func (o *ownership) openCell(ctx context.Context, n uint32, generation uint64, d *control.Document) bool {
	list, storeRevision, err := o.readAgentList(ctx, n)
	if err != nil {
		o.log.Warn("cell not opened: could not read its agent list", zap.Uint32("cell", n), zap.Error(err))
		return false
	}
	if list.Generation > generation {
		return false
	}
	now := time.Now()
	oc := &ownedCell{
		cell:          cell.New(o.cellConfig(n, generation), d, list, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), now),
		storeRevision: storeRevision,
	}
	if !o.syncAgentList(ctx, oc) {
		return false
	}
	o.mu.Lock()
	o.cells[n] = oc
	o.mu.Unlock()
	o.agents.AttachAll(oc.cell)
	o.log.Info("cell opened", zap.Uint32("cell", n), zap.Uint64("generation", generation))
	return true
}

func (o *ownership) cellConfig(n uint32, generation uint64) cell.Config {
	s := o.settings
	limits := sched.DefaultConfig()
	limits.MaxWaiting = s.MaxWaiting
	return cell.Config{
		Number:          n,
		Generation:      generation,
		Owner:           o.control.self,
		IDRetention:     s.IDRetention.Std(),
		AnswerRetention: s.AnswerRetention.Std(),
		MaxAnswerBytes:  s.MaxAnswerBytes,
		ClockSkew:       s.ClockSkew.Std(),
		LostAfter:       s.LostAfter.Std(),
		Freshness:       s.Freshness.Std(),
		MaxPending:      maxPending,
		Sched:           limits,
		IsFresh: func(now time.Time) bool {
			return now.Sub(o.control.OwnershipConfirmedAt(n, generation, now)) < s.Freshness.Std()
		},
	}
}

// maxPending is the maximum number of submissions that a cell holds before it
// serves.
const maxPending = 20000
