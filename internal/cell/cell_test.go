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
	testTeam = "alerts"
	skew     = time.Second
	fresh    = 3 * time.Second
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
func (l *fakeLink) takeStarts() []*pb.Start {
	s := l.starts
	l.starts = nil
	return s
}

// bench is one cell with a clock that only the test moves.
type bench struct {
	t    testing.TB
	cell *Cell
	now  time.Time
}

func newBench(t *testing.T, generation uint64, old Members) *bench {
	return newBenchOn(t, generation, old)
}

func newBenchOn(t testing.TB, generation uint64, old Members) *bench {
	b := &bench{t: t, now: time.Now()}
	d := control.New(control.Member{ID: "e1", Address: "127.0.0.1:1"}, 1, "op")
	d.Config.Teams = []control.Team{{Name: testTeam, Weight: 1}}
	b.cell = New(Config{
		Generation:      generation,
		Owner:           "e1",
		IDRetention:     10 * time.Minute,
		AnswerRetention: time.Minute,
		MaxAnswerBytes:  1 << 30,
		ClockSkew:       skew,
		LostAfter:       5 * time.Second,
		Freshness:       fresh,
		MaxPending:      10,
		Sched:           sched.DefaultConfig(),
		Fresh:           func(time.Time) bool { return true },
	}, d, old, rand.New(rand.NewPCG(1, 2)), b.now)
	return b
}

// attach brings an agent up to where it may get work.
func (b *bench) attach(endpoint, incarnation string, records ...*pb.Outcome) *fakeLink {
	l := b.hello(endpoint, incarnation)
	b.cell.FenceAck(endpoint, l, &pb.FenceAck{Generation: b.cell.Generation(), Records: records}, b.now)
	b.cell.MembersStored(b.cell.MembersToStore(b.now), b.now)
	b.cell.Stamped(endpoint, l, b.now)
	return l
}

func (b *bench) hello(endpoint, incarnation string) *fakeLink {
	l := &fakeLink{}
	b.cell.Attach(&pb.Hello{Endpoint: endpoint, Incarnation: incarnation, FailureDomain: "Comas", Slots: 8}, l, b.now)
	return l
}

func (b *bench) id(age time.Duration) []byte {
	id := uuid.Must(uuid.NewV7())
	ms := b.now.Add(-age).UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id[:]
}

func (b *bench) submit(id []byte, tasks int, digest uint64) *[]*pb.Answer {
	s := &pb.Submission{Id: id, Team: testTeam, Digest: digest, TimeoutNs: int64(20 * time.Second)}
	for range tasks {
		s.Tasks = append(s.Tasks, &pb.Task{Payload: []byte("{}")})
	}
	var got []*pb.Answer
	b.cell.Submit(s, func(a *pb.Answer) { got = append(got, a) }, b.now)
	return &got
}

func (b *bench) tick(d time.Duration) {
	b.now = b.now.Add(d)
	b.cell.Tick(b.now)
}

// finish ends starts on endpoint e-1.
func (b *bench) finish(l *fakeLink, starts []*pb.Start, code result.Code) {
	var out []*pb.Outcome
	for _, s := range starts {
		out = append(out, &pb.Outcome{Task: s.Task, Code: uint32(code), Body: []byte("1"), RunNs: 1})
	}
	b.cell.Outcomes("e-1", l, out, b.now)
}

func codes(answers *[]*pb.Answer) []result.Code {
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
	b := newBench(t, 1, Members{})
	b.cell.Accepted(b.now)
	l := b.attach("e-1", "i1")
	id := b.id(0)
	first := b.submit(id, 3, 7)
	starts := l.takeStarts()
	must.Len(t, 3, starts)
	again := b.submit(id, 3, 7)
	other := b.submit(id, 2, 8)
	must.Eq(t, []result.Code{result.IDConflict}, codes(other))
	must.Len(t, 0, l.takeStarts())
	b.finish(l, starts, result.OK)
	must.Eq(t, []result.Code{result.OK}, codes(first))
	must.Eq(t, []result.Code{result.OK}, codes(again))
	must.Len(t, 3, (*first)[0].GetOutcomes())
	late := b.submit(id, 3, 7)
	must.Eq(t, []result.Code{result.OK}, codes(late))
	b.tick(2 * time.Minute)
	must.Eq(t, []result.Code{result.AnswerExpired}, codes(b.submit(id, 3, 7)))
	b.tick(20 * time.Minute)
	must.Eq(t, []result.Code{result.OutcomeUnknown}, codes(b.submit(id, 3, 7)))
	must.Len(t, 0, l.takeStarts())
}

func TestTakeoverContinuesFromRecords(t *testing.T) {
	old := Members{Agents: []Member{{Endpoint: "e-1", Incarnation: "i1"}}}
	b := newBench(t, 2, old)
	id := b.id(time.Second)
	got := b.submit(id, 3, 7)
	b.cell.Accepted(b.now)
	must.Len(t, 0, *got)
	l := b.attach("e-1", "i1", outcomeOf(id, 0, false), outcomeOf(id, 1, true))
	starts := l.takeStarts()
	must.Len(t, 1, starts)
	must.Eq(t, 2, starts[0].GetTask().GetIndex())
	b.finish(l, starts, result.OK)
	must.Len(t, 0, *got)
	b.cell.Outcomes("e-1", l, []*pb.Outcome{outcomeOf(id, 1, false)}, b.now)
	must.Eq(t, []result.Code{result.OK}, codes(got))
}

func TestTakeoverWithAMissingMember(t *testing.T) {
	old := Members{Agents: []Member{{Endpoint: "e-1", Incarnation: "i1"}, {Endpoint: "e-2", Incarnation: "i2"}}}
	b := newBench(t, 2, old)
	b.cell.Accepted(b.now)
	l := b.attach("e-1", "i1")
	before := b.submit(b.id(time.Second), 1, 7)
	b.tick(fresh)
	must.Len(t, 0, *before)
	must.Len(t, 0, l.takeStarts())
	b.tick(time.Millisecond)
	must.Eq(t, []result.Code{result.OutcomeUnknown}, codes(before))
	b.tick(2*skew + time.Second)
	must.Len(t, 0, *b.submit(b.id(0), 1, 7))
	must.Len(t, 1, l.takeStarts())
	l2 := b.attach("e-2", "i2")
	must.Len(t, 0, *b.submit(b.id(5*time.Second), 1, 7))
	must.Len(t, 1, append(l.takeStarts(), l2.takeStarts()...))
}

func TestTakeoverDoesNotCallAwayWhatCannotRunNow(t *testing.T) {
	old := Members{Agents: []Member{{Endpoint: "e-1", Incarnation: "i1"}, {Endpoint: "e-9", Incarnation: "i9", FailureDomain: "Los Olivos", Slots: 8}}}
	b := newBench(t, 2, old)
	d := b.cell.control.Clone()
	d.Revision++
	d.Config.Teams[0].Domains = []string{"Los Olivos"}
	b.cell.ApplyControl(d, b.now)
	b.cell.Accepted(b.now)
	b.attach("e-1", "i1")
	b.tick(fresh + time.Millisecond)
	b.tick(3 * skew)
	must.Len(t, 0, *b.submit(b.id(0), 1, 7))
}

func TestDepartedMemberLeavesAGap(t *testing.T) {
	now := time.Now()
	old := Members{Agents: []Member{{Endpoint: "e-1", Incarnation: "i0", DepartedAt: now.Add(-time.Minute)}}}
	b := newBench(t, 2, old)
	b.cell.Accepted(b.now)
	l := b.attach("e-1", "i1")
	must.Eq(t, []result.Code{result.OutcomeUnknown}, codes(b.submit(b.id(2*time.Minute), 1, 7)))
	must.Len(t, 0, *b.submit(b.id(time.Second), 1, 7))
	must.Len(t, 1, l.takeStarts())
}

// TestMemberLostBeforeAcceptanceHoldsTheTakeover loses an agent to this owner
// while it may still work for the old one, whose time ends only F after the
// acceptance.
func TestMayHaveStarted(t *testing.T) {
	b := newBench(t, 1, Members{})
	b.cell.Accepted(b.now)
	l := b.attach("e-1", "i1")
	id := b.id(0)
	must.False(t, b.cell.MayHaveStarted(sched.Key(id)))
	b.submit(id, 1, 1)
	must.True(t, b.cell.MayHaveStarted(sched.Key(id)))
	b.finish(l, l.takeStarts(), result.OK)
	must.True(t, b.cell.MayHaveStarted(sched.Key(id)))
}

func TestMemberLostBeforeAcceptanceHoldsTheTakeover(t *testing.T) {
	b := newBench(t, 2, Members{Generation: 1, Agents: []Member{{Endpoint: "e-1", Incarnation: "i1"}}})
	l := b.hello("e-1", "i1")
	b.cell.Detach("e-1", l, b.now)
	b.tick(6 * time.Second)
	b.cell.Accepted(b.now)
	id := b.id(0)
	got := b.submit(id, 1, 1)
	must.SliceEmpty(t, *got)
	b.tick(fresh + time.Millisecond)
	must.Eq(t, []result.Code{result.OutcomeUnknown}, codes(got))
}

func TestCutStreamNeverDoublesAStart(t *testing.T) {
	b := newBench(t, 1, Members{})
	b.cell.Accepted(b.now)
	l := b.attach("e-1", "i1")
	id := b.id(0)
	got := b.submit(id, 2, 7)
	must.Len(t, 2, l.takeStarts())
	b.cell.Detach("e-1", l, b.now)
	b.tick(time.Second)
	l2 := b.attach("e-1", "i1", outcomeOf(id, 0, true))
	b.tick(time.Second)
	again := l2.takeStarts()
	must.Len(t, 1, again)
	must.Eq(t, 1, again[0].GetTask().GetIndex())
	b.finish(l, again, result.OK)
	must.Len(t, 0, *got)
	b.cell.Detach("e-1", l2, b.now)
	b.tick(6 * time.Second)
	must.Eq(t, []result.Code{result.OutcomeUnknown}, codes(got))
}

func TestRestartedAgentLosesItsTasks(t *testing.T) {
	b := newBench(t, 1, Members{})
	b.cell.Accepted(b.now)
	l := b.attach("e-1", "i1")
	got := b.submit(b.id(0), 1, 7)
	must.Len(t, 1, l.takeStarts())
	b.attach("e-1", "i2")
	must.Eq(t, []result.Code{result.OutcomeUnknown}, codes(got))
	m := b.cell.MembersToStore(b.now)
	must.Len(t, 2, m.Agents)
	must.False(t, m.Agents[0].DepartedAt.IsZero())
}

func TestNotRunIsNeverSaidOfAStartedJob(t *testing.T) {
	for name, end := range map[string]func(b *bench, id []byte){
		"cancelled": func(b *bench, id []byte) { b.cell.Cancel(sched.Key(id), b.now) },
		"deadline":  func(b *bench, _ []byte) { b.tick(26 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 1, Members{})
			b.cell.Accepted(b.now)
			l := b.attach("e-1", "i1")
			id := b.id(0)
			got := b.submit(id, 20, 7)
			starts := l.takeStarts()
			must.Len(t, 8, starts)
			end(b, id)
			b.finish(l, starts, result.CancelledAfterStart)
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
	b := newBench(t, 1, Members{})
	b.cell.Accepted(b.now)
	l := b.attach("e-1", "i1")
	got := b.submit(b.id(0), 2, 7)
	starts := l.takeStarts()
	b.finish(l, starts[1:], result.OK)
	b.finish(l, starts[1:], result.TaskFailed)
	b.finish(l, starts[:1], result.OK)
	b.finish(l, starts, result.TaskFailed)
	must.Eq(t, []result.Code{result.OK}, codes(got))
	must.Eq(t, 3, b.cell.State().Counters.DuplicateOutcomes)
	must.Eq(t, 0, b.cell.State().Counters.InvariantFailures)
}

func TestTooManyAnswersDropTheOldest(t *testing.T) {
	b := newBench(t, 1, Members{})
	b.cell.cfg.MaxAnswerBytes = 300
	b.cell.Accepted(b.now)
	l := b.attach("e-1", "i1")
	var ids [][]byte
	for range 10 {
		ids = append(ids, b.id(0))
		b.submit(ids[len(ids)-1], 1, 7)
		b.finish(l, l.takeStarts(), result.OK)
	}
	b.tick(time.Millisecond)
	must.LessEq(t, 300, b.cell.State().AnswerBytes)
	must.Eq(t, []result.Code{result.AnswerExpired}, codes(b.submit(ids[0], 1, 7)))
	must.Eq(t, []result.Code{result.OK}, codes(b.submit(ids[9], 1, 7)))
	must.Len(t, 0, l.takeStarts())
}

func TestClosedCellSendsEveryoneToTheNewOwner(t *testing.T) {
	b := newBench(t, 1, Members{})
	b.cell.Accepted(b.now)
	l := b.attach("e-1", "i1")
	got := b.submit(b.id(0), 1, 7)
	starts := l.takeStarts()
	b.cell.Close()
	must.Eq(t, []result.Code{result.NotOwner}, codes(got))
	b.finish(l, starts, result.OK)
	must.Eq(t, []result.Code{result.NotOwner}, codes(b.submit(b.id(0), 1, 7)))
	must.Len(t, 1, *got)
}
