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

// resendInterval is how often run sends the submissions whose cell had no owner,
// whose owner has changed or whose stream broke.
const resendInterval = 25 * time.Millisecond

// answerGracePeriod is how long after its deadline a submission still waits for
// the owner's answer.
const answerGracePeriod = 10 * time.Second

// relayShardCount is the number of independently locked shards of submissions.
const relayShardCount = 16

// submissionRelay keeps the submissions that this entry received from callers
// until the owners of their cells answer. It sends a submission again when the
// owner changes or the stream to it breaks; this is safe because an owner starts
// no submission twice.
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

func newSubmissionRelay(state *controlState, client *http.Client, confirmer *answerConfirmer, c *counters, log *zap.Logger) *submissionRelay {
	r := &submissionRelay{control: state, client: client, confirmer: confirmer, counters: c, log: log, streams: map[string]*ownerStream{}}
	for i := range r.shards {
		r.shards[i].jobs = map[sched.Key]*pendingSubmission{}
	}
	return r
}

func (r *submissionRelay) shard(key sched.Key) *relayShard {
	return &r.shards[key[len(key)-1]%relayShardCount]
}

// Submit relays a submission and returns a channel that gets its answer. If a
// submission with the same id and content is pending, it waits for that one.
func (r *submissionRelay) Submit(ctx context.Context, s *pb.Submission) <-chan *pb.Answer {
	key := sched.Key(s.GetId())
	answer := make(chan *pb.Answer, 1)
	sh := r.shard(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if j := sh.jobs[key]; j != nil {
		if j.submission.GetDigest() != s.GetDigest() {
			answer <- &pb.Answer{Id: s.GetId(), Code: uint32(result.IDConflict)}
			return answer
		}
		j.waiters = append(j.waiters, answer)
		return answer
	}
	j := &pendingSubmission{
		submission: s,
		key:        key,
		deadline:   time.Now().Add(time.Duration(s.GetTimeoutNs())),
		waiters:    []chan *pb.Answer{answer},
	}
	sh.jobs[key] = j
	r.send(ctx, j)
	return answer
}

// send sends the submission to the current owner of its cell, if there is one.
// The caller holds the shard's lock.
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
		Id:         j.submission.GetId(),
		Team:       j.submission.GetTeam(),
		Tasks:      j.submission.GetTasks(),
		Digest:     j.submission.GetDigest(),
		Cell:       uint32(n),
		Generation: owner.Generation,
		TimeoutNs:  int64(time.Until(j.deadline)),
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
	// Submit in another goroutine: the cell may answer during the call, and
	// handleAnswer takes the shard's lock, which the caller holds.
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
	st := r.streamTo(ctx, m)
	if !st.out.Put(&pb.RelayRequest{Submissions: []*pb.Submission{s}}) {
		return
	}
	r.counters.relaysSent.Add(1)
	j.recordSent(ownerRef{id: owner.Owner, generation: owner.Generation, stream: st})
	if j.cancelled {
		st.out.Put(&pb.RelayRequest{Cancels: []*pb.Cancel{{Id: s.GetId(), Cell: s.GetCell()}}})
	}
}

// handleAnswer processes an owner's answer. After NotOwner the submission is sent
// again. An owner that has lost the cell since, for example while it was paused,
// may report failures that are not true, so only its OK counts.
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
		// Don't compare generations here: an entry that has not opened the
		// cell yet answers without one.
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
		a = &pb.Answer{Id: key[:], Code: uint32(result.OutcomeUnknown), Detail: "the owner reported work as not run, but may have started a copy of the job that was sent on a broken stream"}
	}
	delete(sh.jobs, key)
	for _, waiter := range j.waiters {
		waiter <- a
	}
}

// Cancel sends a cancellation to the owner of the submission's cell.
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

// MarkCancelled marks a pending submission as cancelled, so that the cancellation
// reaches also an owner that the submission is sent to later.
func (r *submissionRelay) MarkCancelled(key sched.Key) {
	sh := r.shard(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if j := sh.jobs[key]; j != nil {
		j.cancelled = true
	}
}

// run resends and expires pending submissions until ctx ends.
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

// failUnanswered ends a submission that no owner answered in time. It did not run
// if it was never sent; otherwise its outcome is unknown.
func (r *submissionRelay) failUnanswered(sh *relayShard, j *pendingSubmission) {
	code := result.NoOwner
	if j.everSent {
		code = result.OutcomeUnknown
	}
	delete(sh.jobs, j.key)
	for _, waiter := range j.waiters {
		waiter <- &pb.Answer{Id: j.key[:], Code: uint32(code), Detail: "no owner answered within the grace period after the deadline"}
	}
}

// InProgress returns the number of pending submissions.
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
