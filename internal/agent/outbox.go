package agent

import (
	"sync"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
)

// outbox holds the messages to be sent on one stream. The stream's writer puts
// everything that is queued into the next frame, and does not wait for more.
type outbox struct {
	// ready holds a token while there may be something to send.
	ready chan struct{}

	mu        sync.Mutex
	heartbeat bool
	ack       *pb.FenceAck
	outcomes  []*pb.Outcome
	// sending is true while the writer sends outcomes or an acknowledgement.
	sending bool
}

// batch holds the messages to send in one frame.
type batch struct {
	heartbeat bool
	ack       *pb.FenceAck
	outcomes  []*pb.Outcome
}

func newOutbox() *outbox {
	return &outbox{ready: make(chan struct{}, 1)}
}

func (o *outbox) addHeartbeat() {
	o.mu.Lock()
	o.heartbeat = true
	o.mu.Unlock()
	o.signal()
}

func (o *outbox) addOutcome(out *pb.Outcome) {
	o.mu.Lock()
	o.outcomes = append(o.outcomes, out)
	o.mu.Unlock()
	o.signal()
}

// addAck queues an acknowledgement, and a heartbeat after it. Outcomes that are
// already queued are sent after the acknowledgement; its records include them,
// unless they are refusals.
func (o *outbox) addAck(ack *pb.FenceAck) {
	o.mu.Lock()
	o.ack = ack
	o.heartbeat = true
	o.mu.Unlock()
	o.signal()
}

func (o *outbox) signal() {
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// next removes and returns the messages for the next frame; ok is false if
// there are none. An acknowledgement is sent on its own, so that the entry
// handles it before the outcomes that followed it.
func (o *outbox) next() (b batch, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ack != nil {
		b.ack = o.ack
		o.ack = nil
		o.sending = true
		return b, true
	}
	b.heartbeat = o.heartbeat
	b.outcomes = o.outcomes
	o.heartbeat = false
	o.outcomes = nil
	o.sending = len(b.outcomes) > 0
	return b, b.heartbeat || o.sending
}

// markSent must be called when the batch that next returned has been sent.
func (o *outbox) markSent() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sending = false
}

// empty reports whether no outcome and no acknowledgement is queued or being
// sent.
func (o *outbox) empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.sending && o.ack == nil && len(o.outcomes) == 0
}

func (o *outbox) outcomeCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.outcomes)
}
