package agent

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/pomelosill/pomelosill/internal/gate"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
)

// delivery sends each outcome to the entry that fenced the highest generation.
// Its lock orders the records in a fence acknowledgement and the outcomes sent
// after it: if an acknowledgement shows a task as running, the task's outcome
// is queued on the same stream.
type delivery struct {
	gate *gate.Gate
	// onChange is called after each change that a drain may wait for.
	onChange func()

	mu sync.Mutex
	// owner is the stream to which outcomes are sent, or nil.
	owner *stream
	// unconfirmed is true while an outcome may not have reached an owner.
	unconfirmed bool
}

// admit asks the gate whether a task may start, and answers a refusal on the
// requesting stream. A start on another stream than the owner's is refused even
// if its generation is current: the owner decides based on the records that it
// received on its newer stream.
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
	refusal := refusalOutcome(s.Task, decision)
	if st == d.owner {
		d.unconfirmed = true
	}
	st.outbox.addOutcome(refusal)
	return decision.Code
}

// recordEnd records how a task ended and queues the outcome if there is an owner
// stream. If the task was never sent to the endpoint, its record is deleted.
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

// applyFence raises the fence to the generation of f and makes st the stream to
// which outcomes are sent. It returns false if f is for another cell or if a
// higher generation has already fenced the agent.
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

// updateConfirmed handles an answered heartbeat on st, which may confirm all
// outcomes.
func (d *delivery) updateConfirmed(st *stream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if st == d.owner && st.confirmed() {
		d.unconfirmed = false
	}
	d.onChange()
}

// detach removes a stream that has ended.
func (d *delivery) detach(st *stream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.owner == st {
		d.owner = nil
	}
	d.onChange()
}

// ownerStream returns the stream to which outcomes are sent, or nil.
func (d *delivery) ownerStream() *stream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.owner
}

// allConfirmed reports whether every outcome has reached an owner.
func (d *delivery) allConfirmed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.unconfirmed
}

// refusalOutcome returns the answer to a start that was not admitted. For a
// task that was already started it repeats the task's outcome.
func refusalOutcome(t gate.Task, decision gate.Decision) *pb.Outcome {
	if decision.Code != result.AlreadyStarted {
		return outcomeMessage(gate.Record{Task: t, Code: decision.Code})
	}
	return outcomeMessage(decision.Record)
}

func outcomeMessage(r gate.Record) *pb.Outcome {
	msg := &pb.Outcome{
		Task:    taskRef(r.Task),
		Code:    uint32(r.Code),
		Body:    r.Body,
		RunNs:   int64(r.RunTime),
		Running: r.Running,
		Detail:  r.Detail,
		Digest:  r.Digest,
	}
	if r.Running {
		msg.Code = uint32(result.AlreadyStarted)
	}
	return msg
}

func taskRef(t gate.Task) *pb.TaskRef {
	id := t.Submission
	return &pb.TaskRef{Submission: id[:], Index: t.Index}
}

// parseTaskRef parses a task reference; ok is false if the submission ID is not
// 16 bytes long.
func parseTaskRef(ref *pb.TaskRef) (t gate.Task, ok bool) {
	id, err := uuid.FromBytes(ref.GetSubmission())
	return gate.Task{Submission: id, Index: ref.GetIndex()}, err == nil
}
