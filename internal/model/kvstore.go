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

// kvStore simulates the platform's store. Documents in it are never modified.
type kvStore struct {
	process
	unavailableUntil, slowUntil, losesAnswersUntil time.Duration

	document         *control.Document
	documentRevision uint64
	agentLists       map[uint32]storedAgentList
	revision         uint64
	leases           map[string]time.Duration
}

type storedAgentList struct {
	list     cell.AgentList
	revision uint64
}

func newStore(sim *Simulation) *kvStore {
	return &kvStore{
		process:    newProcess(sim, "store"),
		agentLists: map[uint32]storedAgentList{},
		leases:     map[string]time.Duration{},
	}
}

// call runs op at the store and then done at the caller. Without a response
// within storeTimeout it runs failed; op may have taken effect by then, or may
// still do so.
func (s *kvStore) call(from *process, op func(), done, failed func()) {
	finished := false
	s.sim.schedule(storeTimeout, from, func() {
		if !finished {
			finished = true
			failed()
		}
	})
	s.sim.send(from, &s.process, func() {
		if s.sim.elapsed < s.unavailableUntil {
			return
		}
		op()
		s.sendAnswer(from, func() {
			if !finished {
				finished = true
				done()
			}
		})
	})
}

func (s *kvStore) sendAnswer(to *process, f func()) {
	if s.sim.elapsed < s.losesAnswersUntil && s.sim.chance(0.5) {
		return
	}
	delay := time.Duration(0)
	if s.sim.elapsed < s.slowUntil {
		delay = s.sim.randomDuration(0, 1500*time.Millisecond)
	}
	s.sim.schedule(delay, &s.process, func() { s.sim.send(&s.process, to, f) })
}

// compareAndSwapDocument replaces the control document if its revision is the
// expected one, and reports whether it did.
func (s *kvStore) compareAndSwapDocument(expected uint64, d *control.Document) bool {
	if s.documentRevision != expected {
		return false
	}
	s.sim.checker.documentWritten(s.document, d)
	s.revision++
	s.document = d
	s.documentRevision = s.revision
	return true
}

// compareAndSwapAgentList replaces a cell's agent list if its revision is the
// expected one, and reports whether it did.
func (s *kvStore) compareAndSwapAgentList(n uint32, expected uint64, list cell.AgentList) bool {
	if s.agentLists[n].revision != expected {
		return false
	}
	s.revision++
	s.agentLists[n] = storedAgentList{list, s.revision}
	return true
}

// leaseHolders returns the IDs of the entries that hold a lease.
func (s *kvStore) leaseHolders() map[string]bool {
	out := map[string]bool{}
	for id, until := range s.leases {
		if s.sim.elapsed < until {
			out[id] = true
		}
	}
	return out
}
