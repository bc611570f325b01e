package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/cell"
	"github.com/pomelosill/pomelosill/internal/control"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/outbox"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/sched"
)

// relayFixture is the relay of entry e1 with a remote owner, e2, and no network:
// tests read what is sent to e2 from the stream's queue.
type relayFixture struct {
	t       *testing.T
	control *controlState
	relay   *submissionRelay
	stream  *ownerStream
	local   *cell.Cell
}

func documentOwnedBy(revision uint64, owner string, generation uint64) *control.Document {
	return &control.Document{
		Revision: revision,
		Config:   control.Config{Teams: []control.Team{{Name: "alerts", Weight: 1}}},
		Roster:   []control.Member{{ID: "e1"}, {ID: "e2"}},
		Cells:    []control.Cell{{Owner: owner, Generation: generation}},
	}
}

func newRelayFixture(t *testing.T, d *control.Document) *relayFixture {
	f := &relayFixture{t: t, control: newControlState("e1")}
	f.control.UpdateFromStore(d, 20, time.Now())
	confirmer := newAnswerConfirmer(f.control, func() {}, time.Minute)
	f.relay = newSubmissionRelay(f.control, nil, confirmer, &counters{}, zap.NewNop())
	f.relay.localCell = func(uint32) *cell.Cell { return f.local }
	f.stream = &ownerStream{id: "e2", out: outbox.New[*pb.RelayRequest]()}
	f.relay.streams["e2"] = f.stream
	return f
}

func (f *relayFixture) submit() (sched.Key, <-chan *pb.Answer) {
	id := uuid.Must(uuid.NewV7())
	s := &pb.Submission{Id: id[:], Team: "alerts", TimeoutNs: int64(time.Minute), Tasks: []*pb.Task{{}}}
	return sched.Key(id), f.relay.Submit(f.t.Context(), s)
}

func (f *relayFixture) resendAndExpire() {
	for i := range f.relay.shards {
		f.relay.resendAndExpire(f.t.Context(), &f.relay.shards[i], f.control.Document(), time.Now())
	}
}

func (f *relayFixture) answer(key sched.Key, code result.Code, generation uint64) {
	ref := ownerRef{id: "e2", generation: generation, stream: f.stream}
	f.relay.handleAnswer(key, ref, &pb.Answer{Id: key[:], Code: uint32(code), Generation: generation})
}

// servingCell returns a cell that serves submissions under the document, without
// agents.
func servingCell(t *testing.T, d *control.Document) *cell.Cell {
	t.Helper()
	c := cell.New(cell.Config{
		Generation: d.Cells[0].Generation, IDRetention: time.Minute, ClockSkew: time.Second, LostAfter: time.Minute,
		Freshness: time.Second, MaxPending: 1, MaxAnswerBytes: 1 << 20, AnswerRetention: time.Minute,
		Sched:   sched.DefaultConfig(),
		IsFresh: func(time.Time) bool { return true },
	}, d, cell.AgentList{}, rand.New(rand.NewPCG(1, 2)), time.Now())
	c.AcceptOwnership(time.Now())
	return c
}

// receivedCode returns the code of the answer in c, or Internal if there is none
// yet.
func receivedCode(c <-chan *pb.Answer) result.Code {
	select {
	case a := <-c:
		return result.Code(a.GetCode())
	default:
		return result.Internal
	}
}

// An answer that could not be confirmed in time must still reach the entry that
// relayed the submission, or the caller would wait until the grace period after
// the deadline has passed.
func TestUnconfirmedAnswerReachesTheRelay(t *testing.T) {
	f := newRelayFixture(t, documentOwnedBy(2, "e2", 4))
	key, got := f.submit()

	owner := newControlState("e2")
	owner.UpdateFromPeer(documentOwnedBy(2, "e2", 4))
	confirmer := newAnswerConfirmer(owner, func() {}, time.Minute)
	confirmer.Deliver(&pb.Answer{Id: key[:], Code: uint32(result.OverQuota), Generation: 4}, func(a *pb.Answer) {
		f.relay.handleAnswer(key, ownerRef{id: "e2", generation: a.GetGeneration(), stream: f.stream}, a)
	})
	confirmer.deliverConfirmed(time.Now().Add(time.Hour))
	must.Eq(t, result.OutcomeUnknown, receivedCode(got))
}

// A cancellation may arrive while the job's cell has no owner. It must be sent
// with the job to the new owner, which would run the job otherwise.
func TestNewOwnerGetsTheCancellation(t *testing.T) {
	f := newRelayFixture(t, documentOwnedBy(2, "", 4))
	key, got := f.submit()
	f.relay.Cancel(t.Context(), key)
	d := documentOwnedBy(3, "e1", 5)
	f.local = servingCell(t, d)
	f.control.UpdateFromStore(d, 30, time.Now())
	f.resendAndExpire()
	must.Wait(t, wait.InitialSuccess(wait.Timeout(time.Second), wait.BoolFunc(func() bool {
		f.control.UpdateFromStore(d, 30, time.Now())
		f.relay.confirmer.deliverConfirmed(time.Now())
		return len(got) > 0
	})))
	must.Eq(t, result.Cancelled, receivedCode(got))
}

// failureOfOldGeneration stands for a failure reported under the owner's previous
// generation.
const failureOfOldGeneration = result.OutcomeUnknown

// An entry that lost a cell and got it back may hold two copies of a submission.
// If it refuses one, the other may still run, so the refusal must not become the
// caller's answer.
func TestRefusalOfOneCopyWaitsForTheOther(t *testing.T) {
	for name, c := range map[string]struct {
		// then contains the codes that follow the refusal of one copy.
		then []result.Code
		want result.Code
	}{
		"the other is done":    {[]result.Code{result.OK}, result.OK},
		"the other is refused": {[]result.Code{result.OverQuota}, result.OverQuota},
		"nothing follows":      {nil, result.Internal},
		"an old failure, then the resent copy is refused": {[]result.Code{failureOfOldGeneration, result.OverQuota}, result.OverQuota},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRelayFixture(t, documentOwnedBy(2, "e2", 4))
			key, got := f.submit()
			f.control.UpdateFromStore(documentOwnedBy(3, "e2", 6), 30, time.Now())
			f.resendAndExpire()
			f.answer(key, result.OverQuota, 6)
			must.Eq(t, result.Internal, receivedCode(got))
			for _, code := range c.then {
				if code == failureOfOldGeneration {
					f.answer(key, code, 4)
					f.resendAndExpire()
					continue
				}
				f.answer(key, code, 6)
			}
			must.Eq(t, c.want, receivedCode(got))
		})
	}
}

// A NotOwner answer to a copy of an older generation must not make the relay send
// another copy while the current one is unanswered.
func TestNotOwnerForAnOlderCopyIsNotResent(t *testing.T) {
	f := newRelayFixture(t, documentOwnedBy(2, "e2", 4))
	key, got := f.submit()
	f.control.UpdateFromStore(documentOwnedBy(3, "e2", 6), 30, time.Now())
	f.resendAndExpire()
	f.answer(key, result.NotOwner, 4)
	f.resendAndExpire()
	sent, _ := f.stream.out.TakeAll(t.Context())
	must.Len(t, 2, sent)
	f.answer(key, result.NotOwner, 6)
	f.resendAndExpire()
	sent, _ = f.stream.out.TakeAll(t.Context())
	must.Len(t, 1, sent)
	f.answer(key, result.OverQuota, 6)
	must.Eq(t, result.OverQuota, receivedCode(got))
}

// The owner may still read a copy that was sent on a stream that broke. So its
// refusal of a copy on another stream does not prove that the job did not run.
func TestRefusalAfterABrokenStreamIsOutcomeUnknown(t *testing.T) {
	for name, c := range map[string]struct {
		after *control.Document
		code  result.Code
		want  result.Code
	}{
		"same owner refuses":  {documentOwnedBy(2, "e2", 4), result.OverQuota, result.OutcomeUnknown},
		"same owner is done":  {documentOwnedBy(2, "e2", 4), result.OK, result.OK},
		"another one refuses": {documentOwnedBy(3, "e3", 5), result.OverQuota, result.OverQuota},
	} {
		t.Run(name, func(t *testing.T) {
			d := c.after
			f := newRelayFixture(t, documentOwnedBy(2, "e2", 4))
			d.Roster = append(d.Roster, control.Member{ID: "e3"})
			key, got := f.submit()
			f.relay.dropStream(f.stream)
			f.control.UpdateFromStore(d, 30, time.Now())
			owner := d.Cells[0]
			f.stream = &ownerStream{id: owner.Owner, out: outbox.New[*pb.RelayRequest]()}
			f.relay.streams[owner.Owner] = f.stream
			f.resendAndExpire()
			ref := ownerRef{id: owner.Owner, generation: owner.Generation, stream: f.stream}
			f.relay.handleAnswer(key, ref, &pb.Answer{Id: key[:], Code: uint32(c.code), Generation: owner.Generation})
			must.Eq(t, c.want, receivedCode(got))
		})
	}
}

// A copy of a submission that is delayed on its way to an owner may arrive after
// the cell was taken over, the new owner has refused another copy as not run, and
// the first owner has got the cell back. It must not be started then.
func TestDelayedCopyForAnEarlierGenerationIsRefused(t *testing.T) {
	f := newRelayFixture(t, documentOwnedBy(2, "e2", 4))
	f.submit()
	sent, _ := f.stream.out.TakeAll(t.Context())
	must.Len(t, 1, sent)
	for name, c := range map[string]struct {
		generation uint64
		active     int
	}{
		"the generation that it was sent to": {4, 1},
		"a later generation":                 {6, 0},
	} {
		t.Run(name, func(t *testing.T) {
			d := documentOwnedBy(3, "e2", c.generation)
			state := newControlState("e2")
			state.UpdateFromStore(d, 30, time.Now())
			owned := servingCell(t, d)
			e := &Entry{
				ownership: &ownership{cells: map[uint32]*ownedCell{0: {cell: owned}}},
				confirmer: newAnswerConfirmer(state, func() {}, time.Minute),
			}
			out := outbox.New[*pb.Answer]()
			e.submitLocal(sent[0].GetSubmissions()[0], out)
			must.Eq(t, c.active, owned.State().ActiveJobs)
			answers, _ := out.TryTakeAll()
			must.Len(t, 1-c.active, answers)
		})
	}
}
