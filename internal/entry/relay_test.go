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

// relayFixture is a relay at e1 with one remote owner, e2, and no network: what
// is sent to e2 is taken out of the link by the test.
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
	b := &relayFixture{t: t, control: newControlState("e1")}
	b.control.UpdateFromStore(d, 20, time.Now())
	cf := newAnswerConfirmer(b.control, func() {}, time.Minute)
	b.relay = newSubmissionRelay(b.control, nil, cf, &counters{}, zap.NewNop())
	b.relay.localCell = func(uint32) *cell.Cell { return b.local }
	b.stream = &ownerStream{id: "e2", out: outbox.New[*pb.RelayRequest]()}
	b.relay.streams["e2"] = b.stream
	return b
}

func (b *relayFixture) submit() (sched.Key, <-chan *pb.Answer) {
	id := uuid.Must(uuid.NewV7())
	s := &pb.Submission{Id: id[:], Team: "alerts", TimeoutNs: int64(time.Minute), Tasks: []*pb.Task{{}}}
	return sched.Key(id), b.relay.Submit(b.t.Context(), s)
}

func (b *relayFixture) resendAndExpire() {
	for i := range b.relay.shards {
		b.relay.resendAndExpire(b.t.Context(), &b.relay.shards[i], b.control.Document(), time.Now())
	}
}

func (b *relayFixture) answer(key sched.Key, code result.Code, generation uint64) {
	ref := ownerRef{id: "e2", generation: generation, stream: b.stream}
	b.relay.handleAnswer(key, ref, &pb.Answer{Id: key[:], Code: uint32(code), Generation: generation})
}

// servingCell is a cell that serves under the document, without agents.
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

func receivedCode(c <-chan *pb.Answer) result.Code {
	select {
	case a := <-c:
		return result.Code(a.GetCode())
	default:
		return result.Internal
	}
}

// An answer that could not be confirmed in time must still reach the entry
// that waits for it.
func TestUnconfirmedAnswerArrives(t *testing.T) {
	b := newRelayFixture(t, documentOwnedBy(2, "e2", 4))
	key, got := b.submit()

	owner := newControlState("e2")
	owner.UpdateFromPeer(documentOwnedBy(2, "e2", 4))
	cf := newAnswerConfirmer(owner, func() {}, time.Minute)
	cf.Deliver(&pb.Answer{Id: key[:], Code: uint32(result.OverQuota), Generation: 4}, func(a *pb.Answer) {
		b.relay.handleAnswer(key, ownerRef{id: "e2", generation: a.GetGeneration(), stream: b.stream}, a)
	})
	cf.deliverConfirmed(time.Now().Add(time.Hour))
	must.Eq(t, result.OutcomeUnknown, receivedCode(got))
}

// A cancellation that came before the job's new owner had it must reach that
// owner with the job.
func TestCancelledJobIsSentAsCancelled(t *testing.T) {
	b := newRelayFixture(t, documentOwnedBy(2, "", 4))
	key, got := b.submit()
	b.relay.Cancel(t.Context(), key)
	d := documentOwnedBy(3, "e1", 5)
	b.local = servingCell(t, d)
	b.control.UpdateFromStore(d, 30, time.Now())
	b.resendAndExpire()
	must.Wait(t, wait.InitialSuccess(wait.Timeout(time.Second), wait.BoolFunc(func() bool {
		b.control.UpdateFromStore(d, 30, time.Now())
		b.relay.confirmer.deliverConfirmed(time.Now())
		return len(got) > 0
	})))
	must.Eq(t, result.Cancelled, receivedCode(got))
}

// failureOfOldGeneration is a failure that comes under the generation before the present.
const failureOfOldGeneration = result.OutcomeUnknown

// An entry that lost a cell and got it back may hold two copies of a
// submission. That it refuses one says nothing of the other.
func TestRefusalOfOneCopyIsNotTheAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		// then are the codes that follow the refusal of one copy.
		then []result.Code
		want result.Code
	}{
		"the other is done":     {[]result.Code{result.OK}, result.OK},
		"the other is refused":  {[]result.Code{result.OverQuota}, result.OverQuota},
		"nothing follows":       {nil, result.Internal},
		"an old one, sent anew": {[]result.Code{failureOfOldGeneration, result.OverQuota}, result.OverQuota},
	} {
		t.Run(name, func(t *testing.T) {
			b := newRelayFixture(t, documentOwnedBy(2, "e2", 4))
			key, got := b.submit()
			b.control.UpdateFromStore(documentOwnedBy(3, "e2", 6), 30, time.Now())
			b.resendAndExpire()
			b.answer(key, result.OverQuota, 6)
			must.Eq(t, result.Internal, receivedCode(got))
			for _, code := range c.then {
				if code == failureOfOldGeneration {
					b.answer(key, code, 4)
					b.resendAndExpire()
					continue
				}
				b.answer(key, code, 6)
			}
			must.Eq(t, c.want, receivedCode(got))
		})
	}
}

// The answer that an older copy gets must not lead to one copy more.
func TestNotOwnerOfAnOlderCopySendsNoOther(t *testing.T) {
	b := newRelayFixture(t, documentOwnedBy(2, "e2", 4))
	key, got := b.submit()
	b.control.UpdateFromStore(documentOwnedBy(3, "e2", 6), 30, time.Now())
	b.resendAndExpire()
	b.answer(key, result.NotOwner, 4)
	b.resendAndExpire()
	sent, _ := b.stream.out.TakeAll(t.Context())
	must.Len(t, 2, sent)
	b.answer(key, result.NotOwner, 6)
	b.resendAndExpire()
	sent, _ = b.stream.out.TakeAll(t.Context())
	must.Len(t, 1, sent)
	b.answer(key, result.OverQuota, 6)
	must.Eq(t, result.OverQuota, receivedCode(got))
}

// A copy that was on a broken stream may still be read by an owner that lives.
func TestRefusalAfterABrokenStreamIsNotCertain(t *testing.T) {
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
			b := newRelayFixture(t, documentOwnedBy(2, "e2", 4))
			d.Roster = append(d.Roster, control.Member{ID: "e3"})
			key, got := b.submit()
			b.relay.dropStream(b.stream)
			b.control.UpdateFromStore(d, 30, time.Now())
			owner := d.Cells[0]
			b.stream = &ownerStream{id: owner.Owner, out: outbox.New[*pb.RelayRequest]()}
			b.relay.streams[owner.Owner] = b.stream
			b.resendAndExpire()
			ref := ownerRef{id: owner.Owner, generation: owner.Generation, stream: b.stream}
			b.relay.handleAnswer(key, ref, &pb.Answer{Id: key[:], Code: uint32(c.code), Generation: owner.Generation})
			must.Eq(t, c.want, receivedCode(got))
		})
	}
}
