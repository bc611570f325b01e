package dispatch

import (
	"time"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/policy/codec"
)

// storeReadTime is how long a dispatcher that has heard of a newer policy leaves itself to read
// it from the store before it asks another process.
const storeReadTime = 200 * time.Millisecond

// requestPolicy asks another process for a newer policy, if that is due. It is called with the
// lock held.
func (d *Dispatcher) requestPolicy(now time.Duration) {
	current := d.policy.Revision()
	patience := storeReadTime
	if current == 0 {
		patience = 0
	}
	d.policyRequests.Ask(current, d.newerSources(current), patience, now)
}

// newerSources returns the dispatchers that have a newer policy than that of a revision or, if
// there are none, the runners.
func (d *Dispatcher) newerSources(revision uint64) []policy.Source {
	var newer []policy.Source
	for g := range d.gossipStreams {
		if g.peerRevision.Load() > revision {
			newer = append(newer, g)
		}
	}
	if len(newer) > 0 {
		return newer
	}
	for _, r := range d.runners {
		if r.outbox != nil && r.policyRevision > revision {
			newer = append(newer, r)
		}
	}
	return newer
}

// RequestPolicy implements policy.Source.
func (r *runner) RequestPolicy() { r.outbox.Put(&pb.DispatcherFrame{WantsPolicy: true}) }

// sendPolicy sends the policy to a runner that has asked for it. It is called with the lock held.
func (d *Dispatcher) sendPolicy(r *runner) {
	if s := d.policy.Current(); s != nil && s.Revision > r.policyRevision {
		r.outbox.Put(&pb.DispatcherFrame{Policy: codec.Encode(s)})
	}
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
