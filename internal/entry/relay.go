package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/cell"
	"github.com/pomelosill/pomelosill/internal/control"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/sched"
)

// resendInterval is how often submissions without an owner are tried again.
const resendInterval = 25 * time.Millisecond

// answerGrace is how long past its deadline a submission waits for the
// owner's answer.
const answerGrace = 10 * time.Second

// relayShards is the number of shards of submissions in progress.
const relayShards = 16

// relay holds the submissions that callers made at this entry until the owner
// of their cell has answered. When the owner changes or its stream breaks
// they are sent again; the owner starts nothing twice.
type relay struct {
	board    *board
	cells    func(n uint32) *cell.Cell
	client   *http.Client
	confirms *confirms
	counters *counters
	log      *zap.Logger
	shards   [relayShards]relayShard

	mu    sync.Mutex
	peers map[string]*ownerLink
}

type relayShard struct {
	mu   sync.Mutex
	jobs map[sched.Key]*relayed
}

// relayed is one submission in progress; its fields belong to its shard.
type relayed struct {
	submission *pb.Submission
	key        sched.Key
	deadline   time.Time
	cancelled  bool
	// sentTo names the owner and generation that has it, empty for none.
	sentTo   ownerRef
	everSent bool
	// copies are what each owner has got of it.
	copies  []copies
	waiters []chan *pb.Answer
}

type ownerRef struct {
	id         string
	generation uint64
	// link is the stream it was sent on, nil for the local cell.
	link *ownerLink
}

func newRelay(b *board, client *http.Client, cf *confirms, c *counters, log *zap.Logger) *relay {
	r := &relay{board: b, client: client, confirms: cf, counters: c, log: log, peers: map[string]*ownerLink{}}
	for i := range r.shards {
		r.shards[i].jobs = map[sched.Key]*relayed{}
	}
	return r
}

func (r *relay) shard(key sched.Key) *relayShard {
	return &r.shards[key[len(key)-1]%relayShards]
}

// Submit takes a submission and returns a channel with its one answer. The
// same id and body joins the submission in progress.
func (r *relay) Submit(ctx context.Context, s *pb.Submission) <-chan *pb.Answer {
	key := sched.Key(s.GetId())
	wait := make(chan *pb.Answer, 1)
	sh := r.shard(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if j := sh.jobs[key]; j != nil {
		if j.submission.GetDigest() != s.GetDigest() {
			wait <- &pb.Answer{Id: s.GetId(), Code: uint32(result.IDConflict)}
			return wait
		}
		j.waiters = append(j.waiters, wait)
		return wait
	}
	j := &relayed{
		submission: s,
		key:        key,
		deadline:   time.Now().Add(time.Duration(s.GetTimeoutNs())),
		waiters:    []chan *pb.Answer{wait},
	}
	sh.jobs[key] = j
	r.send(ctx, j)
	return wait
}

// send gives the submission to the present owner, if there is one. The shard
// is locked.
func (r *relay) send(ctx context.Context, j *relayed) {
	d := r.board.Doc()
	if d == nil {
		return
	}
	n := control.CellOfSubmission(j.key, len(d.Cells))
	owner := d.Cells[n]
	if owner.Owner == "" {
		return
	}
	s := &pb.Submission{
		Id:        j.submission.GetId(),
		Team:      j.submission.GetTeam(),
		Tasks:     j.submission.GetTasks(),
		Digest:    j.submission.GetDigest(),
		Cell:      uint32(n),
		TimeoutNs: int64(time.Until(j.deadline)),
	}
	if owner.Owner == r.board.self {
		r.sendLocal(j, s, owner)
		return
	}
	r.sendRemote(ctx, j, s, d, owner)
}

func (r *relay) sendLocal(j *relayed, s *pb.Submission, owner control.Cell) {
	c := r.cells(s.GetCell())
	if c == nil || c.Generation() != owner.Generation {
		return
	}
	ref := ownerRef{id: owner.Owner, generation: owner.Generation}
	j.sent(ref)
	cancelled := j.cancelled
	// The cell may answer at once, and the answer needs the shard's lock.
	go func() {
		c.Submit(s, func(a *pb.Answer) {
			r.confirms.Release(a, func(a *pb.Answer) { r.answered(j.key, ref, a) })
		}, time.Now())
		if cancelled {
			c.Cancel(j.key, time.Now())
		}
	}()
}

func (r *relay) sendRemote(ctx context.Context, j *relayed, s *pb.Submission, d *control.Document, owner control.Cell) {
	m, ok := d.Member(owner.Owner)
	if !ok {
		return
	}
	l := r.linkTo(ctx, m)
	if !l.out.Put(&pb.RelayRequest{Submissions: []*pb.Submission{s}}) {
		return
	}
	r.counters.relaysSent.Add(1)
	j.sent(ownerRef{id: owner.Owner, generation: owner.Generation, link: l})
	if j.cancelled {
		l.out.Put(&pb.RelayRequest{Cancels: []*pb.Cancel{{Id: s.GetId(), Cell: s.GetCell()}}})
	}
}

// answered takes the owner's answer. NotOwner puts the submission back. From
// an owner that it was taken away from since only a whole answer counts: its
// failures may come from not having been awake.
func (r *relay) answered(key sched.Key, from ownerRef, a *pb.Answer) {
	sh := r.shard(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	j := sh.jobs[key]
	if j == nil {
		r.counters.lateAnswers.Add(1)
		return
	}
	c := j.copiesAt(from.id)
	c.waiting = max(0, c.waiting-1)
	if result.Code(a.GetCode()) == result.NotOwner {
		// An entry that has not opened the cell yet answers without a
		// generation.
		j.sendAgain(from, c)
		return
	}
	if j.sentTo != from && result.Code(a.GetCode()) != result.OK {
		r.counters.lateAnswers.Add(1)
		j.sendAgain(from, c)
		return
	}
	if claimsNotRun(a) && c.waiting > 0 {
		return
	}
	if claimsNotRun(a) && c.lost {
		a = &pb.Answer{Id: key[:], Code: uint32(result.OutcomeUnknown), Detail: "refused, but the owner may also have it from a stream that broke"}
	}
	delete(sh.jobs, key)
	for _, w := range j.waiters {
		w <- a
	}
}

// Cancel passes a cancellation to the owner.
func (r *relay) Cancel(ctx context.Context, key sched.Key) {
	r.MarkCancelled(key)
	d := r.board.Doc()
	if d == nil {
		return
	}
	n := uint32(control.CellOfSubmission(key, len(d.Cells)))
	if c := r.cells(n); c != nil {
		c.Cancel(key, time.Now())
		return
	}
	if m, ok := d.Member(d.Cells[n].Owner); ok && m.ID != r.board.self {
		r.linkTo(ctx, m).out.Put(&pb.RelayRequest{Cancels: []*pb.Cancel{{Id: key[:], Cell: n}}})
	}
}

// MarkCancelled makes a submission that waits here go to a later owner as
// cancelled.
func (r *relay) MarkCancelled(key sched.Key) {
	sh := r.shard(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if j := sh.jobs[key]; j != nil {
		j.cancelled = true
	}
}

// run sends again what lost its owner, and gives up on what nobody answers.
func (r *relay) run(ctx context.Context) {
	tick := time.NewTicker(resendInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		d := r.board.Doc()
		if d == nil {
			continue
		}
		now := time.Now()
		for i := range r.shards {
			r.sweep(ctx, &r.shards[i], d, now)
		}
	}
}

func (r *relay) sweep(ctx context.Context, sh *relayShard, d *control.Document, now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for key, j := range sh.jobs {
		owner := d.Cells[control.CellOfSubmission(key, len(d.Cells))]
		if j.sentTo.id != owner.Owner || j.sentTo.generation != owner.Generation {
			j.sentTo = ownerRef{}
		}
		if now.After(j.deadline.Add(answerGrace)) {
			r.giveUp(sh, j)
			continue
		}
		if j.sentTo.id == "" {
			r.send(ctx, j)
		}
	}
}

// giveUp answers for an owner that does not.
func (r *relay) giveUp(sh *relayShard, j *relayed) {
	code := result.NoOwner
	if j.everSent {
		code = result.OutcomeUnknown
	}
	delete(sh.jobs, j.key)
	for _, w := range j.waiters {
		w <- &pb.Answer{Id: j.key[:], Code: uint32(code), Detail: "no owner answered before the deadline"}
	}
}

// InProgress counts the submissions that wait for an answer.
func (r *relay) InProgress() int {
	n := 0
	for i := range r.shards {
		sh := &r.shards[i]
		sh.mu.Lock()
		n += len(sh.jobs)
		sh.mu.Unlock()
	}
	return n
}
