package agent

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/pomelosill/pomelosill/internal/gate"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
)

// delivery sends each outcome to the entry that fenced the highest
// generation. Its lock keeps one order between the records in an
// acknowledgement and the outcomes after it: an outcome is queued on the
// stream whose acknowledgement showed the task as running.
type delivery struct {
	gate *gate.Gate
	// onChange is called after each change that a drain may wait for.
	onChange func()

	mu sync.Mutex
	// owner is the stream of the entry to send to, nil for none.
	owner *stream
	// unconfirmed is true while an outcome may not have reached an owner.
	unconfirmed bool
}

// admit asks the gate and answers a refusal on the asking stream. A start that
// comes on another stream than the owner's is refused even under the present
// generation: the owner has made up its mind by the records that it got on its
// newer stream.
func (d *delivery) admit(now time.Duration, st *stream, s gate.Start) result.Code {
	d.mu.Lock()
	defer d.mu.Unlock()
	if st != d.owner {
		s.Generation = 0
	}
	decision := d.gate.Admit(now, s)
	if decision.Code == result.OK {
		return result.OK
	}
	out := refusalOutcome(s.Task, decision)
	if st == d.owner {
		d.unconfirmed = true
	}
	st.outbox.addOutcome(out)
	return decision.Code
}

// recordEnd records how a task ended and sends the outcome. An unsent task's record
// is removed.
func (d *delivery) recordEnd(now time.Duration, r gate.Record, unsent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if unsent {
		d.gate.Abort(r.Task)
	} else {
		d.gate.End(now, r)
	}
	d.unconfirmed = true
	if d.owner != nil {
		d.owner.outbox.addOutcome(outcomeMessage(r))
	}
	d.onChange()
}

// applyFence obeys a fence and makes st the stream to send outcomes to.
func (d *delivery) applyFence(st *stream, f *pb.Fence) (ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ack := &pb.FenceAck{Cell: f.GetCell(), Generation: f.GetGeneration()}
	records, ok := d.gate.Fence(f.GetCell(), f.GetGeneration())
	if !ok {
		ack.Superseded = true
		st.outbox.addAck(ack)
		return false
	}
	ack.Records = make([]*pb.Outcome, 0, len(records))
	for _, r := range records {
		ack.Records = append(ack.Records, outcomeMessage(r))
	}
	d.owner = st
	d.unconfirmed = true
	st.outbox.addAck(ack)
	return true
}

// updateConfirmed notes that a stream answered a heartbeat.
func (d *delivery) updateConfirmed(st *stream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if st == d.owner && st.confirmed() {
		d.unconfirmed = false
	}
	d.onChange()
}

// detach forgets a stream that ended.
func (d *delivery) detach(st *stream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.owner == st {
		d.owner = nil
	}
	d.onChange()
}

// ownerStream returns the stream that outcomes go to, or nil.
func (d *delivery) ownerStream() *stream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.owner
}

// allConfirmed tells whether every outcome has reached an owner.
func (d *delivery) allConfirmed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.unconfirmed
}

// refusalOutcome is the answer to a start that was not admitted. For a task that was
// started before it gives the outcome again.
func refusalOutcome(t gate.Task, decision gate.Decision) *pb.Outcome {
	if decision.Code != result.AlreadyStarted {
		return outcomeMessage(gate.Record{Task: t, Code: decision.Code})
	}
	return outcomeMessage(decision.Record)
}

func outcomeMessage(r gate.Record) *pb.Outcome {
	out := &pb.Outcome{
		Task:    taskRef(r.Task),
		Code:    uint32(r.Code),
		Body:    r.Body,
		RunNs:   int64(r.Run),
		Running: r.Running,
		Detail:  r.Detail,
		Digest:  r.Digest,
	}
	if r.Running {
		out.Code = uint32(result.AlreadyStarted)
	}
	return out
}

func taskRef(t gate.Task) *pb.TaskRef {
	id := t.Submission
	return &pb.TaskRef{Submission: id[:], Index: t.Index}
}

// parseTaskRef reads a reference; ok is false when the id has not 16 bytes.
func parseTaskRef(ref *pb.TaskRef) (t gate.Task, ok bool) {
	id, err := uuid.FromBytes(ref.GetSubmission())
	return gate.Task{Submission: id, Index: ref.GetIndex()}, err == nil
}
