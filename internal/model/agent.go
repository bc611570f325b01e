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
	ownerSilence      = 2 * time.Second
	maxSilence        = 5 * time.Second
	slots             = 3
)

// agent is an agent process around the product's start gate, with its
// endpoint.
type agent struct {
	process
	domain      string
	incarnation string
	bootedAt    time.Time
	gate        *gate.Gate
	location    *pb.Location
	streams     []*stream
	// owner is the stream of the entry whose fence was last obeyed.
	owner      *stream
	running    []*runningTask
	beatAt     time.Time
	locateAt   time.Time
	generation uint64
}

// runningTask is an admitted task. It starts on the endpoint at startAt if it
// is still permitted.
type runningTask struct {
	start   gate.Start
	startAt time.Duration
	endAt   time.Duration
	started bool
	payload []byte
}

func newAgent(w *World, i int) *agent {
	a := &agent{process: newProcess(w, fmt.Sprintf("agent-%d", i)), domain: domainOf(i)}
	a.boot()
	return a
}

func (a *agent) boot() {
	a.life++
	a.dead = false
	a.inbox = nil
	a.incarnation = fmt.Sprintf("%s.%d", a.name, a.life)
	a.bootedAt = a.now()
	a.gate = gate.New(gate.Config{
		Slots:           slots,
		Freshness:       freshness,
		RecordRetention: idRetention,
		BodyRetention:   10 * time.Second,
		MaxBodyBytes:    1 << 20,
		MaxRecords:      10_000,
		Epoch:           a.bootedAt,
	})
	a.gate.Assign(a.cell())
	a.location = &pb.Location{}
	a.streams, a.owner, a.running = nil, nil, nil
	a.beatAt, a.locateAt = time.Time{}, time.Time{}
	a.generation = 0
}

func (a *agent) cell() uint32 { return uint32(control.CellOfEndpoint(a.name, a.w.cfg.Cells)) }

// mono is the agent's monotonic clock.
func (a *agent) mono() time.Duration { return a.now().Sub(a.bootedAt) }

func (a *agent) kill() {
	if a.dead {
		return
	}
	if !a.w.silentDeath() {
		for _, s := range a.streams {
			s.closeAtAgent()
		}
	}
	for _, s := range a.streams {
		s.agentClosed = true
	}
	a.dead = true
	a.frozenTo = 0
	a.backAt = a.w.at + a.w.between(0, 6*time.Second)
}

func (a *agent) wake() {
	if a.dead && a.w.at >= a.backAt {
		a.boot()
	}
	a.thaw()
}

func (a *agent) turn() {
	for _, s := range slices.Clone(a.streams) {
		s.deliverToAgent()
		if s.agentClosed || a.w.at-s.agentHeard > maxSilence {
			a.drop(s)
		}
	}
	a.locate()
	a.beat()
	for _, t := range slices.Clone(a.running) {
		a.progress(t)
	}
	a.gate.Expire(a.mono())
}

func (a *agent) drop(s *stream) {
	s.closeAtAgent()
	a.streams = slices.DeleteFunc(a.streams, func(o *stream) bool { return o == s })
	if a.owner == s {
		a.owner = nil
	}
}

// locate asks an entry for the owner while there is no live stream to one,
// and opens the streams that the location asks for.
func (a *agent) locate() {
	now := a.now()
	if now.Before(a.locateAt) {
		return
	}
	a.locateAt = now.Add(a.w.between(200*time.Millisecond, time.Second))
	lives := slices.ContainsFunc(a.streams, func(s *stream) bool {
		return (s == a.owner || s.entry.name == a.location.GetOwner()) && a.w.at-s.agentHeard < ownerSilence
	})
	if e := a.w.anyEntry(); !lives && e.runs() && e.doc != nil && !a.w.cut(a.name, e.name) {
		a.takeLocation(e.locate(a.cell()))
	}
	for _, address := range []string{a.location.GetOwner(), a.location.GetDeputy()} {
		a.open(address)
	}
}

func (a *agent) takeLocation(l *pb.Location) {
	if l.GetControlRevision() < a.location.GetControlRevision() {
		return
	}
	a.location = l
	for _, s := range slices.Clone(a.streams) {
		if s != a.owner && s.entry.name != l.GetOwner() && s.entry.name != l.GetDeputy() {
			a.drop(s)
		}
	}
}

func (a *agent) open(address string) {
	e := a.w.entryAt(address)
	known := slices.ContainsFunc(a.streams, func(s *stream) bool { return s.entry == e })
	if e == nil || known || e.dead || a.w.cut(a.name, address) {
		return
	}
	hello := &pb.Hello{
		Endpoint:      a.name,
		Incarnation:   a.incarnation,
		FailureDomain: a.domain,
		Slots:         slots,
		Cell:          a.cell(),
	}
	s := &stream{w: a.w, agent: a, entry: e, hello: hello, agentHeard: a.w.at, entryHeard: a.w.at}
	s.sendToEntry(&pb.AgentFrame{Hello: hello, Heartbeat: a.heartbeat()})
	a.streams = append(a.streams, s)
	e.streams = append(e.streams, s)
}

func (a *agent) heartbeat() *pb.Heartbeat {
	state := a.gate.State(a.mono())
	return &pb.Heartbeat{SentNs: int64(a.mono()), Running: uint32(state.Running), ControlRevision: state.ControlRevision}
}

func (a *agent) beat() {
	if a.now().Sub(a.beatAt) < heartbeatInterval {
		return
	}
	a.beatAt = a.now()
	for _, s := range a.streams {
		s.sendToEntry(&pb.AgentFrame{Heartbeat: a.heartbeat()})
	}
}

// handle takes an entry's frame in the order of the product's agent.
func (a *agent) handle(s *stream, f *pb.OwnerFrame) {
	if f.Location != nil {
		a.takeLocation(f.Location)
	}
	if f.Fence != nil {
		a.fence(s, f.Fence)
	}
	if f.Stamp != nil {
		a.gate.Stamp(a.mono(), gate.Stamp{
			Echo:            time.Duration(f.Stamp.GetEchoNs()),
			Age:             time.Duration(f.Stamp.GetAgeNs()),
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

func (a *agent) fence(s *stream, f *pb.Fence) {
	ack := &pb.FenceAck{Cell: f.GetCell(), Generation: f.GetGeneration()}
	records, ok := a.gate.Fence(f.GetCell(), f.GetGeneration())
	ack.Superseded = !ok
	slices.SortFunc(records, func(a, b gate.Record) int {
		return cmp.Or(bytes.Compare(a.Task.Submission[:], b.Task.Submission[:]), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	for _, r := range records {
		ack.Records = append(ack.Records, outcomeOf(r))
	}
	if ok {
		a.owner = s
		a.generation = f.GetGeneration()
	}
	s.sendToEntry(&pb.AgentFrame{FenceAck: ack})
	s.sendToEntry(&pb.AgentFrame{Heartbeat: a.heartbeat()})
}

func (a *agent) admit(s *stream, m *pb.Start) {
	ask := gate.Start{
		Cell:       m.GetCell(),
		Generation: m.GetGeneration(),
		Task:       gate.Task{Submission: uuid.UUID(m.GetTask().GetSubmission()), Index: m.GetTask().GetIndex()},
		Digest:     m.GetDigest(),
		Timeout:    time.Duration(m.GetTimeoutNs()),
	}
	if s != a.owner {
		ask.Generation = 0
	}
	d := a.gate.Admit(a.mono(), ask)
	if d.Code != result.OK {
		out := outcomeOf(gate.Record{Task: ask.Task, Code: d.Code})
		if d.Code == result.AlreadyStarted {
			out = outcomeOf(d.Record)
		}
		s.sendToEntry(&pb.AgentFrame{Outcomes: []*pb.Outcome{out}})
		return
	}
	begins := a.w.at + a.w.delay()
	a.running = append(a.running, &runningTask{
		start:   ask,
		startAt: begins,
		endAt:   begins + a.w.between(50*time.Millisecond, 1500*time.Millisecond),
		payload: m.GetPayload(),
	})
}

// progress starts and ends a task on the endpoint.
func (a *agent) progress(t *runningTask) {
	if !t.started && a.w.at >= t.startAt {
		if code := a.gate.Recheck(a.mono(), t.start); code != result.OK {
			a.end(t, gate.Record{Task: t.start.Task, Code: code}, true)
			return
		}
		if a.w.chance(0.02) {
			a.end(t, gate.Record{Task: t.start.Task, Code: result.EndpointUnreachable}, true)
			return
		}
		t.started = true
		a.w.checks.started(a, t)
	}
	if t.started && a.w.at >= t.endAt {
		r := gate.Record{Task: t.start.Task, Code: result.OK, Body: bodyOf(t)}
		if a.w.chance(0.01) {
			r = gate.Record{Task: t.start.Task, Code: result.OutcomeUnknown}
		}
		a.end(t, r, false)
	}
}

func (a *agent) end(t *runningTask, r gate.Record, unsent bool) {
	a.running = slices.DeleteFunc(a.running, func(o *runningTask) bool { return o == t })
	if unsent {
		a.gate.Abort(r.Task)
	} else {
		a.gate.End(a.mono(), r)
	}
	if a.owner != nil {
		a.owner.sendToEntry(&pb.AgentFrame{Outcomes: []*pb.Outcome{outcomeOf(r)}})
	}
}

func outcomeOf(r gate.Record) *pb.Outcome {
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

// bodyOf is what the endpoint answers.
func bodyOf(t *runningTask) []byte {
	return fmt.Appendf(nil, `{"submission":%q,"task":%d,"echo":%q}`, t.start.Task.Submission, t.start.Task.Index, t.payload)
}
