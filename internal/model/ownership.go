package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pomelosill/pomelosill/internal/cell"
	"github.com/pomelosill/pomelosill/internal/control"
	"github.com/pomelosill/pomelosill/internal/sched"
)

// team is the only team of a run.
const team = "alerts"

// documentChange returns the next document, nil if there is nothing to change.
type documentChange func(d *control.Document, operation string) *control.Document

// writeNextChange writes the first change that is due, if the store's document
// is known.
func (e *entry) writeNextChange() {
	if e.writing {
		return
	}
	if e.storeRevision == 0 {
		e.readRequested = true
		return
	}
	for _, change := range []documentChange{e.applyEdit, e.join, e.removeDead, e.takeOver, e.assignDeputies} {
		operation := fmt.Sprintf("%s/%d", e.id, e.sim.seq)
		next := change(e.document.FinishRosterChange(e.ackedBy(e.document.Revision)), operation)
		if next != nil {
			e.writeDocument(next)
			return
		}
	}
}

// writeDocument writes a document. After any result but success, the store is
// read before the next write in order to find out whether this one took effect.
func (e *entry) writeDocument(next *control.Document) {
	e.writing = true
	expected, requestedAt := e.storeRevision, e.now()
	s := e.sim.store
	swapped := false
	var revision uint64
	e.storeRevision = 0
	s.call(&e.process, func() {
		swapped = s.compareAndSwapDocument(expected, next)
		revision = s.documentRevision
	}, func() {
		e.writing = false
		if swapped {
			e.applyFromStore(next, revision, requestedAt)
			return
		}
		e.readRequested = true
	}, func() {
		e.writing = false
		e.readRequested = true
	})
}

// bootstrap writes the first document.
func (sim *Simulation) bootstrap(e *entry) {
	d := control.NewDocument(e.member(), sim.cfg.Cells, "first")
	d.Config.Teams = []control.Team{{Name: team, Weight: 1}}
	if sim.store.documentRevision == 0 {
		sim.store.compareAndSwapDocument(0, d)
	}
}

func (e *entry) member() control.Member {
	return control.Member{ID: e.id, Address: e.name, FailureDomain: e.domain}
}

func (e *entry) applyEdit(d *control.Document, operation string) *control.Document {
	if len(e.edits) == 0 {
		return nil
	}
	edit := e.edits[0]
	edit.KnownRevision = d.Revision
	next, err := control.ApplyEdit(d, edit, operation, e.now())
	if err != nil || next == nil {
		e.pendingEdits = append(e.pendingEdits, pendingEdit{edit.Domain.Name, edit.Domain.Out})
		e.edits = e.edits[1:]
		return nil
	}
	return next
}

func (e *entry) join(d *control.Document, operation string) *control.Document {
	if d.HasMember(e.id) || !e.hasLease {
		return nil
	}
	next, err := control.AddMember(d, e.member(), operation, e.ackedBy(d.Revision))
	if err != nil {
		return nil
	}
	return next
}

// removeDead removes one member that neither holds a lease nor responds.
func (e *entry) removeDead(d *control.Document, operation string) *control.Document {
	if !e.hasLease || !d.HasMember(e.id) {
		return nil
	}
	for _, m := range d.Roster {
		if m.ID == e.id || e.leaseHolders[m.ID] || e.alive(m.ID) {
			continue
		}
		next, err := control.RemoveMember(d, m.ID, operation, false, e.ackedBy(d.Revision))
		if err == nil {
			return next
		}
	}
	return nil
}

func (e *entry) takeOver(d *control.Document, operation string) *control.Document {
	if !d.HasMember(e.id) {
		return nil
	}
	var cells []int
	for i, c := range d.Cells {
		if c.Owner != e.id && control.PreferredOwner(d, i, e.alive) == e.id {
			cells = append(cells, i)
		}
	}
	if len(cells) == 0 {
		return nil
	}
	return control.TakeOver(d, cells, e.id, operation, e.alive)
}

func (e *entry) assignDeputies(d *control.Document, operation string) *control.Document {
	return control.SetDeputies(d, e.id, operation, e.alive)
}

// reconcileCells opens and closes local cells according to the document.
func (e *entry) reconcileCells(now time.Time) {
	d := e.document
	accepted := control.Accepted(d, e.ackedBy(d.Revision))
	for _, n := range e.cellNumbers() {
		c := d.Cells[n]
		oc := e.cells[n]
		owned := c.Owner == e.id
		if oc != nil && (!owned || oc.cell.Generation() != c.Generation) {
			oc.cell.Close()
			delete(e.cells, n)
			oc = nil
		}
		if owned && oc == nil && !e.opening[n] {
			e.openCell(n, c.Generation)
		}
		if oc == nil {
			continue
		}
		oc.cell.ApplyControl(d, now)
		if accepted {
			oc.cell.AcceptOwnership(now)
		}
	}
}

// openCell reads a cell's agent list and writes it under the new generation.
func (e *entry) openCell(n uint32, generation uint64) {
	e.opening[n] = true
	s := e.sim.store
	var old storedAgentList
	s.call(&e.process, func() { old = s.agentLists[n] }, func() {
		if old.list.Generation > generation {
			e.opening[n] = false
			return
		}
		now := e.now()
		rnd := rand.New(rand.NewPCG(e.sim.rnd.Uint64(), 0))
		oc := &ownedCell{cell: cell.New(e.cellConfig(n, generation), e.document, old.list, rnd, now), storeRevision: old.revision}
		e.writeAgentList(n, oc, func(ok bool) {
			e.opening[n] = false
			if ok {
				e.startCell(n, oc)
			}
		})
	}, func() { e.opening[n] = false })
}

// startCell attaches the agents that are connected already to a new local cell.
func (e *entry) startCell(n uint32, oc *ownedCell) {
	e.sim.checker.stats.Takeovers++
	e.cells[n] = oc
	for _, s := range e.streams {
		if s.attached && s.hello.GetCell() == n {
			oc.cell.Attach(s.hello, s, e.now())
		}
	}
}

func (e *entry) cellConfig(n uint32, generation uint64) cell.Config {
	return cell.Config{
		Number:          n,
		Generation:      generation,
		Owner:           e.id,
		IDRetention:     idRetention,
		AnswerRetention: 10 * time.Second,
		ClockSkew:       clockSkew,
		LostAfter:       5 * time.Second,
		Freshness:       freshness,
		MaxPending:      1000,
		Sched:           sched.DefaultConfig(),
		IsFresh:         e.fresh,
	}
}

// persistAgentLists keeps the agent lists in the store up to date.
func (e *entry) persistAgentLists() {
	for _, n := range e.cellNumbers() {
		oc := e.cells[n]
		if oc == nil || oc.writing {
			continue
		}
		list := oc.cell.AgentListToStore(e.now())
		if list.Version == oc.storedVersion {
			oc.cell.MarkAgentListStored(list, e.now())
			continue
		}
		e.writeAgentList(n, oc, func(bool) {})
	}
}

// writeAgentList writes an agent list. If it gets no response, it reads the
// list back. Then it reports to then whether the list is stored.
func (e *entry) writeAgentList(n uint32, oc *ownedCell, then func(ok bool)) {
	oc.writing = true
	s := e.sim.store
	list := oc.cell.AgentListToStore(e.now())
	expected := oc.storeRevision
	var stored storedAgentList
	e.sim.store.call(&e.process, func() {
		s.compareAndSwapAgentList(n, expected, list)
		stored = s.agentLists[n]
	}, func() {
		then(e.confirmAgentListWrite(oc, list, stored))
	}, func() {
		s.call(&e.process, func() { stored = s.agentLists[n] }, func() {
			then(e.confirmAgentListWrite(oc, list, stored))
		}, func() {
			oc.writing = false
			then(false)
		})
	})
}

// confirmAgentListWrite reports whether the store holds the list that was
// written.
func (e *entry) confirmAgentListWrite(oc *ownedCell, list cell.AgentList, stored storedAgentList) bool {
	oc.writing = false
	if stored.list.Generation > list.Generation {
		return false
	}
	oc.storeRevision = stored.revision
	if stored.list.Generation != list.Generation || stored.list.Version != list.Version {
		return false
	}
	oc.storedVersion = list.Version
	oc.cell.MarkAgentListStored(list, e.now())
	return true
}

// reportAcceptedEdits reports edits to operators once they are accepted.
func (e *entry) reportAcceptedEdits() {
	if len(e.pendingEdits) == 0 || !control.Accepted(e.document, e.ackedBy(e.document.Revision)) {
		return
	}
	for _, p := range e.pendingEdits {
		inService := e.document.Config.InService("", p.domain)
		if p.out && !inService {
			e.sim.checker.domainOutAccepted(p.domain)
		}
	}
	e.pendingEdits = nil
}
