package model

import (
	"fmt"
	"slices"
	"time"

	"github.com/pomelosill/pomelosill/internal/cell"
	"github.com/pomelosill/pomelosill/internal/control"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
)

const (
	confirmInterval  = time.Second
	exchangeInterval = 250 * time.Millisecond
	missesUntilDead  = 3
	// agentSilence ends the stream of an agent that says nothing.
	agentSilence = freshness / 2
)

// entry is an entry process around the product's decision cores.
type entry struct {
	process
	slot   int
	id     string
	domain string

	doc           *control.Document
	storeRevision uint64
	confirmed     control.Confirmations
	acks          map[string]uint64
	peers         map[string]*peer
	leased        map[string]bool
	// hasLease tells that the store has answered a renewal.
	hasLease bool

	reading, writing, renewing bool
	readAt, renewedAt          time.Time
	wantRead                   bool

	cells   map[uint32]*ownedCell
	opening map[uint32]bool
	streams []*stream
	relay   *relay
	held    []heldAnswer
	edits   []control.Edit
	claims  []claim
}

// peer is what an entry knows of another.
type peer struct {
	misses int
	asked  time.Time
	busy   bool
}

// ownedCell is a local cell with the state of its member list in the store.
type ownedCell struct {
	cell          *cell.Cell
	storeRevision uint64
	storedVersion uint64
	storing       bool
}

// claim is what an operator is told once it is accepted.
type claim struct {
	domain string
	out    bool
}

func newEntry(w *World, slot int) *entry {
	e := &entry{process: newProcess(w, fmt.Sprintf("entry-%d", slot)), slot: slot}
	e.boot()
	return e
}

// boot starts the process with nothing in memory.
func (e *entry) boot() {
	e.life++
	e.dead = false
	e.inbox = nil
	e.id = fmt.Sprintf("%s.%d", e.name, e.life)
	e.domain = domainOf(e.slot)
	e.doc, e.storeRevision = nil, 0
	e.confirmed = control.Confirmations{Peers: map[string]time.Time{}}
	e.acks = map[string]uint64{}
	e.peers = map[string]*peer{}
	e.leased = map[string]bool{}
	e.hasLease, e.reading, e.writing, e.renewing, e.wantRead = false, false, false, false, false
	e.readAt, e.renewedAt = time.Time{}, time.Time{}
	e.cells = map[uint32]*ownedCell{}
	e.opening = map[uint32]bool{}
	e.streams = nil
	e.held, e.edits, e.claims = nil, nil, nil
	e.relay = newRelay(e)
}

func (e *entry) kill() {
	if e.dead {
		return
	}
	if !e.w.silentDeath() {
		for _, s := range e.streams {
			s.closeAtEntry()
		}
	}
	e.dead = true
	e.frozenTo = 0
	e.backAt = e.w.at + e.w.between(0, 6*time.Second)
	// Messages to the dead process are dropped with its life.
	e.inbox = nil
}

func (e *entry) wake() {
	if e.dead && e.w.at >= e.backAt {
		e.boot()
	}
	e.thaw()
}

// turn does what time brings.
func (e *entry) turn() {
	now := e.now()
	for _, s := range slices.Clone(e.streams) {
		s.deliverToEntry()
		if s.entryClosed || e.w.at-s.entryHeard > agentSilence {
			e.detach(s)
		}
	}
	e.readStore(now)
	e.renew(now)
	e.exchangeAll(now)
	if e.doc == nil {
		return
	}
	e.write()
	e.follow(now)
	e.storeMembers()
	for _, n := range e.numbers() {
		if oc := e.cells[n]; oc != nil {
			oc.cell.Tick(now)
		}
	}
	e.relay.turn(now)
	e.releaseConfirmed(now)
	e.settleClaims()
}

// numbers returns the numbers of all cells, in order.
func (e *entry) numbers() []uint32 {
	var out []uint32
	for n := range uint32(e.w.cfg.Cells) {
		out = append(out, n)
	}
	return out
}

// readStore asks the store for the document at an interval and on demand.
func (e *entry) readStore(now time.Time) {
	if e.reading || (!e.wantRead && now.Sub(e.readAt) < confirmInterval) {
		return
	}
	e.reading, e.wantRead, e.readAt = true, false, now
	var d *control.Document
	var revision uint64
	e.w.store.call(&e.process, func() {
		d, revision = e.w.store.doc, e.w.store.docRevision
	}, func() {
		e.reading = false
		if d != nil {
			e.fromStore(d, revision, now)
		}
	}, func() { e.reading = false })
}

func (e *entry) fromStore(d *control.Document, revision uint64, asked time.Time) {
	if e.doc != nil && d.Revision < e.doc.Revision {
		return
	}
	e.storeRevision = revision
	e.adopt(d)
	if asked.After(e.confirmed.Store) {
		e.confirmed.Store = asked
	}
}

func (e *entry) fromPeer(d *control.Document) {
	if e.doc != nil && d.Revision <= e.doc.Revision {
		return
	}
	e.storeRevision = 0
	e.wantRead = true
	e.adopt(d)
}

func (e *entry) adopt(d *control.Document) {
	if e.doc != nil && d.Revision == e.doc.Revision {
		return
	}
	e.doc = d
	e.acks[e.id] = d.Revision
}

// renew keeps the lease and learns who else holds one.
func (e *entry) renew(now time.Time) {
	if e.renewing || now.Sub(e.renewedAt) < confirmInterval {
		return
	}
	e.renewing, e.renewedAt = true, now
	s := e.w.store
	id := e.id
	var holders map[string]bool
	s.call(&e.process, func() {
		s.leases[id] = e.w.at + leaseTTL
		holders = s.holders()
	}, func() {
		e.renewing, e.hasLease = false, true
		e.leased = holders
	}, func() { e.renewing, e.hasLease = false, false })
}

func (e *entry) acked(revision uint64) func(id string) bool {
	return func(id string) bool { return e.acks[id] >= revision }
}

func (e *entry) basis(now time.Time) time.Time {
	if e.doc == nil {
		return time.Time{}
	}
	return control.Basis(e.doc, e.id, e.confirmed, now)
}

func (e *entry) fresh(now time.Time) bool { return now.Sub(e.basis(now)) < freshness }

func (e *entry) alive(id string) bool {
	p := e.peers[id]
	return id == e.id || p == nil || p.misses < missesUntilDead
}

// exchangeAll compares control state with the other members.
func (e *entry) exchangeAll(now time.Time) {
	if e.doc == nil {
		return
	}
	for _, m := range e.doc.Roster {
		if m.ID == e.id {
			continue
		}
		p := e.peers[m.ID]
		if p == nil {
			p = &peer{}
			e.peers[m.ID] = p
		}
		if !p.busy && now.Sub(p.asked) >= exchangeInterval {
			e.exchange(m, p, now)
		}
	}
}

func (e *entry) exchange(m control.Member, p *peer, asked time.Time) {
	p.busy, p.asked = true, asked
	over := false
	e.w.after(exchangeInterval, &e.process, func() {
		if !over {
			over, p.busy = true, false
			p.misses++
		}
	})
	to := e.w.entryAt(m.Address)
	mine := e.doc
	e.w.send(&e.process, &to.process, func() {
		to.heard(e.id, mine)
		id, theirs := to.id, to.doc
		vouched := theirs != nil && control.Vouches(theirs, id, mine.Revision)
		e.w.send(&to.process, &e.process, func() {
			if over {
				return
			}
			over, p.busy = true, false
			if id != m.ID {
				p.misses++
				return
			}
			p.misses = 0
			e.answered(id, theirs, vouched, asked)
		})
	})
}

// heard takes the control state of an entry that asked.
func (e *entry) heard(id string, d *control.Document) {
	e.fromPeer(d)
	e.acks[id] = max(e.acks[id], d.Revision)
}

func (e *entry) answered(id string, theirs *control.Document, vouched bool, asked time.Time) {
	if theirs == nil {
		return
	}
	e.fromPeer(theirs)
	e.acks[id] = max(e.acks[id], theirs.Revision)
	if vouched && asked.After(e.confirmed.Peers[id]) {
		e.confirmed.Peers[id] = asked
	}
}

func (w *World) entryAt(address string) *entry {
	for _, e := range w.entries {
		if e.name == address {
			return e
		}
	}
	return nil
}

// attach takes an agent's new stream.
func (e *entry) attach(s *stream) {
	for _, old := range slices.Clone(e.streams) {
		if old != s && old.agent == s.agent && old.attached {
			e.detach(old)
		}
	}
	s.attached = true
	if oc := e.cells[s.hello.GetCell()]; oc != nil {
		oc.cell.Attach(s.hello, s, e.now())
	}
}

func (e *entry) detach(s *stream) {
	s.closeAtEntry()
	e.streams = slices.DeleteFunc(e.streams, func(o *stream) bool { return o == s })
	if oc := e.cells[s.hello.GetCell()]; oc != nil && s.attached {
		oc.cell.Detach(s.hello.GetEndpoint(), s, e.now())
	}
}

// receive takes an agent's frame.
func (e *entry) receive(s *stream, f *pb.AgentFrame) {
	if f.Hello != nil {
		e.attach(s)
	}
	now := e.now()
	name := s.hello.GetEndpoint()
	oc := e.cells[s.hello.GetCell()]
	if oc != nil && f.FenceAck != nil {
		oc.cell.FenceAck(name, s, f.FenceAck, now)
	}
	if oc != nil && len(f.Outcomes) > 0 {
		oc.cell.Outcomes(name, s, f.Outcomes, now)
	}
	if f.Heartbeat != nil && e.doc != nil {
		e.answerHeartbeat(s, oc, f.Heartbeat, now)
	}
}

func (e *entry) answerHeartbeat(s *stream, oc *ownedCell, h *pb.Heartbeat, now time.Time) {
	age := now.Sub(e.basis(now))
	stamp := &pb.Stamp{
		EchoNs:          h.GetSentNs(),
		Cell:            s.hello.GetCell(),
		ControlRevision: e.doc.Revision,
		InService:       e.doc.Config.InService(s.hello.GetEndpoint(), s.hello.GetFailureDomain()),
	}
	fresh := oc != nil && age < freshness
	if fresh {
		stamp.AgeNs = int64(age)
		stamp.Generation = oc.cell.Generation()
	}
	s.sendToAgent(&pb.OwnerFrame{Stamp: stamp, Location: e.locate(s.hello.GetCell())})
	if oc == nil {
		return
	}
	oc.cell.Heartbeat(s.hello.GetEndpoint(), s, h, now)
	if fresh {
		oc.cell.Stamped(s.hello.GetEndpoint(), s, now)
	}
}

// locate tells the agents of a cell where to attach.
func (e *entry) locate(n uint32) *pb.Location {
	loc := &pb.Location{Cell: n, ControlRevision: e.doc.Revision}
	if m, ok := e.doc.Member(e.doc.Cells[n].Owner); ok {
		loc.Owner = m.Address
	}
	if m, ok := e.doc.Member(e.doc.Cells[n].Deputy); ok {
		loc.Deputy = m.Address
	}
	return loc
}
