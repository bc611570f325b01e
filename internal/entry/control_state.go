package entry

import (
	"sync"
	"time"

	"github.com/pomelosill/pomelosill/internal/control"
)

// controlState is the control state that the entry's controllers share: the
// control document, its latest confirmations and the revisions acknowledged by
// each member. Controllers communicate through it instead of calling each
// other. The document's revision never decreases.
type controlState struct {
	// self is the id of this entry.
	self string

	mu       sync.Mutex
	document *control.Document
	// storeRevision is the revision of the document's key in the store. It is
	// zero if the document came from another entry.
	storeRevision uint64
	confirmations control.Confirmations
	// acks is the highest revision that each member is known to hold.
	acks map[string]uint64
	// expiredLeases is the set of members whose lease in the store has expired.
	expiredLeases map[string]bool
	leaving       bool
	departed      bool
	changed       chan struct{}
	// documentChanged is closed when the document changes. It spares readers
	// that don't use confirmations the more frequent closing of changed.
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

// Changed returns a channel that is closed at the next change of the control
// state.
func (s *controlState) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// DocumentChanged returns a channel that is closed at the next change of the
// document.
func (s *controlState) DocumentChanged() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.documentChanged
}

func (s *controlState) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Document returns the current document, or nil before the first one is read.
// Callers must not modify it.
func (s *controlState) Document() *control.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.document
}

// UpdateFromStore records a document read from the store. requestedAt is when
// the read was requested.
func (s *controlState) UpdateFromStore(d *control.Document, storeRevision uint64, requestedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.document != nil && d.Revision < s.document.Revision {
		return
	}
	s.storeRevision = storeRevision
	s.setDocumentLocked(d)
	s.confirmFromStoreLocked(requestedAt)
}

// ConfirmFromStore records that a read, requested at requestedAt, found the
// document unchanged at storeRevision.
func (s *controlState) ConfirmFromStore(storeRevision uint64, requestedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.document == nil || s.storeRevision != storeRevision {
		return
	}
	s.confirmFromStoreLocked(requestedAt)
}

func (s *controlState) confirmFromStoreLocked(requestedAt time.Time) {
	if requestedAt.After(s.confirmations.Store) {
		s.confirmations.Store = requestedAt
		s.notifyLocked()
	}
}

// UpdateFromPeer records a document received from another entry.
func (s *controlState) UpdateFromPeer(d *control.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.document != nil && d.Revision <= s.document.Revision {
		return
	}
	s.storeRevision = 0
	s.setDocumentLocked(d)
}

// updateFromExchange records the document in a message of another entry, if the
// message has a valid one.
func (s *controlState) updateFromExchange(text []byte) {
	if len(text) == 0 {
		return
	}
	if d, err := control.Decode(text); err == nil {
		s.UpdateFromPeer(d)
	}
}

// setDocumentLocked replaces the document by a newer one and keeps the
// confirmations: a member that held nothing newer than the previous revision
// held nothing newer than this one either.
func (s *controlState) setDocumentLocked(d *control.Document) {
	if s.document != nil && d.Revision == s.document.Revision {
		return
	}
	s.document = d
	s.acks[s.self] = d.Revision
	close(s.documentChanged)
	s.documentChanged = make(chan struct{})
	s.notifyLocked()
}

// RecordExchange records a member's answer to an exchange requested at
// requestedAt. vouched means that the member is on the roster and held no newer
// document.
func (s *controlState) RecordExchange(id string, revision uint64, vouched bool, requestedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acks[id] = max(s.acks[id], revision)
	if vouched && requestedAt.After(s.confirmations.Peers[id]) {
		s.confirmations.Peers[id] = requestedAt
	}
	s.notifyLocked()
}

// SetLeaseHolders records which members hold a lease in the store.
func (s *controlState) SetLeaseHolders(holders map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expiredLeases = map[string]bool{}
	if s.document == nil {
		return
	}
	for _, m := range s.document.Roster {
		if !holders[m.ID] {
			s.expiredLeases[m.ID] = true
		}
	}
	s.notifyLocked()
}

// LeaseExpired reports whether a member's lease in the store has expired.
func (s *controlState) LeaseExpired(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.expiredLeases[id]
}

// ConfirmedAt returns the latest instant at which no newer document can have been
// accepted, or the zero time if the document is not confirmed.
func (s *controlState) ConfirmedAt(now time.Time) time.Time {
	_, confirmedAt := s.ConfirmedDocument(now)
	return confirmedAt
}

// ConfirmedDocument returns the document together with its ConfirmedAt. With two
// separate calls a caller could apply the confirmation of a newer document to an
// older one.
func (s *controlState) ConfirmedDocument(now time.Time) (*control.Document, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.document == nil || s.departed {
		return s.document, time.Time{}
	}
	return s.document, control.ConfirmedAt(s.document, s.self, s.confirmations, now)
}

// OwnershipConfirmedAt returns ConfirmedAt if the document names this entry as
// the owner of the cell under the generation. Otherwise it returns the zero
// time, since a confirmation of the document then proves that the ownership has
// ended.
func (s *controlState) OwnershipConfirmedAt(cell uint32, generation uint64, now time.Time) time.Time {
	d, confirmedAt := s.ConfirmedDocument(now)
	if !isOwner(d, s.self, cell, generation) {
		return time.Time{}
	}
	return confirmedAt
}

// isOwner reports whether the document names the member as the owner of the
// cell under the generation.
func isOwner(d *control.Document, id string, cell uint32, generation uint64) bool {
	if d == nil || int(cell) >= len(d.Cells) {
		return false
	}
	c := d.Cells[cell]
	return c.Owner == id && c.Generation == generation
}

// SetLeaving marks the entry as shutting down.
func (s *controlState) SetLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.notifyLocked()
}

// SetDeparted marks the entry as removing itself from the roster. Other entries
// treat a removed entry as ended, and this one cannot know when the removal
// takes effect. So from now on it confirms no revision to others, and its own
// document counts as unconfirmed.
func (s *controlState) SetDeparted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.departed = true
	s.notifyLocked()
}

// CanConfirm reports whether this entry may confirm to another one, which holds
// the revision theirs, that no newer document is known here.
func (s *controlState) CanConfirm(theirs uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.document != nil && !s.departed && control.CanConfirm(s.document, s.self, theirs)
}

// Leaving reports whether the entry is shutting down.
func (s *controlState) Leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// DocumentAndStoreRevision returns the document and the store revision that the
// next write of the document must compare with. The revision is zero while it is
// unknown.
func (s *controlState) DocumentAndStoreRevision() (*control.Document, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.document, s.storeRevision
}

// StoreConfirmedAt returns the start of the last read in which the store
// confirmed the document.
func (s *controlState) StoreConfirmedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmations.Store
}

// Notify wakes all goroutines that wait for a change.
func (s *controlState) Notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyLocked()
}
