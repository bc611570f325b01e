package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/cell"
	"github.com/pomelosill/pomelosill/internal/control"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/sched"
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

// runFollow keeps the local cells in step with the document. It never waits
// for the store, so that a change of the configuration takes effect at once.
func (o *ownership) runFollow(ctx context.Context) {
	o.loop(ctx, func(d *control.Document) { o.follow(ctx, d) })
	for _, c := range o.Cells() {
		c.Close()
	}
}

// runMembers keeps the member lists in the store up to date.
func (o *ownership) runMembers(ctx context.Context) {
	o.loop(ctx, func(*control.Document) {
		for _, oc := range o.ownedCells() {
			o.storeMembers(ctx, oc)
		}
	})
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
		next := d
		for i, c := range d.Cells {
			if c.Owner != o.board.self {
				continue
			}
			if to := control.Candidate(d, i, o.alive); to != "" {
				next = control.TakeOver(next, []int{i}, to, op, o.alive)
				next.Revision = d.Revision + 1
			}
		}
		if next == d {
			return nil, nil
		}
		return next, nil
	})
	return err
}

// follow opens and closes local cells as the document says, and moves the own
// ones on.
func (o *ownership) follow(ctx context.Context, d *control.Document) {
	revision, accepted := o.board.Accepted()
	for i, c := range d.Cells {
		n := uint32(i)
		oc := o.owned(n)
		mine := c.Owner == o.board.self
		if oc != nil && (!mine || oc.cell.Generation() != c.Generation) {
			o.close(n, oc, c.Owner)
			oc = nil
		}
		if mine && oc == nil {
			o.beginOpen(ctx, n, c.Generation, d)
		}
		if oc == nil {
			continue
		}
		now := time.Now()
		oc.cell.ApplyControl(d, now)
		if accepted && revision >= d.Revision {
			oc.cell.Accepted(now)
		}
	}
}

// beginOpen opens a cell beside the loop, since that takes calls to the store.
func (o *ownership) beginOpen(ctx context.Context, n uint32, generation uint64, d *control.Document) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.opening[n] {
		return
	}
	o.opening[n] = true
	go func() {
		if !o.open(ctx, n, generation, d) {
			pause(ctx, retryPause)
		}
		o.mu.Lock()
		delete(o.opening, n)
		o.mu.Unlock()
		o.board.Poke()
	}()
}

func (o *ownership) owned(n uint32) *ownedCell {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.cells[n]
}

// Cell returns the local cell with this number, nil if it is not owned here.
func (o *ownership) Cell(n uint32) *cell.Cell {
	if oc := o.owned(n); oc != nil {
		return oc.cell
	}
	return nil
}

// Cells returns the local cells.
func (o *ownership) Cells() []*cell.Cell {
	var cells []*cell.Cell
	for _, oc := range o.ownedCells() {
		cells = append(cells, oc.cell)
	}
	return cells
}

// Counters returns what the local cells have counted, closed ones included.
func (o *ownership) Counters() cell.Counters {
	o.mu.Lock()
	sum := o.past
	o.mu.Unlock()
	// A cell's lock is never taken under the ownership's: a cell that answers
	// comes here through the relay.
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

// close ends a local cell that belongs to another entry now.
func (o *ownership) close(n uint32, oc *ownedCell, owner string) {
	o.mu.Lock()
	delete(o.cells, n)
	o.lostTo[n] = owner
	o.mu.Unlock()
	oc.cell.Close()
	counted := oc.cell.State().Counters
	o.mu.Lock()
	o.past.Add(counted)
	o.mu.Unlock()
	o.log.Info("closed a cell", zap.Uint32("cell", n), zap.Uint64("generation", oc.cell.Generation()))
	o.board.Poke()
}

// open makes a local cell, and tells whether it did. It first writes the
// member list under the new generation, so that the old owner can add no agent
// any more.
func (o *ownership) open(ctx context.Context, n uint32, generation uint64, d *control.Document) bool {
	old, storeRevision, err := o.readMembers(ctx, n)
	if err != nil {
		o.log.Warn("member list not read", zap.Uint32("cell", n), zap.Error(err))
		return false
	}
	if old.Generation > generation {
		return false
	}
	now := time.Now()
	oc := &ownedCell{
		cell:          cell.New(o.cellConfig(n, generation), d, old, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), now),
		storeRevision: storeRevision,
	}
	if !o.storeMembers(ctx, oc) {
		return false
	}
	o.mu.Lock()
	o.cells[n] = oc
	o.mu.Unlock()
	o.agents.Adopt(oc.cell)
	o.log.Info("opened a cell", zap.Uint32("cell", n), zap.Uint64("generation", generation))
	return true
}

func (o *ownership) cellConfig(n uint32, generation uint64) cell.Config {
	s := o.settings
	limits := sched.DefaultConfig()
	limits.MaxWaiting = s.MaxWaiting
	return cell.Config{
		Number:          n,
		Generation:      generation,
		Owner:           o.board.self,
		IDRetention:     s.IDRetention.Std(),
		AnswerRetention: s.AnswerRetention.Std(),
		MaxAnswerBytes:  s.MaxAnswerBytes,
		ClockSkew:       s.ClockSkew.Std(),
		LostAfter:       s.LostAfter.Std(),
		Freshness:       s.Freshness.Std(),
		MaxPending:      maxPending,
		Sched:           limits,
		Fresh: func(now time.Time) bool {
			return now.Sub(o.board.OwnerBasis(n, generation, now)) < s.Freshness.Std()
		},
	}
}

// maxPending bounds the submissions held by a cell that is not serving yet.
const maxPending = 20000

func membersKey(n uint32) string { return fmt.Sprintf("pomelosill/members/%d", n) }

func (o *ownership) readMembers(ctx context.Context, n uint32) (cell.Members, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, o.settings.StoreTimeout.Std())
	defer cancel()
	e, err := o.store.Get(ctx, membersKey(n))
	if result.CodeOf(err) == result.StoreNotFound {
		return cell.Members{}, 0, nil
	}
	if err != nil {
		return cell.Members{}, 0, err
	}
	var m cell.Members
	if err := json.Unmarshal(e.Value, &m); err != nil {
		return cell.Members{}, 0, result.Wrap(result.Internal, err, "member list")
	}
	return m, e.Revision, nil
}

// storeMembers brings the member list in the store up to date, and tells
// whether it is.
func (o *ownership) storeMembers(ctx context.Context, oc *ownedCell) bool {
	now := time.Now()
	m := oc.cell.MembersToStore(now)
	if m.Version != oc.storedVersion && !o.swapMembers(ctx, oc, m) {
		return false
	}
	oc.cell.MembersStored(m, now)
	return true
}

func (o *ownership) swapMembers(ctx context.Context, oc *ownedCell, m cell.Members) bool {
	value, err := json.Marshal(m)
	if err != nil {
		return false
	}
	cctx, cancel := context.WithTimeout(ctx, o.settings.StoreTimeout.Std())
	defer cancel()
	revision, err := o.store.CompareAndSwap(cctx, membersKey(m.Cell), oc.storeRevision, value, 0)
	switch result.CodeOf(err) {
	case result.OK:
		oc.storeRevision = revision
		oc.storedVersion = m.Version
		return true
	case result.StoreConflict, result.StoreAnswerLost:
		return o.readBackMembers(ctx, oc, m)
	}
	return false
}

// readBackMembers tells whether a write whose answer was lost, or that met
// another revision, had taken effect before.
func (o *ownership) readBackMembers(ctx context.Context, oc *ownedCell, m cell.Members) bool {
	held, revision, err := o.readMembers(ctx, m.Cell)
	if err != nil || held.Generation > m.Generation {
		return false
	}
	oc.storeRevision = revision
	if held.Generation != m.Generation || held.Version != m.Version {
		return false
	}
	oc.storedVersion = m.Version
	return true
}
