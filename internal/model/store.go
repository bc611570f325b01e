package model

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/cell"
	"github.com/pomelosill/pomelosill/internal/control"
)

const (
	storeTimeout = time.Second
	leaseTTL     = 3 * time.Second
)

// kvStore is the platform's store. Documents are never written to once they
// are in it.
type kvStore struct {
	process
	awayTo, slowTo, losesTo time.Duration

	doc         *control.Document
	docRevision uint64
	members     map[uint32]membersValue
	revision    uint64
	leases      map[string]time.Duration
}

type membersValue struct {
	list     cell.Members
	revision uint64
}

func newStore(w *World) *kvStore {
	return &kvStore{
		process: newProcess(w, "store"),
		members: map[uint32]membersValue{},
		leases:  map[string]time.Duration{},
	}
}

// call runs op at the store and then done at the caller. Without an answer in
// time failed runs; op may have taken effect by then, or may yet do so.
func (s *kvStore) call(from *process, op func(), done, failed func()) {
	over := false
	s.w.after(storeTimeout, from, func() {
		if !over {
			over = true
			failed()
		}
	})
	s.w.send(from, &s.process, func() {
		if s.w.at < s.awayTo {
			return
		}
		op()
		s.answer(from, func() {
			if !over {
				over = true
				done()
			}
		})
	})
}

func (s *kvStore) answer(to *process, f func()) {
	if s.w.at < s.losesTo && s.w.chance(0.5) {
		return
	}
	late := time.Duration(0)
	if s.w.at < s.slowTo {
		late = s.w.between(0, 1500*time.Millisecond)
	}
	s.w.after(late, &s.process, func() { s.w.send(&s.process, to, f) })
}

// swapDocument is a compare-and-swap of the control document.
func (s *kvStore) swapDocument(expect uint64, d *control.Document) bool {
	if s.docRevision != expect {
		return false
	}
	s.w.checks.documentWritten(s.doc, d)
	s.revision++
	s.doc = d
	s.docRevision = s.revision
	return true
}

// swapMembers is a compare-and-swap of a member list.
func (s *kvStore) swapMembers(n uint32, expect uint64, m cell.Members) bool {
	if s.members[n].revision != expect {
		return false
	}
	s.revision++
	s.members[n] = membersValue{m, s.revision}
	return true
}

// holders returns who holds a lease.
func (s *kvStore) holders() map[string]bool {
	out := map[string]bool{}
	for id, until := range s.leases {
		if s.w.at < until {
			out[id] = true
		}
	}
	return out
}
