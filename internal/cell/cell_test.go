package cell

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/control"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/sched"
)

const (
	testTeam  = "alerts"
	clockSkew = time.Second
	freshness = 3 * time.Second
)

// fakeLink keeps what an owner sends to an agent.
type fakeLink struct {
	starts  []*pb.Start
	cancels []*pb.TaskRef
	fences  []*pb.Fence
}

func (l *fakeLink) Start(s *pb.Start)    { l.starts = append(l.starts, s) }
func (l *fakeLink) Cancel(r *pb.TaskRef) { l.cancels = append(l.cancels, r) }
func (l *fakeLink) Fence(f *pb.Fence)    { l.fences = append(l.fences, f) }
func (l *fakeLink) drainStarts() []*pb.Start {
	s := l.starts
	l.starts = nil
	return s
}

// fixture is one cell with a clock that only the test moves.
type fixture struct {
	t    testing.TB
	cell *Cell
	now  time.Time
}

func newFixture(t *testing.T, generation uint64, old AgentList) *fixture {
	return newFixtureTB(t, generation, old)
}

func newFixtureTB(t testing.TB, generation uint64, old AgentList) *fixture {
	b := &fixture{t: t, now: time.Now()}
	d := control.NewDocument(control.Member{ID: "e1", Address: "127.0.0.1:1"}, 1, "op")
	d.Config.Teams = []control.Team{{Name: testTeam, Weight: 1}}
	b.cell = New(Config{
		Generation:      generation,
		Owner:           "e1",
		IDRetention:     10 * time.Minute,
		AnswerRetention: time.Minute,
		MaxAnswerBytes:  1 << 30,
		ClockSkew:       clockSkew,
		LostAfter:       5 * time.Second,
		Freshness:       freshness,
		MaxPending:      10,
		Sched:           sched.DefaultConfig(),
		IsFresh:         func(time.Time) bool { return true },
	}, d, old, rand.New(rand.NewPCG(1, 2)), b.now)
	return b
}

// attach brings an agent up to where it may get work.
func (b *fixture) attach(endpoint, incarnation string, records ...*pb.Outcome) *fakeLink {
	l := b.attachUnfenced(endpoint, incarnation)
	b.cell.HandleFenceAck(endpoint, l, &pb.FenceAck{Generation: b.cell.Generation(), Records: records}, b.now)
	b.cell.MarkAgentListStored(b.cell.AgentListToStore(b.now), b.now)
	b.cell.MarkStamped(endpoint, l, b.now)
	return l
}

func (b *fixture) attachUnfenced(endpoint, incarnation string) *fakeLink {
	l := &fakeLink{}
	b.cell.Attach(&pb.Hello{Endpoint: endpoint, Incarnation: incarnation, FailureDomain: "Comas", Slots: 8}, l, b.now)
	return l
}

func (b *fixture) newID(age time.Duration) []byte {
	id := uuid.Must(uuid.NewV7())
	ms := b.now.Add(-age).UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id[:]
}

func (b *fixture) submit(id []byte, tasks int, digest uint64) *[]*pb.Answer {
	s := &pb.Submission{Id: id, Team: testTeam, Digest: digest, TimeoutNs: int64(20 * time.Second)}
	for range tasks {
		s.Tasks = append(s.Tasks, &pb.Task{Payload: []byte("{}")})
	}
	var got []*pb.Answer
	b.cell.Submit(s, func(a *pb.Answer) { got = append(got, a) }, b.now)
	return &got
}

func (b *fixture) tick(d time.Duration) {
	b.now = b.now.Add(d)
	b.cell.Tick(b.now)
}

// reportOutcomes ends starts on endpoint e-1.
func (b *fixture) reportOutcomes(l *fakeLink, starts []*pb.Start, code result.Code) {
	var out []*pb.Outcome
	for _, s := range starts {
		out = append(out, &pb.Outcome{Task: s.Task, Code: uint32(code), Body: []byte("1"), RunNs: 1})
	}
	b.cell.HandleOutcomes("e-1", l, out, b.now)
}

func answerCodes(answers *[]*pb.Answer) []result.Code {
	var all []result.Code
	for _, a := range *answers {
		all = append(all, result.Code(a.GetCode()))
	}
	return all
}

func outcomeOf(id []byte, index uint32, running bool) *pb.Outcome {
	return &pb.Outcome{Task: &pb.TaskRef{Submission: id, Index: index}, Running: running, Body: []byte("1"), Digest: 7}
}

func TestResubmissionStartsNothingAgain(t *testing.T) {
	b := newFixture(t, 1, AgentList{})
	b.cell.AcceptOwnership(b.now)
	l := b.attach("e-1", "i1")
	id := b.newID(0)
	first := b.submit(id, 3, 7)
	starts := l.drainStarts()
	must.Len(t, 3, starts)
	again := b.submit(id, 3, 7)
	other := b.submit(id, 2, 8)
	must.Eq(t, []result.Code{result.IDConflict}, answerCodes(other))
	must.Len(t, 0, l.drainStarts())
	b.reportOutcomes(l, starts, result.OK)
	must.Eq(t, []result.Code{result.OK}, answerCodes(first))
	must.Eq(t, []result.Code{result.OK}, answerCodes(again))
	must.Len(t, 3, (*first)[0].GetOutcomes())
	late := b.submit(id, 3, 7)
	must.Eq(t, []result.Code{result.OK}, answerCodes(late))
	b.tick(2 * time.Minute)
	must.Eq(t, []result.Code{result.AnswerExpired}, answerCodes(b.submit(id, 3, 7)))
	b.tick(20 * time.Minute)
	must.Eq(t, []result.Code{result.OutcomeUnknown}, answerCodes(b.submit(id, 3, 7)))
	must.Len(t, 0, l.drainStarts())
}

func TestTakeoverContinuesFromRecords(t *testing.T) {
	old := AgentList{Agents: []ListedAgent{{Endpoint: "e-1", Incarnation: "i1"}}}
	b := newFixture(t, 2, old)
	id := b.newID(time.Second)
	got := b.submit(id, 3, 7)
	b.cell.AcceptOwnership(b.now)
	must.Len(t, 0, *got)
	l := b.attach("e-1", "i1", outcomeOf(id, 0, false), outcomeOf(id, 1, true))
	starts := l.drainStarts()
	must.Len(t, 1, starts)
	must.Eq(t, 2, starts[0].GetTask().GetIndex())
	b.reportOutcomes(l, starts, result.OK)
	must.Len(t, 0, *got)
	b.cell.HandleOutcomes("e-1", l, []*pb.Outcome{outcomeOf(id, 1, false)}, b.now)
	must.Eq(t, []result.Code{result.OK}, answerCodes(got))
}

func TestTakeoverWithAMissingMember(t *testing.T) {
	old := AgentList{Agents: []ListedAgent{{Endpoint: "e-1", Incarnation: "i1"}, {Endpoint: "e-2", Incarnation: "i2"}}}
	b := newFixture(t, 2, old)
	b.cell.AcceptOwnership(b.now)
	l := b.attach("e-1", "i1")
	before := b.submit(b.newID(time.Second), 1, 7)
	b.tick(freshness)
	must.Len(t, 0, *before)
	must.Len(t, 0, l.drainStarts())
	b.tick(time.Millisecond)
	must.Eq(t, []result.Code{result.OutcomeUnknown}, answerCodes(before))
	b.tick(2*clockSkew + time.Second)
	must.Len(t, 0, *b.submit(b.newID(0), 1, 7))
	must.Len(t, 1, l.drainStarts())
	l2 := b.attach("e-2", "i2")
	must.Len(t, 0, *b.submit(b.newID(5*time.Second), 1, 7))
	must.Len(t, 1, append(l.drainStarts(), l2.drainStarts()...))
}

func TestTakeoverDoesNotCallAwayWhatCannotRunNow(t *testing.T) {
	old := AgentList{Agents: []ListedAgent{{Endpoint: "e-1", Incarnation: "i1"}, {Endpoint: "e-9", Incarnation: "i9", FailureDomain: "Los Olivos", Slots: 8}}}
	b := newFixture(t, 2, old)
	d := b.cell.control.Clone()
	d.Revision++
	d.Config.Teams[0].Domains = []string{"Los Olivos"}
	b.cell.ApplyControl(d, b.now)
	b.cell.AcceptOwnership(b.now)
	b.attach("e-1", "i1")
	b.tick(freshness + time.Millisecond)
	b.tick(3 * clockSkew)
	must.Len(t, 0, *b.submit(b.newID(0), 1, 7))
}

func TestDepartedMemberLeavesAGap(t *testing.T) {
	now := time.Now()
	old := AgentList{Agents: []ListedAgent{{Endpoint: "e-1", Incarnation: "i0", DepartedAt: now.Add(-time.Minute)}}}
	b := newFixture(t, 2, old)
	b.cell.AcceptOwnership(b.now)
	l := b.attach("e-1", "i1")
	must.Eq(t, []result.Code{result.OutcomeUnknown}, answerCodes(b.submit(b.newID(2*time.Minute), 1, 7)))
	must.Len(t, 0, *b.submit(b.newID(time.Second), 1, 7))
	must.Len(t, 1, l.drainStarts())
}

// TestMemberLostBeforeAcceptanceHoldsTheTakeover loses an agent to this owner
// while it may still work for the old one, whose time ends only F after the
// acceptance.
func TestMayHaveStarted(t *testing.T) {
	b := newFixture(t, 1, AgentList{})
	b.cell.AcceptOwnership(b.now)
	l := b.attach("e-1", "i1")
	id := b.newID(0)
	must.False(t, b.cell.MayHaveStarted(sched.Key(id)))
	b.submit(id, 1, 1)
	must.True(t, b.cell.MayHaveStarted(sched.Key(id)))
	b.reportOutcomes(l, l.drainStarts(), result.OK)
	must.True(t, b.cell.MayHaveStarted(sched.Key(id)))
}

func TestMemberLostBeforeAcceptanceHoldsTheTakeover(t *testing.T) {
	b := newFixture(t, 2, AgentList{Generation: 1, Agents: []ListedAgent{{Endpoint: "e-1", Incarnation: "i1"}}})
	l := b.attachUnfenced("e-1", "i1")
	b.cell.Detach("e-1", l, b.now)
	b.tick(6 * time.Second)
	b.cell.AcceptOwnership(b.now)
	id := b.newID(0)
	got := b.submit(id, 1, 1)
	must.SliceEmpty(t, *got)
	b.tick(freshness + time.Millisecond)
	must.Eq(t, []result.Code{result.OutcomeUnknown}, answerCodes(got))
}

func TestCutStreamNeverDoublesAStart(t *testing.T) {
	b := newFixture(t, 1, AgentList{})
	b.cell.AcceptOwnership(b.now)
	l := b.attach("e-1", "i1")
	id := b.newID(0)
	got := b.submit(id, 2, 7)
	must.Len(t, 2, l.drainStarts())
	b.cell.Detach("e-1", l, b.now)
	b.tick(time.Second)
	l2 := b.attach("e-1", "i1", outcomeOf(id, 0, true))
	b.tick(time.Second)
	again := l2.drainStarts()
	must.Len(t, 1, again)
	must.Eq(t, 1, again[0].GetTask().GetIndex())
	b.reportOutcomes(l, again, result.OK)
	must.Len(t, 0, *got)
	b.cell.Detach("e-1", l2, b.now)
	b.tick(6 * time.Second)
	must.Eq(t, []result.Code{result.OutcomeUnknown}, answerCodes(got))
}

func TestRestartedAgentLosesItsTasks(t *testing.T) {
	b := newFixture(t, 1, AgentList{})
	b.cell.AcceptOwnership(b.now)
	l := b.attach("e-1", "i1")
	got := b.submit(b.newID(0), 1, 7)
	must.Len(t, 1, l.drainStarts())
	b.attach("e-1", "i2")
	must.Eq(t, []result.Code{result.OutcomeUnknown}, answerCodes(got))
	m := b.cell.AgentListToStore(b.now)
	must.Len(t, 2, m.Agents)
	must.False(t, m.Agents[0].DepartedAt.IsZero())
}

func TestNotRunIsNeverSaidOfAStartedJob(t *testing.T) {
	for name, end := range map[string]func(b *fixture, id []byte){
		"cancelled": func(b *fixture, id []byte) { b.cell.Cancel(sched.Key(id), b.now) },
		"deadline":  func(b *fixture, _ []byte) { b.tick(26 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, 1, AgentList{})
			b.cell.AcceptOwnership(b.now)
			l := b.attach("e-1", "i1")
			id := b.newID(0)
			got := b.submit(id, 20, 7)
			starts := l.drainStarts()
			must.Len(t, 8, starts)
			end(b, id)
			b.reportOutcomes(l, starts, result.CancelledAfterStart)
			must.Len(t, 1, *got)
			must.False(t, result.Code((*got)[0].GetCode()).NotRun())
			notRun := 0
			for _, o := range (*got)[0].GetOutcomes() {
				if result.Code(o.GetCode()).NotRun() {
					notRun++
				}
			}
			must.Eq(t, 12, notRun)
		})
	}
}

func TestLateAndDoubledOutcomesChangeNothing(t *testing.T) {
	b := newFixture(t, 1, AgentList{})
	b.cell.AcceptOwnership(b.now)
	l := b.attach("e-1", "i1")
	got := b.submit(b.newID(0), 2, 7)
	starts := l.drainStarts()
	b.reportOutcomes(l, starts[1:], result.OK)
	b.reportOutcomes(l, starts[1:], result.TaskFailed)
	b.reportOutcomes(l, starts[:1], result.OK)
	b.reportOutcomes(l, starts, result.TaskFailed)
	must.Eq(t, []result.Code{result.OK}, answerCodes(got))
	must.Eq(t, 3, b.cell.State().Counters.DuplicateOutcomes)
	must.Eq(t, 0, b.cell.State().Counters.InvariantFailures)
}

func TestTooManyAnswersDropTheOldest(t *testing.T) {
	b := newFixture(t, 1, AgentList{})
	b.cell.cfg.MaxAnswerBytes = 300
	b.cell.AcceptOwnership(b.now)
	l := b.attach("e-1", "i1")
	var ids [][]byte
	for range 10 {
		ids = append(ids, b.newID(0))
		b.submit(ids[len(ids)-1], 1, 7)
		b.reportOutcomes(l, l.drainStarts(), result.OK)
	}
	b.tick(time.Millisecond)
	must.LessEq(t, 300, b.cell.State().AnswerBytes)
	must.Eq(t, []result.Code{result.AnswerExpired}, answerCodes(b.submit(ids[0], 1, 7)))
	must.Eq(t, []result.Code{result.OK}, answerCodes(b.submit(ids[9], 1, 7)))
	must.Len(t, 0, l.drainStarts())
}

func TestClosedCellSendsEveryoneToTheNewOwner(t *testing.T) {
	b := newFixture(t, 1, AgentList{})
	b.cell.AcceptOwnership(b.now)
	l := b.attach("e-1", "i1")
	got := b.submit(b.newID(0), 1, 7)
	starts := l.drainStarts()
	b.cell.Close()
	must.Eq(t, []result.Code{result.NotOwner}, answerCodes(got))
	b.reportOutcomes(l, starts, result.OK)
	must.Eq(t, []result.Code{result.NotOwner}, answerCodes(b.submit(b.newID(0), 1, 7)))
	must.Len(t, 1, *got)
}
