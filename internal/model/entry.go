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
	// confirmInterval is the time between two reads of the document, and
	// between two renewals of the lease.
	confirmInterval = time.Second
	// exchangeInterval is the time between two exchanges with another entry,
	// and bounds the wait for the response.
	exchangeInterval = 250 * time.Millisecond
	// maxMisses is how many exchanges in a row must fail until another entry
	// counts as dead.
	maxMisses = 3
	// agentTimeout is the time without a frame after which an agent's stream is
	// closed.
	agentTimeout = freshness / 2
)

// entry runs the product's decision cores.
type entry struct {
	process
	index  int
	id     string
	domain string

	document      *control.Document
	storeRevision uint64
	confirmed     control.Confirmations
	// acks holds the highest document revision that each entry has applied, by
	// ID.
	acks  map[string]uint64
	peers map[string]*peer
	// leaseHolders holds the IDs of the entries with a lease, as of the last
	// renewal.
	leaseHolders map[string]bool
	// hasLease reports whether the store confirmed the last renewal.
	hasLease bool

	reading, writing, renewing bool
	readAt, renewedAt          time.Time
	readRequested              bool

	cells       map[uint32]*ownedCell
	opening     map[uint32]bool
	streams     []*stream
	relay       *relay
	heldAnswers []heldAnswer
	// edits are to be written; pendingEdits are written and wait for
	// acceptance.
	edits        []control.Edit
	pendingEdits []pendingEdit
}

// peer is an entry's view of another entry.
type peer struct {
	misses         int
	lastExchangeAt time.Time
	exchanging     bool
}

// ownedCell is a local cell with the state of its agent list in the store.
type ownedCell struct {
	cell          *cell.Cell
	storeRevision uint64
	storedVersion uint64
	writing       bool
}

// pendingEdit is an operator's edit that is reported once it is accepted.
type pendingEdit struct {
	domain string
	out    bool
}

func newEntry(sim *Simulation, index int) *entry {
	e := &entry{process: newProcess(sim, fmt.Sprintf("entry-%d", index)), index: index}
	e.boot()
	return e
}

// boot starts the process with nothing in memory.
func (e *entry) boot() {
	e.boots++
	e.down = false
	e.inbox = nil
	e.id = fmt.Sprintf("%s.%d", e.name, e.boots)
	e.domain = domainName(e.index)
	e.document, e.storeRevision = nil, 0
	e.confirmed = control.Confirmations{Peers: map[string]time.Time{}}
	e.acks = map[string]uint64{}
	e.peers = map[string]*peer{}
	e.leaseHolders = map[string]bool{}
	e.hasLease, e.reading, e.writing, e.renewing, e.readRequested = false, false, false, false, false
	e.readAt, e.renewedAt = time.Time{}, time.Time{}
	e.cells = map[uint32]*ownedCell{}
	e.opening = map[uint32]bool{}
	e.streams = nil
	e.heldAnswers, e.edits, e.pendingEdits = nil, nil, nil
	e.relay = newRelay(e)
}

func (e *entry) kill() {
	if e.down {
		return
	}
	if !e.sim.hostFails() {
		for _, s := range e.streams {
			s.closeAtEntry()
		}
	}
	e.down = true
	e.pausedUntil = 0
	e.restartAt = e.sim.elapsed + e.sim.randomDuration(0, 6*time.Second)
	// Messages to the killed process are lost with it.
	e.inbox = nil
}

func (e *entry) restartIfDue() {
	if e.down && e.sim.elapsed >= e.restartAt {
		e.boot()
	}
	e.drainInbox()
}

// step does what is due at the current time.
func (e *entry) step() {
	now := e.now()
	for _, s := range slices.Clone(e.streams) {
		s.deliverToEntry()
		if s.entryClosed || e.sim.elapsed-s.entryReceivedAt > agentTimeout {
			e.detach(s)
		}
	}
	e.readStore(now)
	e.renew(now)
	e.exchangeAll(now)
	if e.document == nil {
		return
	}
	e.writeNextChange()
	e.reconcileCells(now)
	e.persistAgentLists()
	for _, n := range e.cellNumbers() {
		if oc := e.cells[n]; oc != nil {
			oc.cell.Tick(now)
		}
	}
	e.relay.step(now)
	e.releaseConfirmed(now)
	e.reportAcceptedEdits()
}

// cellNumbers returns the numbers of all cells, in order.
func (e *entry) cellNumbers() []uint32 {
	var out []uint32
	for n := range uint32(e.sim.cfg.Cells) {
		out = append(out, n)
	}
	return out
}

// readStore reads the document from the store, periodically and on request.
func (e *entry) readStore(now time.Time) {
	if e.reading || (!e.readRequested && now.Sub(e.readAt) < confirmInterval) {
		return
	}
	e.reading, e.readRequested, e.readAt = true, false, now
	var d *control.Document
	var revision uint64
	e.sim.store.call(&e.process, func() {
		d, revision = e.sim.store.document, e.sim.store.documentRevision
	}, func() {
		e.reading = false
		if d != nil {
			e.applyFromStore(d, revision, now)
		}
	}, func() { e.reading = false })
}

func (e *entry) applyFromStore(d *control.Document, revision uint64, requestedAt time.Time) {
	if e.document != nil && d.Revision < e.document.Revision {
		return
	}
	e.storeRevision = revision
	e.setDocument(d)
	if requestedAt.After(e.confirmed.Store) {
		e.confirmed.Store = requestedAt
	}
}

func (e *entry) applyFromPeer(d *control.Document) {
	if e.document != nil && d.Revision <= e.document.Revision {
		return
	}
	e.storeRevision = 0
	e.readRequested = true
	e.setDocument(d)
}

func (e *entry) setDocument(d *control.Document) {
	if e.document != nil && d.Revision == e.document.Revision {
		return
	}
	e.document = d
	e.acks[e.id] = d.Revision
}

// renew renews the lease and reads who else holds one.
func (e *entry) renew(now time.Time) {
	if e.renewing || now.Sub(e.renewedAt) < confirmInterval {
		return
	}
	e.renewing, e.renewedAt = true, now
	s := e.sim.store
	id := e.id
	var holders map[string]bool
	s.call(&e.process, func() {
		s.leases[id] = e.sim.elapsed + leaseTTL
		holders = s.leaseHolders()
	}, func() {
		e.renewing, e.hasLease = false, true
		e.leaseHolders = holders
	}, func() { e.renewing, e.hasLease = false, false })
}

func (e *entry) ackedBy(revision uint64) func(id string) bool {
	return func(id string) bool { return e.acks[id] >= revision }
}

func (e *entry) confirmedAt(now time.Time) time.Time {
	if e.document == nil {
		return time.Time{}
	}
	return control.ConfirmedAt(e.document, e.id, e.confirmed, now)
}

func (e *entry) fresh(now time.Time) bool { return now.Sub(e.confirmedAt(now)) < freshness }

func (e *entry) alive(id string) bool {
	p := e.peers[id]
	return id == e.id || p == nil || p.misses < maxMisses
}

// exchangeAll compares control state with the other members.
func (e *entry) exchangeAll(now time.Time) {
	if e.document == nil {
		return
	}
	for _, m := range e.document.Roster {
		if m.ID == e.id {
			continue
		}
		p := e.peers[m.ID]
		if p == nil {
			p = &peer{}
			e.peers[m.ID] = p
		}
		if !p.exchanging && now.Sub(p.lastExchangeAt) >= exchangeInterval {
			e.exchange(m, p, now)
		}
	}
}

func (e *entry) exchange(m control.Member, p *peer, sentAt time.Time) {
	p.exchanging, p.lastExchangeAt = true, sentAt
	done := false
	e.sim.schedule(exchangeInterval, &e.process, func() {
		if !done {
			done, p.exchanging = true, false
			p.misses++
		}
	})
	to := e.sim.entryByAddress(m.Address)
	ownDocument := e.document
	e.sim.send(&e.process, &to.process, func() {
		to.applyPeerRequest(e.id, ownDocument)
		id, peerDocument := to.id, to.document
		confirms := peerDocument != nil && control.CanConfirm(peerDocument, id, ownDocument.Revision)
		e.sim.send(&to.process, &e.process, func() {
			if done {
				return
			}
			done, p.exchanging = true, false
			if id != m.ID {
				p.misses++
				return
			}
			p.misses = 0
			e.applyPeerAnswer(id, peerDocument, confirms, sentAt)
		})
	})
}

// applyPeerRequest applies the control state in another entry's request.
func (e *entry) applyPeerRequest(id string, d *control.Document) {
	e.applyFromPeer(d)
	e.acks[id] = max(e.acks[id], d.Revision)
}

func (e *entry) applyPeerAnswer(id string, peerDocument *control.Document, confirms bool, sentAt time.Time) {
	if peerDocument == nil {
		return
	}
	e.applyFromPeer(peerDocument)
	e.acks[id] = max(e.acks[id], peerDocument.Revision)
	if confirms && sentAt.After(e.confirmed.Peers[id]) {
		e.confirmed.Peers[id] = sentAt
	}
}

func (sim *Simulation) entryByAddress(address string) *entry {
	for _, e := range sim.entries {
		if e.name == address {
			return e
		}
	}
	return nil
}

// attach handles an agent's hello, which replaces the agent's older streams.
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

// receive handles an agent's frame.
func (e *entry) receive(s *stream, f *pb.AgentFrame) {
	if f.Hello != nil {
		e.attach(s)
	}
	now := e.now()
	name := s.hello.GetEndpoint()
	oc := e.cells[s.hello.GetCell()]
	if oc != nil && f.FenceAck != nil {
		oc.cell.HandleFenceAck(name, s, f.FenceAck, now)
	}
	if oc != nil && len(f.Outcomes) > 0 {
		oc.cell.HandleOutcomes(name, s, f.Outcomes, now)
	}
	if f.Heartbeat != nil && e.document != nil {
		e.answerHeartbeat(s, oc, f.Heartbeat, now)
	}
}

func (e *entry) answerHeartbeat(s *stream, oc *ownedCell, h *pb.Heartbeat, now time.Time) {
	age := now.Sub(e.confirmedAt(now))
	stamp := &pb.Stamp{
		EchoNs:          h.GetSentNs(),
		Cell:            s.hello.GetCell(),
		ControlRevision: e.document.Revision,
		InService:       e.document.Config.InService(s.hello.GetEndpoint(), s.hello.GetFailureDomain()),
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
	oc.cell.HandleHeartbeat(s.hello.GetEndpoint(), s, h, now)
	if fresh {
		oc.cell.MarkStamped(s.hello.GetEndpoint(), s, now)
	}
}

// locate returns the entries to which the agents of a cell should attach.
func (e *entry) locate(n uint32) *pb.Location {
	loc := &pb.Location{Cell: n, ControlRevision: e.document.Revision}
	if m, ok := e.document.Member(e.document.Cells[n].Owner); ok {
		loc.Owner = m.Address
	}
	if m, ok := e.document.Member(e.document.Cells[n].Deputy); ok {
		loc.Deputy = m.Address
	}
	return loc
}
