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

// ownershipInterval is how often ownership is looked at without a change of
// the board.
const ownershipInterval = 250 * time.Millisecond

// ownership takes over the cells that lack an alive owner, keeps deputies for
// the own ones, and keeps the local cells in step with the document.
type ownership struct {
	store    store.Store
	board    *board
	peers    *peers
	writer   *writer
	agents   *agents
	settings *Settings
	log      *zap.Logger

	// gave is when a cell was last handed over for balance.
	gave time.Time

	mu    sync.Mutex
	cells map[uint32]*ownedCell
	// past counts what closed cells did.
	past cell.Counters
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
	o.loop(ctx, func(d *control.Document) {
		o.takeOver(ctx, d)
		o.keepDeputies(ctx)
		o.giveSurplus(ctx)
	})
}

// giveInterval is the least time between two cells that an owner hands over
// for balance.
const giveInterval = time.Second

// giveSurplus hands one cell to an entry that owns fewer, once the last change
// is accepted.
func (o *ownership) giveSurplus(ctx context.Context) {
	d := o.board.Doc()
	_, accepted := o.board.Accepted()
	if !accepted || time.Since(o.gave) < giveInterval {
		return
	}
	if _, _, ok := control.Surplus(d, o.board.self, o.alive); !ok {
		return
	}
	o.gave = time.Now()
	_, err := o.writer.Write(ctx, func(d *control.Document, op string) (*control.Document, error) {
		i, to, ok := control.Surplus(d, o.board.self, o.alive)
		if !ok {
			return nil, nil
		}
		return control.TakeOver(d, []int{i}, to, op, o.alive), nil
	})
	if err != nil {
		o.log.Warn("surplus cell not handed over", zap.Error(err))
	}
}

// loop calls step at each change of the board and at an interval.
func (o *ownership) loop(ctx context.Context, step func(*control.Document)) {
	tick := time.NewTicker(ownershipInterval)
	defer tick.Stop()
	for {
		changed := o.board.Changed()
		if d := o.board.Doc(); d != nil {
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

// alive tells whether a member answers. A lapsed lease alone is no sign of
// death, since leases also lapse while the store is away; it makes the peers
// ask the member regularly.
func (o *ownership) alive(id string) bool {
	if id == o.board.self {
		return !o.board.Leaving()
	}
	return o.peers.Alive(id)
}

// takeOver writes this entry as the owner of every cell that it is the
// candidate for.
func (o *ownership) takeOver(ctx context.Context, d *control.Document) {
	if len(o.wanted(d)) == 0 {
		return
	}
	n, err := o.writer.Write(ctx, func(d *control.Document, op string) (*control.Document, error) {
		cells := o.wanted(d)
		if len(cells) == 0 {
			return nil, nil
		}
		return control.TakeOver(d, cells, o.board.self, op, o.alive), nil
	})
	if err != nil {
		o.log.Warn("takeover not written", zap.Error(err))
		pause(ctx, retryPause)
		return
	}
	if n != nil {
		o.log.Info("took cells over", zap.Uint64("revision", n.Revision))
	}
}

func (o *ownership) wanted(d *control.Document) []int {
	if o.board.Leaving() || !d.Rostered(o.board.self) {
		return nil
	}
	var cells []int
	for i, c := range d.Cells {
		if c.Owner != o.board.self && control.Candidate(d, i, o.alive) == o.board.self && o.mayTake(uint32(i), c.Owner) {
			cells = append(cells, i)
		}
	}
	return cells
}

// mayTake tells whether this entry may take a cell from its owner. It does not
// take it back from one that holds a lease: if the two cannot reach each other
// they would go on taking it from each other.
func (o *ownership) mayTake(n uint32, owner string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return owner == "" || o.lostTo[n] != owner || o.board.LeaseGone(owner)
}

func (o *ownership) keepDeputies(ctx context.Context) {
	d := o.board.Doc()
	if o.board.Leaving() || control.SetDeputies(d, o.board.self, "", o.alive) == nil {
		return
	}
	_, err := o.writer.Write(ctx, func(d *control.Document, op string) (*control.Document, error) {
		return control.SetDeputies(d, o.board.self, op, o.alive), nil
	})
	if err != nil {
		o.log.Warn("deputy not written", zap.Error(err))
		pause(ctx, retryPause)
	}
}

// HandOver gives the entry's cells to their deputies; it is the first step of
// a graceful shutdown.
func (o *ownership) HandOver(ctx context.Context) error {
	_, err := o.writer.Write(ctx, func(d *control.Document, op string) (*control.Document, error) {
		return control.HandOver(d, o.board.self, op, o.alive), nil
	})
	return err
}
