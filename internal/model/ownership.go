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

// change makes the next document; nil means that nothing is to be changed.
type change func(d *control.Document, operation string) *control.Document

// write does the first change that is due, if the store's document is known.
func (e *entry) write() {
	if e.writing {
		return
	}
	if e.storeRevision == 0 {
		e.wantRead = true
		return
	}
	for _, c := range []change{e.edited, e.joined, e.withoutDead, e.tookOver, e.withDeputies} {
		operation := fmt.Sprintf("%s/%d", e.id, e.w.seq)
		next := c(e.doc.Settled(e.acked(e.doc.Revision)), operation)
		if next != nil {
			e.swap(next)
			return
		}
	}
}

// swap writes a document. After any answer but a success the store is read
// before the next write, which finds out whether this one took effect.
func (e *entry) swap(next *control.Document) {
	e.writing = true
	expect, asked := e.storeRevision, e.now()
	s := e.w.store
	ok := false
	var revision uint64
	e.storeRevision = 0
	s.call(&e.process, func() {
		ok = s.swapDocument(expect, next)
		revision = s.docRevision
	}, func() {
		e.writing = false
		if ok {
			e.fromStore(next, revision, asked)
			return
		}
		e.wantRead = true
	}, func() {
		e.writing = false
		e.wantRead = true
	})
}

// found writes the first document of all.
func (w *World) found(e *entry) {
	d := control.New(e.member(), w.cfg.Cells, "first")
	d.Config.Teams = []control.Team{{Name: team, Weight: 1}}
	if w.store.docRevision == 0 {
		w.store.swapDocument(0, d)
	}
}

func (e *entry) member() control.Member {
	return control.Member{ID: e.id, Address: e.name, FailureDomain: e.domain}
}

func (e *entry) edited(d *control.Document, operation string) *control.Document {
	if len(e.edits) == 0 {
		return nil
	}
	edit := e.edits[0]
	edit.Base = d.Revision
	next, err := control.Edited(d, edit, operation, e.now())
	if err != nil || next == nil {
		e.claims = append(e.claims, claim{edit.Domain.Name, edit.Domain.Out})
		e.edits = e.edits[1:]
		return nil
	}
	return next
}

func (e *entry) joined(d *control.Document, operation string) *control.Document {
	if d.Rostered(e.id) || !e.hasLease {
		return nil
	}
	next, err := control.Join(d, e.member(), operation, e.acked(d.Revision))
	if err != nil {
		return nil
	}
	return next
}

// withoutDead takes off one member that neither holds a lease nor answers.
func (e *entry) withoutDead(d *control.Document, operation string) *control.Document {
	if !e.hasLease || !d.Rostered(e.id) {
		return nil
	}
	for _, m := range d.Roster {
		if m.ID == e.id || e.leased[m.ID] || e.alive(m.ID) {
			continue
		}
		next, err := control.Remove(d, m.ID, operation, false, e.acked(d.Revision))
		if err == nil {
			return next
		}
	}
	return nil
}

func (e *entry) tookOver(d *control.Document, operation string) *control.Document {
	if !d.Rostered(e.id) {
		return nil
	}
	var wanted []int
	for i, c := range d.Cells {
		if c.Owner != e.id && control.Candidate(d, i, e.alive) == e.id {
			wanted = append(wanted, i)
		}
	}
	if len(wanted) == 0 {
		return nil
	}
	return control.TakeOver(d, wanted, e.id, operation, e.alive)
}

func (e *entry) withDeputies(d *control.Document, operation string) *control.Document {
	return control.SetDeputies(d, e.id, operation, e.alive)
}

// follow opens and closes local cells as the document says.
func (e *entry) follow(now time.Time) {
	d := e.doc
	accepted := control.Accepted(d, e.acked(d.Revision))
	for _, n := range e.numbers() {
		c := d.Cells[n]
		oc := e.cells[n]
		mine := c.Owner == e.id
		if oc != nil && (!mine || oc.cell.Generation() != c.Generation) {
			oc.cell.Close()
			delete(e.cells, n)
			oc = nil
		}
		if mine && oc == nil && !e.opening[n] {
			e.open(n, c.Generation)
		}
		if oc == nil {
			continue
		}
		oc.cell.ApplyControl(d, now)
		if accepted {
			oc.cell.Accepted(now)
		}
	}
}

// open reads the member list and writes it under the new generation.
func (e *entry) open(n uint32, generation uint64) {
	e.opening[n] = true
	s := e.w.store
	var old membersValue
	s.call(&e.process, func() { old = s.members[n] }, func() {
		if old.list.Generation > generation {
			e.opening[n] = false
			return
		}
		now := e.now()
		rnd := rand.New(rand.NewPCG(e.w.rnd.Uint64(), 0))
		oc := &ownedCell{cell: cell.New(e.cellConfig(n, generation), e.doc, old.list, rnd, now), storeRevision: old.revision}
		e.swapMembers(n, oc, func(ok bool) {
			e.opening[n] = false
			if ok {
				e.serveCell(n, oc)
			}
		})
	}, func() { e.opening[n] = false })
}

// serveCell gives a new local cell the agents that are attached already.
func (e *entry) serveCell(n uint32, oc *ownedCell) {
	e.w.checks.stats.Takeovers++
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
		Fresh:           e.fresh,
	}
}

// storeMembers keeps the member lists in the store up to date.
func (e *entry) storeMembers() {
	for _, n := range e.numbers() {
		oc := e.cells[n]
		if oc == nil || oc.storing {
			continue
		}
		m := oc.cell.MembersToStore(e.now())
		if m.Version == oc.storedVersion {
			oc.cell.MembersStored(m, e.now())
			continue
		}
		e.swapMembers(n, oc, func(bool) {})
	}
}

// swapMembers writes a member list; after a lost answer it reads back.
func (e *entry) swapMembers(n uint32, oc *ownedCell, then func(ok bool)) {
	oc.storing = true
	s := e.w.store
	m := oc.cell.MembersToStore(e.now())
	expect := oc.storeRevision
	var held membersValue
	e.w.store.call(&e.process, func() {
		s.swapMembers(n, expect, m)
		held = s.members[n]
	}, func() {
		then(e.tookMembers(oc, m, held))
	}, func() {
		s.call(&e.process, func() { held = s.members[n] }, func() {
			then(e.tookMembers(oc, m, held))
		}, func() {
			oc.storing = false
			then(false)
		})
	})
}

// tookMembers tells whether the store holds the list that was written.
func (e *entry) tookMembers(oc *ownedCell, m cell.Members, held membersValue) bool {
	oc.storing = false
	if held.list.Generation > m.Generation {
		return false
	}
	oc.storeRevision = held.revision
	if held.list.Generation != m.Generation || held.list.Version != m.Version {
		return false
	}
	oc.storedVersion = m.Version
	oc.cell.MembersStored(m, e.now())
	return true
}

// settleClaims tells operators what has been accepted.
func (e *entry) settleClaims() {
	if len(e.claims) == 0 || !control.Accepted(e.doc, e.acked(e.doc.Revision)) {
		return
	}
	for _, c := range e.claims {
		in := e.doc.Config.InService("", c.domain)
		if c.out && !in {
			e.w.checks.domainOutAccepted(c.domain)
		}
	}
	e.claims = nil
}
