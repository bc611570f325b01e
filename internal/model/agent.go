package model

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/pomelosill/pomelosill/internal/control"
	"github.com/pomelosill/pomelosill/internal/gate"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	// ownerTimeout is the time without a frame from the owner after which an
	// agent asks for its location.
	ownerTimeout = 2 * time.Second
	// streamTimeout is the time without a frame after which an agent closes a
	// stream.
	streamTimeout = 5 * time.Second
	slots         = 3
)

// agent runs the product's start gate, with a simulated endpoint.
type agent struct {
	process
	domain      string
	incarnation string
	bootedAt    time.Time
	gate        *gate.Gate
	location    *pb.Location
	streams     []*stream
	// owner is the stream whose fence was last accepted.
	owner           *stream
	running         []*runningTask
	lastHeartbeatAt time.Time
	nextLocateAt    time.Time
	generation      uint64
}

// runningTask is an admitted task. It starts on the endpoint at startAt if that
// is still permitted.
type runningTask struct {
	start   gate.Start
	startAt time.Duration
	endAt   time.Duration
	started bool
	payload []byte
}

func newAgent(sim *Simulation, i int) *agent {
	a := &agent{process: newProcess(sim, fmt.Sprintf("agent-%d", i)), domain: domainName(i)}
	a.boot()
	return a
}

func (a *agent) boot() {
	a.boots++
	a.down = false
	a.inbox = nil
	a.incarnation = fmt.Sprintf("%s.%d", a.name, a.boots)
	a.bootedAt = a.now()
	a.gate = gate.New(gate.Config{
		Slots:           slots,
		Freshness:       freshness,
		RecordRetention: idRetention,
		BodyRetention:   10 * time.Second,
		MaxHeldBytes:    1 << 20,
		MaxRecords:      10_000,
		Epoch:           a.bootedAt,
	})
	a.gate.AssignCell(a.cell())
	a.location = &pb.Location{}
	a.streams, a.owner, a.running = nil, nil, nil
	a.lastHeartbeatAt, a.nextLocateAt = time.Time{}, time.Time{}
	a.generation = 0
}

func (a *agent) cell() uint32 { return uint32(control.CellOfEndpoint(a.name, a.sim.cfg.Cells)) }

// monotonic returns the agent's monotonic clock.
func (a *agent) monotonic() time.Duration { return a.now().Sub(a.bootedAt) }

func (a *agent) kill() {
	if a.down {
		return
	}
	if !a.sim.hostFails() {
		for _, s := range a.streams {
			s.closeAtAgent()
		}
	}
	for _, s := range a.streams {
		s.agentClosed = true
	}
	a.down = true
	a.pausedUntil = 0
	a.restartAt = a.sim.elapsed + a.sim.randomDuration(0, 6*time.Second)
}

func (a *agent) restartIfDue() {
	if a.down && a.sim.elapsed >= a.restartAt {
		a.boot()
	}
	a.drainInbox()
}

func (a *agent) step() {
	for _, s := range slices.Clone(a.streams) {
		s.deliverToAgent()
		if s.agentClosed || a.sim.elapsed-s.agentReceivedAt > streamTimeout {
			a.dropStream(s)
		}
	}
	a.locate()
	a.sendHeartbeat()
	for _, t := range slices.Clone(a.running) {
		a.advance(t)
	}
	a.gate.Expire(a.monotonic())
}

func (a *agent) dropStream(s *stream) {
	s.closeAtAgent()
	a.streams = slices.DeleteFunc(a.streams, func(o *stream) bool { return o == s })
	if a.owner == s {
		a.owner = nil
	}
}

// locate asks an entry for the cell's owner unless there is a live stream to
// one, and opens the streams that the location asks for.
func (a *agent) locate() {
	now := a.now()
	if now.Before(a.nextLocateAt) {
		return
	}
	a.nextLocateAt = now.Add(a.sim.randomDuration(200*time.Millisecond, time.Second))
	ownerLive := slices.ContainsFunc(a.streams, func(s *stream) bool {
		return (s == a.owner || s.entry.name == a.location.GetOwner()) && a.sim.elapsed-s.agentReceivedAt < ownerTimeout
	})
	if e := a.sim.randomEntry(); !ownerLive && e.active() && e.document != nil && !a.sim.disconnected(a.name, e.name) {
		a.applyLocation(e.locate(a.cell()))
	}
	for _, address := range []string{a.location.GetOwner(), a.location.GetDeputy()} {
		a.openStream(address)
	}
}

func (a *agent) applyLocation(l *pb.Location) {
	if l.GetControlRevision() < a.location.GetControlRevision() {
		return
	}
	a.location = l
	for _, s := range slices.Clone(a.streams) {
		if s != a.owner && s.entry.name != l.GetOwner() && s.entry.name != l.GetDeputy() {
			a.dropStream(s)
		}
	}
}

func (a *agent) openStream(address string) {
	e := a.sim.entryByAddress(address)
	connected := slices.ContainsFunc(a.streams, func(s *stream) bool { return s.entry == e })
	if e == nil || connected || e.down || a.sim.disconnected(a.name, address) {
		return
	}
	hello := &pb.Hello{
		Endpoint:      a.name,
		Incarnation:   a.incarnation,
		FailureDomain: a.domain,
		Slots:         slots,
		Cell:          a.cell(),
	}
	s := &stream{sim: a.sim, agent: a, entry: e, hello: hello, agentReceivedAt: a.sim.elapsed, entryReceivedAt: a.sim.elapsed}
	s.sendToEntry(&pb.AgentFrame{Hello: hello, Heartbeat: a.heartbeat()})
	a.streams = append(a.streams, s)
	e.streams = append(e.streams, s)
}

func (a *agent) heartbeat() *pb.Heartbeat {
	state := a.gate.State(a.monotonic())
	return &pb.Heartbeat{SentNs: int64(a.monotonic()), Running: uint32(state.Running), ControlRevision: state.ControlRevision}
}

func (a *agent) sendHeartbeat() {
	if a.now().Sub(a.lastHeartbeatAt) < heartbeatInterval {
		return
	}
	a.lastHeartbeatAt = a.now()
	for _, s := range a.streams {
		s.sendToEntry(&pb.AgentFrame{Heartbeat: a.heartbeat()})
	}
}

// handleFrame handles an entry's frame, in the order of the product's agent.
func (a *agent) handleFrame(s *stream, f *pb.OwnerFrame) {
	if f.Location != nil {
		a.applyLocation(f.Location)
	}
	if f.Fence != nil {
		a.applyFence(s, f.Fence)
	}
	if f.Stamp != nil {
		a.gate.ApplyStamp(a.monotonic(), gate.Stamp{
			HeartbeatSentAt: time.Duration(f.Stamp.GetEchoNs()),
			ConfirmationAge: time.Duration(f.Stamp.GetAgeNs()),
			Cell:            f.Stamp.GetCell(),
			Generation:      f.Stamp.GetGeneration(),
			ControlRevision: f.Stamp.GetControlRevision(),
			InService:       f.Stamp.GetInService(),
		})
	}
	for _, m := range f.Starts {
		a.admit(s, m)
	}
}

func (a *agent) applyFence(s *stream, f *pb.Fence) {
	ack := &pb.FenceAck{Cell: f.GetCell(), Generation: f.GetGeneration()}
	records, ok := a.gate.Fence(f.GetCell(), f.GetGeneration())
	ack.Superseded = !ok
	slices.SortFunc(records, func(a, b gate.Record) int {
		return cmp.Or(bytes.Compare(a.Task.Submission[:], b.Task.Submission[:]), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	for _, r := range records {
		ack.Records = append(ack.Records, newOutcome(r))
	}
	if ok {
		a.owner = s
		a.generation = f.GetGeneration()
	}
	s.sendToEntry(&pb.AgentFrame{FenceAck: ack})
	s.sendToEntry(&pb.AgentFrame{Heartbeat: a.heartbeat()})
}

func (a *agent) admit(s *stream, m *pb.Start) {
	start := gate.Start{
		Cell:       m.GetCell(),
		Generation: m.GetGeneration(),
		Task:       gate.Task{Submission: uuid.UUID(m.GetTask().GetSubmission()), Index: m.GetTask().GetIndex()},
		Digest:     m.GetDigest(),
		Timeout:    time.Duration(m.GetTimeoutNs()),
	}
	if s != a.owner {
		start.Generation = 0
	}
	d := a.gate.Admit(a.monotonic(), start)
	if d.Code != result.OK {
		out := newOutcome(gate.Record{Task: start.Task, Code: d.Code})
		if d.Code == result.AlreadyStarted {
			out = newOutcome(d.Record)
		}
		s.sendToEntry(&pb.AgentFrame{Outcomes: []*pb.Outcome{out}})
		return
	}
	startAt := a.sim.elapsed + a.sim.messageDelay()
	a.running = append(a.running, &runningTask{
		start:   start,
		startAt: startAt,
		endAt:   startAt + a.sim.randomDuration(50*time.Millisecond, 1500*time.Millisecond),
		payload: m.GetPayload(),
	})
}

// advance starts and ends a task on the endpoint.
func (a *agent) advance(t *runningTask) {
	if !t.started && a.sim.elapsed >= t.startAt {
		if code := a.gate.Recheck(a.monotonic(), t.start); code != result.OK {
			a.endTask(t, gate.Record{Task: t.start.Task, Code: code}, true)
			return
		}
		if a.sim.chance(0.02) {
			a.endTask(t, gate.Record{Task: t.start.Task, Code: result.EndpointUnreachable}, true)
			return
		}
		t.started = true
		a.sim.checker.taskStarted(a, t)
	}
	if t.started && a.sim.elapsed >= t.endAt {
		r := gate.Record{Task: t.start.Task, Code: result.OK, Body: responseBody(t)}
		if a.sim.chance(0.01) {
			r = gate.Record{Task: t.start.Task, Code: result.OutcomeUnknown}
		}
		a.endTask(t, r, false)
	}
}

func (a *agent) endTask(t *runningTask, r gate.Record, aborted bool) {
	a.running = slices.DeleteFunc(a.running, func(o *runningTask) bool { return o == t })
	if aborted {
		a.gate.Abort(r.Task)
	} else {
		a.gate.End(a.monotonic(), r)
	}
	if a.owner != nil {
		a.owner.sendToEntry(&pb.AgentFrame{Outcomes: []*pb.Outcome{newOutcome(r)}})
	}
}

func newOutcome(r gate.Record) *pb.Outcome {
	id := r.Task.Submission
	out := &pb.Outcome{
		Task:    &pb.TaskRef{Submission: id[:], Index: r.Task.Index},
		Code:    uint32(r.Code),
		Body:    r.Body,
		Running: r.Running,
		Digest:  r.Digest,
	}
	if r.Running {
		out.Code = uint32(result.AlreadyStarted)
	}
	return out
}

// responseBody returns the endpoint's response to a task.
func responseBody(t *runningTask) []byte {
	return fmt.Appendf(nil, `{"submission":%q,"task":%d,"echo":%q}`, t.start.Task.Submission, t.start.Task.Index, t.payload)
}
