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

// answerGracePeriod is how long past its deadline a submission waits for the
// owner's answer.
const answerGracePeriod = 10 * time.Second

// relayShardCount is the number of shards of submissions in progress.
const relayShardCount = 16

// submissionRelay holds the submissions that callers made at this entry until the owner
// of their cell has answered. When the owner changes or its stream breaks
// they are sent again; the owner starts nothing twice.
type submissionRelay struct {
	control   *controlState
	localCell func(n uint32) *cell.Cell
	client    *http.Client
	confirmer *answerConfirmer
	counters  *counters
	log       *zap.Logger
	shards    [relayShardCount]relayShard

	mu      sync.Mutex
	streams map[string]*ownerStream
}

type relayShard struct {
	mu   sync.Mutex
	jobs map[sched.Key]*pendingSubmission
}

// pendingSubmission is one submission in progress; its fields belong to its shard.
type pendingSubmission struct {
	submission *pb.Submission
	key        sched.Key
	deadline   time.Time
	cancelled  bool
	// sentTo names the owner and generation that has it, empty for none.
	sentTo   ownerRef
	everSent bool
	// copies are what each owner has got of it.
	copies  []ownerCopies
	waiters []chan *pb.Answer
}

type ownerRef struct {
	id         string
	generation uint64
	// stream is the stream it was sent on, nil for the local cell.
	stream *ownerStream
}

func newSubmissionRelay(b *controlState, client *http.Client, cf *answerConfirmer, c *counters, log *zap.Logger) *submissionRelay {
	r := &submissionRelay{control: b, client: client, confirmer: cf, counters: c, log: log, streams: map[string]*ownerStream{}}
	for i := range r.shards {
		r.shards[i].jobs = map[sched.Key]*pendingSubmission{}
	}
	return r
}

func (r *submissionRelay) shard(key sched.Key) *relayShard {
	return &r.shards[key[len(key)-1]%relayShardCount]
}

// Submit takes a submission and returns a channel with its one answer. The
// same id and body joins the submission in progress.
func (r *submissionRelay) Submit(ctx context.Context, s *pb.Submission) <-chan *pb.Answer {
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
	j := &pendingSubmission{
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
func (r *submissionRelay) send(ctx context.Context, j *pendingSubmission) {
	d := r.control.Document()
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
	if owner.Owner == r.control.self {
		r.sendLocal(j, s, owner)
		return
	}
	r.sendRemote(ctx, j, s, d, owner)
}

func (r *submissionRelay) sendLocal(j *pendingSubmission, s *pb.Submission, owner control.Cell) {
	c := r.localCell(s.GetCell())
	if c == nil || c.Generation() != owner.Generation {
		return
	}
	ref := ownerRef{id: owner.Owner, generation: owner.Generation}
	j.recordSent(ref)
	cancelled := j.cancelled
	// The cell may answer at once, and the answer needs the shard's lock.
	go func() {
		c.Submit(s, func(a *pb.Answer) {
			r.confirmer.Deliver(a, func(a *pb.Answer) { r.handleAnswer(j.key, ref, a) })
		}, time.Now())
		if cancelled {
			c.Cancel(j.key, time.Now())
		}
	}()
}

func (r *submissionRelay) sendRemote(ctx context.Context, j *pendingSubmission, s *pb.Submission, d *control.Document, owner control.Cell) {
	m, ok := d.Member(owner.Owner)
	if !ok {
		return
	}
	l := r.streamTo(ctx, m)
	if !l.out.Put(&pb.RelayRequest{Submissions: []*pb.Submission{s}}) {
		return
	}
	r.counters.relaysSent.Add(1)
	j.recordSent(ownerRef{id: owner.Owner, generation: owner.Generation, stream: l})
	if j.cancelled {
		l.out.Put(&pb.RelayRequest{Cancels: []*pb.Cancel{{Id: s.GetId(), Cell: s.GetCell()}}})
	}
}

// handleAnswer takes the owner's answer. NotOwner puts the submission back. From
// an owner that it was taken away from since only a whole answer counts: its
// failures may come from not having been awake.
func (r *submissionRelay) handleAnswer(key sched.Key, from ownerRef, a *pb.Answer) {
	sh := r.shard(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	j := sh.jobs[key]
	if j == nil {
		r.counters.lateAnswers.Add(1)
		return
	}
	c := j.copiesAt(from.id)
	c.unanswered = max(0, c.unanswered-1)
	if result.Code(a.GetCode()) == result.NotOwner {
		// An entry that has not opened the cell yet answers without a
		// generation.
		j.allowResend(from, c)
		return
	}
	if j.sentTo != from && result.Code(a.GetCode()) != result.OK {
		r.counters.lateAnswers.Add(1)
		j.allowResend(from, c)
		return
	}
	if claimsNotRun(a) && c.unanswered > 0 {
		return
	}
	if claimsNotRun(a) && c.streamBroken {
		a = &pb.Answer{Id: key[:], Code: uint32(result.OutcomeUnknown), Detail: "refused, but the owner may also have it from a stream that broke"}
	}
	delete(sh.jobs, key)
	for _, w := range j.waiters {
		w <- a
	}
}

// Cancel passes a cancellation to the owner.
func (r *submissionRelay) Cancel(ctx context.Context, key sched.Key) {
	r.MarkCancelled(key)
	d := r.control.Document()
	if d == nil {
		return
	}
	n := uint32(control.CellOfSubmission(key, len(d.Cells)))
	if c := r.localCell(n); c != nil {
		c.Cancel(key, time.Now())
		return
	}
	if m, ok := d.Member(d.Cells[n].Owner); ok && m.ID != r.control.self {
		r.streamTo(ctx, m).out.Put(&pb.RelayRequest{Cancels: []*pb.Cancel{{Id: key[:], Cell: n}}})
	}
}

// MarkCancelled makes a submission that waits here go to a later owner as
// cancelled.
func (r *submissionRelay) MarkCancelled(key sched.Key) {
	sh := r.shard(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if j := sh.jobs[key]; j != nil {
		j.cancelled = true
	}
}

// run sends again what lost its owner, and gives up on what nobody answers.
func (r *submissionRelay) run(ctx context.Context) {
	tick := time.NewTicker(resendInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		d := r.control.Document()
		if d == nil {
			continue
		}
		now := time.Now()
		for i := range r.shards {
			r.resendAndExpire(ctx, &r.shards[i], d, now)
		}
	}
}

func (r *submissionRelay) resendAndExpire(ctx context.Context, sh *relayShard, d *control.Document, now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for key, j := range sh.jobs {
		owner := d.Cells[control.CellOfSubmission(key, len(d.Cells))]
		if j.sentTo.id != owner.Owner || j.sentTo.generation != owner.Generation {
			j.sentTo = ownerRef{}
		}
		if now.After(j.deadline.Add(answerGracePeriod)) {
			r.failUnanswered(sh, j)
			continue
		}
		if j.sentTo.id == "" {
			r.send(ctx, j)
		}
	}
}

// failUnanswered answers for an owner that does not.
func (r *submissionRelay) failUnanswered(sh *relayShard, j *pendingSubmission) {
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
func (r *submissionRelay) InProgress() int {
	n := 0
	for i := range r.shards {
		sh := &r.shards[i]
		sh.mu.Lock()
		n += len(sh.jobs)
		sh.mu.Unlock()
	}
	return n
}
