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

// relayBench is a relay at e1 with one remote owner, e2, and no network: what
// is sent to e2 is taken out of the link by the test.
type relayBench struct {
	t     *testing.T
	board *board
	relay *relay
	link  *ownerLink
	local *cell.Cell
}

func ownedBy(revision uint64, owner string, generation uint64) *control.Document {
	return &control.Document{
		Revision: revision,
		Config:   control.Config{Teams: []control.Team{{Name: "alerts", Weight: 1}}},
		Roster:   []control.Member{{ID: "e1"}, {ID: "e2"}},
		Cells:    []control.Cell{{Owner: owner, Generation: generation}},
	}
}

func newRelayBench(t *testing.T, d *control.Document) *relayBench {
	b := &relayBench{t: t, board: newBoard("e1")}
	b.board.FromStore(d, 20, time.Now())
	cf := newConfirms(b.board, func() {}, time.Minute)
	b.relay = newRelay(b.board, nil, cf, &counters{}, zap.NewNop())
	b.relay.cells = func(uint32) *cell.Cell { return b.local }
	b.link = &ownerLink{id: "e2", out: outbox.New[*pb.RelayRequest]()}
	b.relay.peers["e2"] = b.link
	return b
}

func (b *relayBench) submit() (sched.Key, <-chan *pb.Answer) {
	id := uuid.Must(uuid.NewV7())
	s := &pb.Submission{Id: id[:], Team: "alerts", TimeoutNs: int64(time.Minute), Tasks: []*pb.Task{{}}}
	return sched.Key(id), b.relay.Submit(b.t.Context(), s)
}

func (b *relayBench) sweep() {
	for i := range b.relay.shards {
		b.relay.sweep(b.t.Context(), &b.relay.shards[i], b.board.Doc(), time.Now())
	}
}

func (b *relayBench) answer(key sched.Key, code result.Code, generation uint64) {
	ref := ownerRef{id: "e2", generation: generation, link: b.link}
	b.relay.answered(key, ref, &pb.Answer{Id: key[:], Code: uint32(code), Generation: generation})
}

func answerOf(c <-chan *pb.Answer) result.Code {
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
	b := newRelayBench(t, ownedBy(2, "e2", 4))
	key, got := b.submit()

	owner := newBoard("e2")
	owner.FromPeer(ownedBy(2, "e2", 4))
	cf := newConfirms(owner, func() {}, time.Minute)
	cf.Release(&pb.Answer{Id: key[:], Code: uint32(result.OverQuota), Generation: 4}, func(a *pb.Answer) {
		b.relay.answered(key, ownerRef{id: "e2", generation: a.GetGeneration(), link: b.link}, a)
	})
	cf.releaseConfirmed(time.Now().Add(time.Hour))
	must.Eq(t, result.OutcomeUnknown, answerOf(got))
}

// A cancellation that came before the job's new owner had it must reach that
// owner with the job.
func TestCancelledJobIsSentAsCancelled(t *testing.T) {
	b := newRelayBench(t, ownedBy(2, "", 4))
	key, got := b.submit()
	b.relay.Cancel(t.Context(), key)
	d := ownedBy(3, "e1", 5)
	b.local = cell.New(cell.Config{
		Generation: 5, IDRetention: time.Minute, ClockSkew: time.Second, LostAfter: time.Minute,
		Freshness: time.Second, MaxPending: 1, Sched: sched.DefaultConfig(),
		Fresh: func(time.Time) bool { return true },
	}, d, cell.Members{}, rand.New(rand.NewPCG(1, 2)), time.Now())
	b.local.Accepted(time.Now())
	b.board.FromStore(d, 30, time.Now())
	b.sweep()
	must.Wait(t, wait.InitialSuccess(wait.Timeout(time.Second), wait.BoolFunc(func() bool {
		b.board.FromStore(d, 30, time.Now())
		b.relay.confirms.releaseConfirmed(time.Now())
		return len(got) > 0
	})))
	must.Eq(t, result.Cancelled, answerOf(got))
}
