package dispatch

import (
	"time"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/policy/codec"
)

const (
	// storePropagationDelay gives the other dispatchers time to read a new
	// policy from the store before it is sent to them.
	storePropagationDelay = 100 * time.Millisecond
	// pushTurnInterval is the time between two dispatchers' turns to send a new
	// policy to a runner.
	pushTurnInterval = 120 * time.Millisecond
	// maxPushTurns bounds the turns: all further dispatchers send in the last
	// one.
	maxPushTurns = 4
)

// policyFor returns the policy for a runner whose own is older, and records it
// as sent. It returns nil if the runner has the newest one, or if it has an
// older one and this dispatcher's turn to send has not come.
func (d *Dispatcher) policyFor(r *runner) *pb.Policy {
	s := d.policy.Current()
	if s == nil || s.Revision <= r.policyRevision {
		return nil
	}
	withoutPolicy := r.policyRevision == 0
	if !withoutPolicy && d.policy.Age() < pushDelay(r.rank) {
		return nil
	}
	r.policyRevision = s.Revision
	return codec.Encode(s)
}

// pushDelay returns how long a dispatcher waits for others to send a new policy
// to a runner, from its rank among the runner's dispatchers. The ranks differ
// from runner to runner, so that each dispatcher sends to few runners at once;
// this matters where the policy is large and the hosts' network is slow.
func pushDelay(rank int) time.Duration {
	return time.Duration(min(rank, maxPushTurns)) * pushTurnInterval
}

// A dispatcher that lacks the store asks its runners when the store last confirmed the policy
// to one of them, and passes that on to the others.
const (
	// maxConfirmationAge is the age of the last confirmation from which the dispatcher
	// asks. The watch of the operators' keys confirms the policy each second.
	maxConfirmationAge = 2500 * time.Millisecond
	// askInterval is the time between two questions to all runners.
	askInterval = time.Second
	// maxToldAge is the age of the confirmation that an idle runner was told last from which
	// it is told the next one: runners read the keys themselves at a higher age.
	maxToldAge = 2200 * time.Millisecond
)

// addConfirmation adds to a heartbeat when the store confirmed the policy.
func (d *Dispatcher) addConfirmation(b *pb.DispatcherBeat, r *runner, now time.Duration) {
	revision, confirmedAt := d.policy.Confirmed()
	if confirmedAt > 0 {
		confirmed := (confirmedAt - r.heartbeatReceivedAt).Microseconds()
		b.PolicyRevision, b.ConfirmedUs = revision, &confirmed
		r.toldConfirmedAt = confirmedAt
	}
	if now-confirmedAt > maxConfirmationAge {
		b.AskedNs = int64(now)
	}
}

// confirmationDue reports whether a runner must be told of a later confirmation, because the one
// that it was told last is old.
func (d *Dispatcher) confirmationDue(r *runner, now time.Duration) bool {
	_, confirmedAt := d.policy.Confirmed()
	return confirmedAt > r.toldConfirmedAt && now-r.toldConfirmedAt >= maxToldAge
}

// checkConfirmation asks all runners for a confirmation of the policy if there was none for
// long, and tells all of them once there is one. It is called with the lock held.
func (d *Dispatcher) checkConfirmation(now time.Duration) {
	_, confirmedAt := d.policy.Confirmed()
	switch {
	case now-confirmedAt <= maxConfirmationAge:
		if d.askedAt == 0 {
			return
		}
		d.askedAt = 0
	case d.askedAt > 0 && now-d.askedAt < askInterval:
		return
	default:
		d.askedAt = now
	}
	d.sendHeartbeats(now)
}

// sendHeartbeats sends a heartbeat to all connected runners.
func (d *Dispatcher) sendHeartbeats(now time.Duration) {
	for _, r := range d.runners {
		if r.outbox != nil {
			r.outbox.Put(d.newHeartbeat(r, now))
		}
	}
}

// confirmPolicy applies what a runner's heartbeat says of its policy. The runner received the
// heartbeat that it echoes after this dispatcher had sent it.
func (d *Dispatcher) confirmPolicy(b *pb.RunnerBeat, now time.Duration) {
	asked := time.Duration(b.GetEchoNs())
	if asked <= 0 || asked > now {
		return
	}
	confirmed := time.Duration(min(max(b.GetConfirmedUs(), -asked.Microseconds()), now.Microseconds())) * time.Microsecond
	d.policy.Confirm(b.GetPolicyRevision(), min(asked+confirmed, now))
}
