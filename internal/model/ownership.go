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

// documentChange makes the next document; nil means that nothing is to be changed.
type documentChange func(d *control.Document, operation string) *control.Document

// writeNextChange does the first change that is due, if the store's document is known.
func (e *entry) writeNextChange() {
	if e.writing {
		return
	}
	if e.storeRevision == 0 {
		e.readRequested = true
		return
	}
	for _, c := range []documentChange{e.applyEdit, e.join, e.removeDead, e.takeOver, e.assignDeputies} {
		operation := fmt.Sprintf("%s/%d", e.id, e.sim.seq)
		next := c(e.document.FinishRosterChange(e.ackedBy(e.document.Revision)), operation)
		if next != nil {
			e.writeDocument(next)
			return
		}
	}
}

// writeDocument writes a document. After any answer but a success the store is read
// before the next write, which finds out whether this one took effect.
func (e *entry) writeDocument(next *control.Document) {
	e.writing = true
	expect, asked := e.storeRevision, e.now()
	s := e.sim.store
	ok := false
	var revision uint64
	e.storeRevision = 0
	s.call(&e.process, func() {
		ok = s.compareAndSwapDocument(expect, next)
		revision = s.documentRevision
	}, func() {
		e.writing = false
		if ok {
			e.applyFromStore(next, revision, asked)
			return
		}
		e.readRequested = true
	}, func() {
		e.writing = false
		e.readRequested = true
	})
}

// bootstrap writes the first document of all.
func (w *Simulation) bootstrap(e *entry) {
	d := control.NewDocument(e.member(), w.cfg.Cells, "first")
	d.Config.Teams = []control.Team{{Name: team, Weight: 1}}
	if w.store.documentRevision == 0 {
		w.store.compareAndSwapDocument(0, d)
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

// removeDead takes off one member that neither holds a lease nor answers.
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
	var wanted []int
	for i, c := range d.Cells {
		if c.Owner != e.id && control.PreferredOwner(d, i, e.alive) == e.id {
			wanted = append(wanted, i)
		}
	}
	if len(wanted) == 0 {
		return nil
	}
	return control.TakeOver(d, wanted, e.id, operation, e.alive)
}

func (e *entry) assignDeputies(d *control.Document, operation string) *control.Document {
	return control.SetDeputies(d, e.id, operation, e.alive)
}

// reconcileCells opens and closes local cells as the document says.
func (e *entry) reconcileCells(now time.Time) {
	d := e.document
	accepted := control.Accepted(d, e.ackedBy(d.Revision))
	for _, n := range e.cellNumbers() {
		c := d.Cells[n]
		oc := e.cells[n]
		mine := c.Owner == e.id
		if oc != nil && (!mine || oc.cell.Generation() != c.Generation) {
			oc.cell.Close()
			delete(e.cells, n)
			oc = nil
		}
		if mine && oc == nil && !e.opening[n] {
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

// openCell reads the member list and writes it under the new generation.
func (e *entry) openCell(n uint32, generation uint64) {
	e.opening[n] = true
	s := e.sim.store
	var old storedAgentList
	s.call(&e.process, func() { old = s.members[n] }, func() {
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

// startCell gives a new local cell the agents that are attached already.
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

// persistAgentList keeps the member lists in the store up to date.
func (e *entry) persistAgentList() {
	for _, n := range e.cellNumbers() {
		oc := e.cells[n]
		if oc == nil || oc.writing {
			continue
		}
		m := oc.cell.AgentListToStore(e.now())
		if m.Version == oc.storedVersion {
			oc.cell.MarkAgentListStored(m, e.now())
			continue
		}
		e.writeAgentList(n, oc, func(bool) {})
	}
}

// writeAgentList writes a member list; after a lost answer it reads back.
func (e *entry) writeAgentList(n uint32, oc *ownedCell, then func(ok bool)) {
	oc.writing = true
	s := e.sim.store
	m := oc.cell.AgentListToStore(e.now())
	expect := oc.storeRevision
	var held storedAgentList
	e.sim.store.call(&e.process, func() {
		s.compareAndSwapAgentList(n, expect, m)
		held = s.members[n]
	}, func() {
		then(e.confirmAgentListWrite(oc, m, held))
	}, func() {
		s.call(&e.process, func() { held = s.members[n] }, func() {
			then(e.confirmAgentListWrite(oc, m, held))
		}, func() {
			oc.writing = false
			then(false)
		})
	})
}

// confirmAgentListWrite tells whether the store holds the list that was written.
func (e *entry) confirmAgentListWrite(oc *ownedCell, m cell.AgentList, held storedAgentList) bool {
	oc.writing = false
	if held.list.Generation > m.Generation {
		return false
	}
	oc.storeRevision = held.revision
	if held.list.Generation != m.Generation || held.list.Version != m.Version {
		return false
	}
	oc.storedVersion = m.Version
	oc.cell.MarkAgentListStored(m, e.now())
	return true
}

// reportAcceptedEdits tells operators what has been accepted.
func (e *entry) reportAcceptedEdits() {
	if len(e.pendingEdits) == 0 || !control.Accepted(e.document, e.ackedBy(e.document.Revision)) {
		return
	}
	for _, c := range e.pendingEdits {
		in := e.document.Config.InService("", c.domain)
		if c.out && !in {
			e.sim.checker.domainOutAccepted(c.domain)
		}
	}
	e.pendingEdits = nil
}
