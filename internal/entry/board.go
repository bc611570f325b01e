package entry

import (
	"maps"
	"sync"
	"time"

	"github.com/pomelosill/pomelosill/internal/control"
)

// board is the entry's blackboard: the control document, what confirms it and
// who has acknowledged it. Controllers read and write it and do not call each
// other. The document's revision never falls.
type board struct {
	self string

	mu  sync.Mutex
	doc *control.Document
	// storeRevision is the store's revision of the key that doc came from;
	// it is known only while doc came from the store.
	storeRevision uint64
	confirmations control.Confirmations
	// acks are the revisions that members are known to hold.
	acks map[string]uint64
	// leaseGone are members whose lease in the store has lapsed.
	leaseGone map[string]bool
	leaving   bool
	gone      bool
	changed   chan struct{}
	// docChanged is closed when the document changes, for those whom its
	// confirmations don't matter.
	docChanged chan struct{}
}

func newBoard(self string) *board {
	return &board{
		self:          self,
		confirmations: control.Confirmations{Peers: map[string]time.Time{}},
		acks:          map[string]uint64{},
		leaseGone:     map[string]bool{},
		changed:       make(chan struct{}),
		docChanged:    make(chan struct{}),
	}
}

// Changed returns a channel that is closed at the next change of the board.
func (b *board) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// DocChanged returns a channel that is closed at the next change of the
// document.
func (b *board) DocChanged() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.docChanged
}

func (b *board) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Doc returns the present document, nil before the first. It must not be
// written to.
func (b *board) Doc() *control.Document {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.doc
}

// FromStore takes the document that the store held when asked.
func (b *board) FromStore(d *control.Document, storeRevision uint64, asked time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.doc != nil && d.Revision < b.doc.Revision {
		return
	}
	b.storeRevision = storeRevision
	b.adopt(d)
	b.confirmStore(asked)
}

// StoreUnchanged notes that the store, when asked, held nothing newer than
// the revision of the store given.
func (b *board) StoreUnchanged(storeRevision uint64, asked time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.doc == nil || b.storeRevision != storeRevision {
		return
	}
	b.confirmStore(asked)
}

func (b *board) confirmStore(asked time.Time) {
	if asked.After(b.confirmations.Store) {
		b.confirmations.Store = asked
		b.notify()
	}
}

// FromPeer takes a document that another entry holds.
func (b *board) FromPeer(d *control.Document) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.doc != nil && d.Revision <= b.doc.Revision {
		return
	}
	b.storeRevision = 0
	b.adopt(d)
}

// adopt replaces the document by a newer one. Confirmations of an older
// revision confirm nothing of a newer one's absence, but they stay true for
// it: who held nothing newer than the older revision held nothing newer than
// this one.
func (b *board) adopt(d *control.Document) {
	if b.doc != nil && d.Revision == b.doc.Revision {
		return
	}
	b.doc = d
	b.acks[b.self] = d.Revision
	close(b.docChanged)
	b.docChanged = make(chan struct{})
	b.notify()
}

// PeerAnswered notes a member's answer to a question asked at the instant.
func (b *board) PeerAnswered(id string, revision uint64, vouched bool, asked time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.acks[id] = max(b.acks[id], revision)
	if vouched && asked.After(b.confirmations.Peers[id]) {
		b.confirmations.Peers[id] = asked
	}
	b.notify()
}

// Heard notes that a member was heard by itself.
func (b *board) Heard(id string, revision uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if revision > b.acks[id] {
		b.acks[id] = revision
		b.notify()
	}
}

// SetLeases notes which members hold a lease in the store.
func (b *board) SetLeases(alive map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaseGone = map[string]bool{}
	if b.doc == nil {
		return
	}
	for _, m := range b.doc.Roster {
		if !alive[m.ID] {
			b.leaseGone[m.ID] = true
		}
	}
	b.notify()
}

// LeaseGone tells whether a member's lease has lapsed in the store.
func (b *board) LeaseGone(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaseGone[id]
}

// Basis returns the instant since which nothing newer can have been accepted.
func (b *board) Basis(now time.Time) time.Time {
	_, basis := b.Confirmed(now)
	return basis
}

// Confirmed returns the document together with its basis. Read one after the
// other, the basis of a newer document could be taken for the older one's.
func (b *board) Confirmed(now time.Time) (*control.Document, time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.doc == nil || b.gone {
		return b.doc, time.Time{}
	}
	return b.doc, control.Basis(b.doc, b.self, b.confirmations, now)
}

// OwnerBasis returns the basis of the document if it names this entry as the
// owner of a cell under a generation, and the zero time otherwise: what
// confirms the document says then that the ownership has ended.
func (b *board) OwnerBasis(cell uint32, generation uint64, now time.Time) time.Time {
	d, basis := b.Confirmed(now)
	if !owns(d, b.self, cell, generation) {
		return time.Time{}
	}
	return basis
}

// owns tells whether the document names a member as the owner of a cell under
// a generation.
func owns(d *control.Document, id string, cell uint32, generation uint64) bool {
	if d == nil || int(cell) >= len(d.Cells) {
		return false
	}
	c := d.Cells[cell]
	return c.Owner == id && c.Generation == generation
}

// Acked returns a test for which members hold at least a revision.
func (b *board) Acked(revision uint64) func(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := make(map[string]bool, len(b.acks))
	for id, r := range b.acks {
		held[id] = r >= revision
	}
	return func(id string) bool { return held[id] }
}

// Accepted tells whether the present document has been accepted, and its
// revision.
func (b *board) Accepted() (uint64, bool) {
	d := b.Doc()
	if d == nil {
		return 0, false
	}
	return d.Revision, control.Accepted(d, b.Acked(d.Revision))
}

// Unacked names the members that are not known to hold a revision.
func (b *board) Unacked(revision uint64) []string {
	d := b.Doc()
	acked := b.Acked(revision)
	var names []string
	for _, m := range d.Roster {
		if !acked(m.ID) {
			names = append(names, "entry "+m.ID)
		}
	}
	return names
}

// SetLeaving marks the entry as shutting down.
func (b *board) SetLeaving() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = true
	b.notify()
}

// SetGone marks the entry as taking itself off the roster. Whether that has
// taken effect or not, it counts from now on as one whose process has ended:
// it must not vouch for its document, and nothing confirms it any more.
func (b *board) SetGone() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gone = true
	b.notify()
}

// Vouches tells whether this entry may vouch for one that holds a revision.
func (b *board) Vouches(theirs uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.doc != nil && !b.gone && control.Vouches(b.doc, b.self, theirs)
}

// Leaving tells whether the entry is shutting down.
func (b *board) Leaving() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaving
}

// StoreRevision returns the revision to compare with in the next write of the
// control document, zero while it is not known.
func (b *board) StoreRevision() (*control.Document, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.doc, b.storeRevision
}

// StoreConfirmed returns when the store was last asked and confirmed the
// document.
func (b *board) StoreConfirmed() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.confirmations.Store
}

// Poke wakes whoever waits for a change of the board.
func (b *board) Poke() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notify()
}

// Acks returns the revisions that members are known to hold.
func (b *board) Acks() map[string]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.acks)
}
