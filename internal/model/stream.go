package model

import (
	"time"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
)

// stream is one connection of an agent to an entry. It delivers frames in order
// and without loss until one end closes it.
type stream struct {
	sim   *Simulation
	agent *agent
	entry *entry
	hello *pb.Hello
	// attached is set once the entry has handled the hello.
	attached bool
	toAgent  []frame
	toEntry  []frame
	// Each end closes independently of the other.
	agentClosed, entryClosed         bool
	agentReceivedAt, entryReceivedAt time.Duration
}

// frame is a message on its way. The last one of a stream has neither field
// set.
type frame struct {
	arrivesAt time.Duration
	owner     *pb.OwnerFrame
	agent     *pb.AgentFrame
}

// Start queues a start. It implements cell.Link, as do Cancel and Fence.
func (s *stream) Start(m *pb.Start) { s.sendToAgent(&pb.OwnerFrame{Starts: []*pb.Start{m}}) }

// Cancel queues a cancellation.
func (s *stream) Cancel(r *pb.TaskRef) { s.sendToAgent(&pb.OwnerFrame{Cancels: []*pb.TaskRef{r}}) }

// Fence queues a fence.
func (s *stream) Fence(f *pb.Fence) { s.sendToAgent(&pb.OwnerFrame{Fence: f}) }

func (s *stream) sendToAgent(f *pb.OwnerFrame) {
	s.toAgent = append(s.toAgent, frame{arrivesAt: s.nextArrival(s.toAgent), owner: f})
}

func (s *stream) sendToEntry(f *pb.AgentFrame) {
	s.toEntry = append(s.toEntry, frame{arrivesAt: s.nextArrival(s.toEntry), agent: f})
}

// nextArrival returns when the next frame arrives: never before the one ahead
// of it.
func (s *stream) nextArrival(queue []frame) time.Duration {
	at := s.sim.elapsed + s.sim.messageDelay()
	if n := len(queue); n > 0 {
		at = max(at, queue[n-1].arrivesAt)
	}
	return at
}

// deliverToAgent delivers the frames that have arrived.
func (s *stream) deliverToAgent() {
	for s.agent.active() && !s.agentClosed && len(s.toAgent) > 0 {
		f := s.toAgent[0]
		if f.arrivesAt > s.sim.elapsed || s.sim.disconnected(s.agent.name, s.entry.name) {
			return
		}
		s.toAgent = s.toAgent[1:]
		s.agentReceivedAt = s.sim.elapsed
		if f.owner == nil {
			s.agentClosed = true
			return
		}
		s.agent.handleFrame(s, f.owner)
	}
}

// deliverToEntry delivers the frames that have arrived.
func (s *stream) deliverToEntry() {
	for s.entry.active() && !s.entryClosed && len(s.toEntry) > 0 {
		f := s.toEntry[0]
		if f.arrivesAt > s.sim.elapsed || s.sim.disconnected(s.agent.name, s.entry.name) {
			return
		}
		s.toEntry = s.toEntry[1:]
		s.entryReceivedAt = s.sim.elapsed
		if f.agent == nil {
			s.entryClosed = true
			return
		}
		s.entry.receive(s, f.agent)
	}
}

func (s *stream) closeAtAgent() {
	if !s.agentClosed {
		s.agentClosed = true
		s.toEntry = append(s.toEntry, frame{arrivesAt: s.nextArrival(s.toEntry)})
	}
}

func (s *stream) closeAtEntry() {
	if !s.entryClosed {
		s.entryClosed = true
		s.toAgent = append(s.toAgent, frame{arrivesAt: s.nextArrival(s.toAgent)})
	}
}
