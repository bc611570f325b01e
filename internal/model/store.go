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
	unavailableUntil, slowUntil, losesAnswersUntil time.Duration

	document         *control.Document
	documentRevision uint64
	members          map[uint32]storedAgentList
	revision         uint64
	leases           map[string]time.Duration
}

type storedAgentList struct {
	list     cell.AgentList
	revision uint64
}

func newStore(w *Simulation) *kvStore {
	return &kvStore{
		process: newProcess(w, "store"),
		members: map[uint32]storedAgentList{},
		leases:  map[string]time.Duration{},
	}
}

// call runs op at the store and then done at the caller. Without an answer in
// time failed runs; op may have taken effect by then, or may yet do so.
func (s *kvStore) call(from *process, op func(), done, failed func()) {
	over := false
	s.sim.schedule(storeTimeout, from, func() {
		if !over {
			over = true
			failed()
		}
	})
	s.sim.send(from, &s.process, func() {
		if s.sim.elapsed < s.unavailableUntil {
			return
		}
		op()
		s.sendAnswer(from, func() {
			if !over {
				over = true
				done()
			}
		})
	})
}

func (s *kvStore) sendAnswer(to *process, f func()) {
	if s.sim.elapsed < s.losesAnswersUntil && s.sim.chance(0.5) {
		return
	}
	late := time.Duration(0)
	if s.sim.elapsed < s.slowUntil {
		late = s.sim.randomDuration(0, 1500*time.Millisecond)
	}
	s.sim.schedule(late, &s.process, func() { s.sim.send(&s.process, to, f) })
}

// compareAndSwapDocument is a compare-and-swap of the control document.
func (s *kvStore) compareAndSwapDocument(expect uint64, d *control.Document) bool {
	if s.documentRevision != expect {
		return false
	}
	s.sim.checker.documentWritten(s.document, d)
	s.revision++
	s.document = d
	s.documentRevision = s.revision
	return true
}

// compareAndSwapAgentList is a compare-and-swap of a member list.
func (s *kvStore) compareAndSwapAgentList(n uint32, expect uint64, m cell.AgentList) bool {
	if s.members[n].revision != expect {
		return false
	}
	s.revision++
	s.members[n] = storedAgentList{m, s.revision}
	return true
}

// leaseHolders returns who holds a lease.
func (s *kvStore) leaseHolders() map[string]bool {
	out := map[string]bool{}
	for id, until := range s.leases {
		if s.sim.elapsed < until {
			out[id] = true
		}
	}
	return out
}
