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

// fakeLink records the messages that an owner sends to an agent.
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

// fixture is a cell with a clock that advances only when the test says so.
type fixture struct {
	t    testing.TB
	cell *Cell
	now  time.Time
}

func newFixture(t *testing.T, generation uint64, old AgentList) *fixture {
	return newFixtureTB(t, generation, old)
}

// newServingFixture returns the first owner of a cell, which serves, with one agent.
func newServingFixture(t *testing.T) (*fixture, *fakeLink) {
	f := newFixture(t, 1, AgentList{})
	f.cell.AcceptOwnership(f.now)
	return f, f.attach("e-1", "i1")
}

func newFixtureTB(t testing.TB, generation uint64, old AgentList) *fixture {
	f := &fixture{t: t, now: time.Now()}
	d := control.NewDocument(control.Member{ID: "e1", Address: "127.0.0.1:1"}, 1, "op")
	d.Config.Teams = []control.Team{{Name: testTeam, Weight: 1}}
	f.cell = New(Config{
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
	}, d, old, rand.New(rand.NewPCG(1, 2)), f.now)
	return f
}

// attach connects an agent and brings it to where it may get work.
func (f *fixture) attach(endpoint, incarnation string, records ...*pb.Outcome) *fakeLink {
	l := f.attachUnfenced(endpoint, incarnation)
	f.cell.HandleFenceAck(endpoint, l, &pb.FenceAck{Generation: f.cell.Generation(), Records: records}, f.now)
	f.cell.MarkAgentListStored(f.cell.AgentListToStore(f.now), f.now)
	f.cell.MarkStamped(endpoint, l, f.now)
	return l
}

func (f *fixture) attachUnfenced(endpoint, incarnation string) *fakeLink {
	l := &fakeLink{}
	f.cell.Attach(&pb.Hello{Endpoint: endpoint, Incarnation: incarnation, FailureDomain: "Comas", Slots: 8}, l, f.now)
	return l
}

func (f *fixture) newID(age time.Duration) []byte {
	id := uuid.Must(uuid.NewV7())
	ms := f.now.Add(-age).UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id[:]
}

func (f *fixture) submit(id []byte, tasks int, digest uint64) *[]*pb.Answer {
	s := &pb.Submission{Id: id, Team: testTeam, Digest: digest, TimeoutNs: int64(20 * time.Second)}
	for range tasks {
		s.Tasks = append(s.Tasks, &pb.Task{Payload: []byte("{}")})
	}
	var got []*pb.Answer
	f.cell.Submit(s, func(a *pb.Answer) { got = append(got, a) }, f.now)
	return &got
}

func (f *fixture) tick(d time.Duration) {
	f.now = f.now.Add(d)
	f.cell.Tick(f.now)
}

// reportOutcomes ends the started tasks on endpoint e-1 with the given code.
func (f *fixture) reportOutcomes(l *fakeLink, starts []*pb.Start, code result.Code) {
	var out []*pb.Outcome
	for _, s := range starts {
		out = append(out, &pb.Outcome{Task: s.Task, Code: uint32(code), Body: []byte("1"), RunNs: 1})
	}
	f.cell.HandleOutcomes("e-1", l, out, f.now)
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
	f, l := newServingFixture(t)
	id := f.newID(0)
	first := f.submit(id, 3, 7)
	starts := l.drainStarts()
	must.Len(t, 3, starts)
	again := f.submit(id, 3, 7)
	other := f.submit(id, 2, 8)
	must.Eq(t, []result.Code{result.IDConflict}, answerCodes(other))
	must.Len(t, 0, l.drainStarts())
	f.reportOutcomes(l, starts, result.OK)
	must.Eq(t, []result.Code{result.OK}, answerCodes(first))
	must.Eq(t, []result.Code{result.OK}, answerCodes(again))
	must.Len(t, 3, (*first)[0].GetOutcomes())
	late := f.submit(id, 3, 7)
	must.Eq(t, []result.Code{result.OK}, answerCodes(late))
	f.tick(2 * time.Minute)
	must.Eq(t, []result.Code{result.AnswerExpired}, answerCodes(f.submit(id, 3, 7)))
	f.tick(20 * time.Minute)
	must.Eq(t, []result.Code{result.OutcomeUnknown}, answerCodes(f.submit(id, 3, 7)))
	must.Len(t, 0, l.drainStarts())
}

// TestMissingAgentLeavesEarlierIDsUnknown guards against starting a job again
// that a listed agent, which has not attached, may have started for the
// previous owner. IDs made up to the takeover must be answered as unknown, and
// no task may start before the previous owner can no longer act.
func TestMissingAgentLeavesEarlierIDsUnknown(t *testing.T) {
	old := AgentList{Agents: []ListedAgent{{Endpoint: "e-1", Incarnation: "i1"}, {Endpoint: "e-2", Incarnation: "i2"}}}
	f := newFixture(t, 2, old)
	f.cell.AcceptOwnership(f.now)
	l := f.attach("e-1", "i1")
	before := f.submit(f.newID(time.Second), 1, 7)
	f.tick(freshness)
	must.Len(t, 0, *before)
	must.Len(t, 0, l.drainStarts())
	f.tick(time.Millisecond)
	must.Eq(t, []result.Code{result.OutcomeUnknown}, answerCodes(before))
	f.tick(2*clockSkew + time.Second)
	must.Len(t, 0, *f.submit(f.newID(0), 1, 7))
	must.Len(t, 1, l.drainStarts())
	l2 := f.attach("e-2", "i2")
	must.Len(t, 0, *f.submit(f.newID(5*time.Second), 1, 7))
	must.Len(t, 1, append(l.drainStarts(), l2.drainStarts()...))
}

func TestIDsBeforeADepartureAreUnknown(t *testing.T) {
	now := time.Now()
	old := AgentList{Agents: []ListedAgent{{Endpoint: "e-1", Incarnation: "i0", DepartedAt: now.Add(-time.Minute)}}}
	f := newFixture(t, 2, old)
	f.cell.AcceptOwnership(f.now)
	l := f.attach("e-1", "i1")
	must.Eq(t, []result.Code{result.OutcomeUnknown}, answerCodes(f.submit(f.newID(2*time.Minute), 1, 7)))
	must.Len(t, 0, *f.submit(f.newID(time.Second), 1, 7))
	must.Len(t, 1, l.drainStarts())
}

func TestMayHaveStarted(t *testing.T) {
	f, l := newServingFixture(t)
	id := f.newID(0)
	must.False(t, f.cell.MayHaveStarted(sched.Key(id)))
	f.submit(id, 1, 1)
	must.True(t, f.cell.MayHaveStarted(sched.Key(id)))
	f.reportOutcomes(l, l.drainStarts(), result.OK)
	must.True(t, f.cell.MayHaveStarted(sched.Key(id)))
}

func TestStartedJobNeverEndsAsNotRun(t *testing.T) {
	for name, end := range map[string]func(f *fixture, id []byte){
		"cancelled": func(f *fixture, id []byte) { f.cell.Cancel(sched.Key(id), f.now) },
		"deadline":  func(f *fixture, _ []byte) { f.tick(26 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			f, l := newServingFixture(t)
			id := f.newID(0)
			got := f.submit(id, 20, 7)
			starts := l.drainStarts()
			must.Len(t, 8, starts)
			end(f, id)
			f.reportOutcomes(l, starts, result.CancelledAfterStart)
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

func TestMaxAnswerBytesEvictsOldestAnswers(t *testing.T) {
	f := newFixture(t, 1, AgentList{})
	f.cell.cfg.MaxAnswerBytes = 300
	f.cell.AcceptOwnership(f.now)
	l := f.attach("e-1", "i1")
	var ids [][]byte
	for range 10 {
		ids = append(ids, f.newID(0))
		f.submit(ids[len(ids)-1], 1, 7)
		f.reportOutcomes(l, l.drainStarts(), result.OK)
	}
	f.tick(time.Millisecond)
	must.LessEq(t, 300, f.cell.State().AnswerBytes)
	must.Eq(t, []result.Code{result.AnswerExpired}, answerCodes(f.submit(ids[0], 1, 7)))
	must.Eq(t, []result.Code{result.OK}, answerCodes(f.submit(ids[9], 1, 7)))
	must.Len(t, 0, l.drainStarts())
}

func TestClosedCellRepliesNotOwner(t *testing.T) {
	f, l := newServingFixture(t)
	got := f.submit(f.newID(0), 1, 7)
	starts := l.drainStarts()
	f.cell.Close()
	must.Eq(t, []result.Code{result.NotOwner}, answerCodes(got))
	f.reportOutcomes(l, starts, result.OK)
	must.Eq(t, []result.Code{result.NotOwner}, answerCodes(f.submit(f.newID(0), 1, 7)))
	must.Len(t, 1, *got)
}
