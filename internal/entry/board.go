package entry

import (
	"maps"
	"sync"
	"time"

	"github.com/pomelosill/pomelosill/internal/control"
)

// controlState is the entry's blackboard: the control document, what confirms it and
// who has acknowledged it. Controllers read and write it and do not call each
// other. The document's revision never falls.
type controlState struct {
	self string

	mu       sync.Mutex
	document *control.Document
	// storeRevision is the store's revision of the key that doc came from;
	// it is known only while doc came from the store.
	storeRevision uint64
	confirmations control.Confirmations
	// acks are the revisions that members are known to hold.
	acks map[string]uint64
	// expiredLeases are members whose lease in the store has lapsed.
	expiredLeases map[string]bool
	leaving       bool
	departed      bool
	changed       chan struct{}
	// documentChanged is closed when the document changes, for those whom its
	// confirmations don't matter.
	documentChanged chan struct{}
}

func newControlState(self string) *controlState {
	return &controlState{
		self:            self,
		confirmations:   control.Confirmations{Peers: map[string]time.Time{}},
		acks:            map[string]uint64{},
		expiredLeases:   map[string]bool{},
		changed:         make(chan struct{}),
		documentChanged: make(chan struct{}),
	}
}

// Changed returns a channel that is closed at the next change of the board.
func (b *controlState) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// DocumentChanged returns a channel that is closed at the next change of the
// document.
func (b *controlState) DocumentChanged() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.documentChanged
}

func (b *controlState) notifyLocked() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Document returns the present document, nil before the first. It must not be
// written to.
func (b *controlState) Document() *control.Document {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.document
}

// UpdateFromStore takes the document that the store held when asked.
func (b *controlState) UpdateFromStore(d *control.Document, storeRevision uint64, asked time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.document != nil && d.Revision < b.document.Revision {
		return
	}
	b.storeRevision = storeRevision
	b.setDocumentLocked(d)
	b.confirmFromStoreLocked(asked)
}

// ConfirmFromStore notes that the store, when asked, held nothing newer than
// the revision of the store given.
func (b *controlState) ConfirmFromStore(storeRevision uint64, asked time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.document == nil || b.storeRevision != storeRevision {
		return
	}
	b.confirmFromStoreLocked(asked)
}

func (b *controlState) confirmFromStoreLocked(asked time.Time) {
	if asked.After(b.confirmations.Store) {
		b.confirmations.Store = asked
		b.notifyLocked()
	}
}

// UpdateFromPeer takes a document that another entry holds.
func (b *controlState) UpdateFromPeer(d *control.Document) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.document != nil && d.Revision <= b.document.Revision {
		return
	}
	b.storeRevision = 0
	b.setDocumentLocked(d)
}

// setDocumentLocked replaces the document by a newer one. Confirmations of an older
// revision confirm nothing of a newer one's absence, but they stay true for
// it: who held nothing newer than the older revision held nothing newer than
// this one.
func (b *controlState) setDocumentLocked(d *control.Document) {
	if b.document != nil && d.Revision == b.document.Revision {
		return
	}
	b.document = d
	b.acks[b.self] = d.Revision
	close(b.documentChanged)
	b.documentChanged = make(chan struct{})
	b.notifyLocked()
}

// RecordExchange notes a member's answer to a question asked at the instant.
func (b *controlState) RecordExchange(id string, revision uint64, vouched bool, asked time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.acks[id] = max(b.acks[id], revision)
	if vouched && asked.After(b.confirmations.Peers[id]) {
		b.confirmations.Peers[id] = asked
	}
	b.notifyLocked()
}

// RecordRevision notes that a member was heard by itself.
func (b *controlState) RecordRevision(id string, revision uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if revision > b.acks[id] {
		b.acks[id] = revision
		b.notifyLocked()
	}
}

// SetLeaseHolders notes which members hold a lease in the store.
func (b *controlState) SetLeaseHolders(alive map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expiredLeases = map[string]bool{}
	if b.document == nil {
		return
	}
	for _, m := range b.document.Roster {
		if !alive[m.ID] {
			b.expiredLeases[m.ID] = true
		}
	}
	b.notifyLocked()
}

// LeaseExpired tells whether a member's lease has lapsed in the store.
func (b *controlState) LeaseExpired(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.expiredLeases[id]
}

// ConfirmedAt returns the instant since which nothing newer can have been accepted.
func (b *controlState) ConfirmedAt(now time.Time) time.Time {
	_, basis := b.ConfirmedDocument(now)
	return basis
}

// ConfirmedDocument returns the document together with its basis. Read one after the
// other, the basis of a newer document could be taken for the older one's.
func (b *controlState) ConfirmedDocument(now time.Time) (*control.Document, time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.document == nil || b.departed {
		return b.document, time.Time{}
	}
	return b.document, control.ConfirmedAt(b.document, b.self, b.confirmations, now)
}

// OwnershipConfirmedAt returns the basis of the document if it names this entry as the
// owner of a cell under a generation, and the zero time otherwise: what
// confirms the document says then that the ownership has ended.
func (b *controlState) OwnershipConfirmedAt(cell uint32, generation uint64, now time.Time) time.Time {
	d, basis := b.ConfirmedDocument(now)
	if !isOwner(d, b.self, cell, generation) {
		return time.Time{}
	}
	return basis
}

// isOwner tells whether the document names a member as the owner of a cell under
// a generation.
func isOwner(d *control.Document, id string, cell uint32, generation uint64) bool {
	if d == nil || int(cell) >= len(d.Cells) {
		return false
	}
	c := d.Cells[cell]
	return c.Owner == id && c.Generation == generation
}

// Acked returns a test for which members hold at least a revision.
func (b *controlState) Acked(revision uint64) func(id string) bool {
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
func (b *controlState) Accepted() (uint64, bool) {
	d := b.Document()
	if d == nil {
		return 0, false
	}
	return d.Revision, control.Accepted(d, b.Acked(d.Revision))
}

// Unacked names the members that are not known to hold a revision.
func (b *controlState) Unacked(revision uint64) []string {
	d := b.Document()
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
func (b *controlState) SetLeaving() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = true
	b.notifyLocked()
}

// SetDeparted marks the entry as taking itself off the roster. Whether that has
// taken effect or not, it counts from now on as one whose process has ended:
// it must not vouch for its document, and nothing confirms it any more.
func (b *controlState) SetDeparted() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.departed = true
	b.notifyLocked()
}

// CanConfirm tells whether this entry may vouch for one that holds a revision.
func (b *controlState) CanConfirm(theirs uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.document != nil && !b.departed && control.CanConfirm(b.document, b.self, theirs)
}

// Leaving tells whether the entry is shutting down.
func (b *controlState) Leaving() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaving
}

// DocumentAndStoreRevision returns the revision to compare with in the next write of the
// control document, zero while it is not known.
func (b *controlState) DocumentAndStoreRevision() (*control.Document, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.document, b.storeRevision
}

// StoreConfirmedAt returns when the store was last asked and confirmed the
// document.
func (b *controlState) StoreConfirmedAt() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.confirmations.Store
}

// Notify wakes whoever waits for a change of the board.
func (b *controlState) Notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notifyLocked()
}

// Acks returns the revisions that members are known to hold.
func (b *controlState) Acks() map[string]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.acks)
}
