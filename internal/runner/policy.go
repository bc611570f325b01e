package runner

import (
	"time"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/policy/codec"
)

const (
	// announcementTime is how long a runner that has heard of a newer policy waits for other
	// dispatchers to have it too, so that not all runners ask the first one.
	announcementTime = 20 * time.Millisecond
	// smallPolicyBytes is the size of a configuration up to which it doesn't wait: the
	// dispatcher's orders already follow the newer policy.
	smallPolicyBytes = 16 << 10
)

// applyPolicy applies a policy that a dispatcher has sent; p is nil if the
// frame has none.
func (r *Runner) applyPolicy(p *pb.Policy) {
	if codec.Apply(r.policy, p, r.log) {
		r.refuseQueued()
		r.markStateChanged()
	}
}

// requestPolicy asks one of the dispatchers that have a newer policy for it, if that is due.
func (r *Runner) requestPolicy(now time.Duration) {
	current := r.policy.Revision()
	var newer []policy.Source
	for _, d := range r.dispatchers {
		if d.outbox != nil && d.policyRevision > current {
			newer = append(newer, d)
		}
	}
	var patience time.Duration
	if s := r.policy.Current(); s != nil && len(s.Document) > smallPolicyBytes {
		patience = announcementTime
	}
	r.policyRequests.Ask(current, newer, patience, now)
}

// RequestPolicy implements policy.Source.
func (d *dispatcher) RequestPolicy() { d.outbox.Put(&pb.RunnerFrame{WantsPolicy: true}) }

// sendPolicy sends the policy to a dispatcher that has asked for it.
func (r *Runner) sendPolicy(d *dispatcher) {
	if s := r.policy.Current(); s != nil && s.Revision > d.policyRevision {
		d.outbox.Put(&pb.RunnerFrame{Policy: codec.Encode(s)})
	}
}
