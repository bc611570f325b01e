package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/cell"
	"github.com/pomelosill/pomelosill/internal/control"
	"github.com/pomelosill/pomelosill/internal/store"
)

// ownershipCheckInterval is how often ownership is looked at without a change of
// the board.
const ownershipCheckInterval = 250 * time.Millisecond

// ownership takes over the cells that lack an alive owner, keeps deputies for
// the own ones, and keeps the local cells in step with the document.
type ownership struct {
	store    store.Store
	control  *controlState
	peers    *peers
	writer   *documentWriter
	agents   *agentRegistry
	settings *Settings
	log      *zap.Logger

	// rebalancedAt is when a cell was last handed over for balance.
	rebalancedAt time.Time

	mu    sync.Mutex
	cells map[uint32]*ownedCell
	// closedCellCounters counts what closed cells did.
	closedCellCounters cell.Counters
	// opening are the cells whose member lists are being read.
	opening map[uint32]bool
	// lostTo names the entry that last took a cell from this one.
	lostTo map[uint32]string
}

// ownedCell is a local cell with the state of its member list in the store.
type ownedCell struct {
	cell *cell.Cell
	// storeRevision is the revision of the member list in the store.
	storeRevision uint64
	storedVersion uint64
}

// runTakeovers writes ownership and deputies to the store.
func (o *ownership) runTakeovers(ctx context.Context) {
	o.runOnChange(ctx, func(d *control.Document) {
		o.takeOver(ctx, d)
		o.assignDeputies(ctx)
		o.rebalance(ctx)
	})
}

// rebalanceInterval is the least time between two cells that an owner hands over
// for balance.
const rebalanceInterval = time.Second

// rebalance hands one cell to an entry that owns fewer, once the last change
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
		o.log.Warn("surplus cell not handed over", zap.Error(err))
	}
}

// runOnChange calls step at each change of the board and at an interval.
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

// isAlive tells whether a member answers. A lapsed lease alone is no sign of
// death, since leases also lapse while the store is away; it makes the peers
// ask the member regularly.
func (o *ownership) isAlive(id string) bool {
	if id == o.control.self {
		return !o.control.Leaving()
	}
	return o.peers.IsAlive(id)
}

// takeOver writes this entry as the owner of every cell that it is the
// candidate for.
func (o *ownership) takeOver(ctx context.Context, d *control.Document) {
	if len(o.cellsToTakeOver(d)) == 0 {
		return
	}
	n, err := o.writer.Write(ctx, func(d *control.Document, op string) (*control.Document, error) {
		cells := o.cellsToTakeOver(d)
		if len(cells) == 0 {
			return nil, nil
		}
		return control.TakeOver(d, cells, o.control.self, op, o.isAlive), nil
	})
	if err != nil {
		o.log.Warn("takeover not written", zap.Error(err))
		sleep(ctx, retryDelay)
		return
	}
	if n != nil {
		o.log.Info("took cells over", zap.Uint64("revision", n.Revision))
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

// mayTakeOver tells whether this entry may take a cell from its owner. It does not
// take it back from one that holds a lease: if the two cannot reach each other
// they would go on taking it from each other.
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
		o.log.Warn("deputy not written", zap.Error(err))
		sleep(ctx, retryDelay)
	}
}

// HandOver gives the entry's cells to their deputies; it is the first step of
// a graceful shutdown.
func (o *ownership) HandOver(ctx context.Context) error {
	_, err := o.writer.Write(ctx, func(d *control.Document, op string) (*control.Document, error) {
		return control.HandOver(d, o.control.self, op, o.isAlive), nil
	})
	return err
}
