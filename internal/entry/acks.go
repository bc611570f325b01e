package entry

import (
	"maps"

	"github.com/pomelosill/pomelosill/internal/control"
)

// RecordRevision records the revision that a member reported when it called this
// entry.
func (s *controlState) RecordRevision(id string, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision > s.acks[id] {
		s.acks[id] = revision
		s.notifyLocked()
	}
}

// Acked returns a function that reports whether a member is known to hold at
// least the revision.
func (s *controlState) Acked(revision uint64) func(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := make(map[string]bool, len(s.acks))
	for id, r := range s.acks {
		held[id] = r >= revision
	}
	return func(id string) bool { return held[id] }
}

// Accepted returns the revision of the current document and reports whether it
// has been accepted.
func (s *controlState) Accepted() (uint64, bool) {
	d := s.Document()
	if d == nil {
		return 0, false
	}
	return d.Revision, control.Accepted(d, s.Acked(d.Revision))
}

// Unacked returns the members that are not known to hold at least the revision,
// each as "entry ID".
func (s *controlState) Unacked(revision uint64) []string {
	d := s.Document()
	acked := s.Acked(revision)
	var names []string
	for _, m := range d.Roster {
		if !acked(m.ID) {
			names = append(names, "entry "+m.ID)
		}
	}
	return names
}

// Acks returns the highest revision that each member is known to hold.
func (s *controlState) Acks() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.acks)
}
