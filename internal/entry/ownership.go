package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/cell"
	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/control"
	"github.com/pomelosill/pomelosill/internal/store"
)

// ownershipCheckInterval is how often ownership is checked while the control
// state does not change.
const ownershipCheckInterval = 250 * time.Millisecond

// ownership takes over cells without a live owner, assigns deputies to the cells
// of this entry, and reconciles the local cells with the document.
type ownership struct {
	store    store.Store
	control  *controlState
	peers    *peers
	writer   *documentWriter
	agents   *agentRegistry
	settings *Settings
	log      *zap.Logger

	// rebalancedAt is when this entry last handed a cell over to rebalance.
	rebalancedAt time.Time

	mu    sync.Mutex
	cells map[uint32]*ownedCell
	// closedCellCounters is the sum of the counters of closed cells.
	closedCellCounters cell.Counters
	// opening is the set of cells that are being opened.
	opening map[uint32]bool
	// lostTo is, by cell, the entry that last took it from this one.
	lostTo map[uint32]string
}

// ownedCell is a local cell with the state of its agent list in the store.
type ownedCell struct {
	cell *cell.Cell
	// storeRevision is the store's revision of the agent list's key, and
	// storedVersion the version of the list under it.
	storeRevision uint64
	storedVersion uint64
}

// runTakeovers writes changes of ownership and of deputies to the control
// document until ctx ends.
func (o *ownership) runTakeovers(ctx context.Context) {
	o.runOnChange(ctx, func(d *control.Document) {
		o.takeOver(ctx, d)
		o.assignDeputies(ctx)
		o.rebalance(ctx)
	})
}

// rebalanceInterval is the minimum time between two cells that an owner hands
// over to rebalance.
const rebalanceInterval = time.Second

// rebalance hands one cell to an entry that owns fewer, if the current document
// is accepted.
func (o *ownership) rebalance(ctx context.Context) {
	d := o.control.Document()
	_, accepted := o.control.Accepted()
	if !accepted || time.Since(o.rebalancedAt) < rebalanceInterval {
		return
	}
	if _, _, ok := control.CellToRebalance(d, o.control.self, o.isAlive); !ok {
		return
	}
	o.rebalancedAt = time.Now()
	_, err := o.writer.Write(ctx, func(d *control.Document, op string) (*control.Document, error) {
		i, to, ok := control.CellToRebalance(d, o.control.self, o.isAlive)
		if !ok {
			return nil, nil
		}
		return control.TakeOver(d, []int{i}, to, op, o.isAlive), nil
	})
	if err != nil {
		o.log.Warn("could not hand a cell over to rebalance", zap.Error(err))
	}
}

// runOnChange calls step at each change of the control state, and at least every
// ownershipCheckInterval, until ctx ends.
func (o *ownership) runOnChange(ctx context.Context, step func(*control.Document)) {
	tick := time.NewTicker(ownershipCheckInterval)
	defer tick.Stop()
	for {
		changed := o.control.Changed()
		if d := o.control.Document(); d != nil {
			step(d)
		}
		select {
		case <-tick.C:
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// isAlive reports whether a member answers exchanges. An expired lease alone does
// not make it dead, since leases also expire while the store is unavailable. It
// only makes peers exchange with the member at each interval.
func (o *ownership) isAlive(id string) bool {
	if id == o.control.self {
		return !o.control.Leaving()
	}
	return o.peers.IsAlive(id)
}

// takeOver writes this entry as the owner of every cell that it should take
// over.
func (o *ownership) takeOver(ctx context.Context, d *control.Document) {
	if len(o.cellsToTakeOver(d)) == 0 {
		return
	}
	next, err := o.writer.Write(ctx, func(d *control.Document, op string) (*control.Document, error) {
		cells := o.cellsToTakeOver(d)
		if len(cells) == 0 {
			return nil, nil
		}
		return control.TakeOver(d, cells, o.control.self, op, o.isAlive), nil
	})
	if err != nil {
		o.log.Warn("could not write a takeover of cells", zap.Error(err))
		clock.Sleep(ctx, retryDelay)
		return
	}
	if next != nil {
		o.log.Info("cells taken over", zap.Uint64("revision", next.Revision))
	}
}

func (o *ownership) cellsToTakeOver(d *control.Document) []int {
	if o.control.Leaving() || !d.HasMember(o.control.self) {
		return nil
	}
	var cells []int
	for i, c := range d.Cells {
		if c.Owner != o.control.self && control.PreferredOwner(d, i, o.isAlive) == o.control.self && o.mayTakeOver(uint32(i), c.Owner) {
			cells = append(cells, i)
		}
	}
	return cells
}

// mayTakeOver reports whether this entry may take a cell from its owner. It must
// not take the cell back from an entry that holds a lease: two entries that
// cannot reach each other would take it from each other endlessly.
func (o *ownership) mayTakeOver(n uint32, owner string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return owner == "" || o.lostTo[n] != owner || o.control.LeaseExpired(owner)
}

func (o *ownership) assignDeputies(ctx context.Context) {
	d := o.control.Document()
	if o.control.Leaving() || control.SetDeputies(d, o.control.self, "", o.isAlive) == nil {
		return
	}
	_, err := o.writer.Write(ctx, func(d *control.Document, op string) (*control.Document, error) {
		return control.SetDeputies(d, o.control.self, op, o.isAlive), nil
	})
	if err != nil {
		o.log.Warn("could not write the deputies of cells", zap.Error(err))
		clock.Sleep(ctx, retryDelay)
	}
}

// HandOver hands the entry's cells over to their deputies. It is the first step
// of a graceful shutdown.
func (o *ownership) HandOver(ctx context.Context) error {
	_, err := o.writer.Write(ctx, func(d *control.Document, op string) (*control.Document, error) {
		return control.HandOver(d, o.control.self, op, o.isAlive), nil
	})
	return err
}
