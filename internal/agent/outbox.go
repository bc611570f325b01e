package agent

import (
	"sync"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
)

// outbox holds what waits to be sent on one stream. Its writer takes all that
// is queued into the next frame and never waits for more.
type outbox struct {
	// ready has a token while there may be something to send.
	ready chan struct{}

	mu        sync.Mutex
	heartbeat bool
	ack       *pb.FenceAck
	outcomes  []*pb.Outcome
	// sending is true while the writer sends outcomes or an acknowledgement.
	sending bool
}

// batch is what the writer took out of an outbox.
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

// addAck queues an acknowledgement and a heartbeat after it. Outcomes that
// still wait are also in the records of the acknowledgement, or are refusals;
// they are sent after it.
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

// next removes what is to go into the next frame; ok is false when there is
// nothing. An acknowledgement goes alone, so that the entry sees it before
// the outcomes that came after it.
func (o *outbox) next() (c batch, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ack != nil {
		c.ack = o.ack
		o.ack = nil
		o.sending = true
		return c, true
	}
	c.heartbeat = o.heartbeat
	c.outcomes = o.outcomes
	o.heartbeat = false
	o.outcomes = nil
	o.sending = len(c.outcomes) > 0
	return c, c.heartbeat || o.sending
}

// markSent ends the sending of what take gave.
func (o *outbox) markSent() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sending = false
}

// empty tells whether no outcome and no acknowledgement waits or is being
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
