package runner

import (
	"time"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/policy/codec"
)

const (
	// minPolicyPushDelay and maxPolicyPushDelay bound how long a runner waits
	// before it sends its policy to a dispatcher with an older one. Each runner
	// draws its own delay, so that usually only one of them sends it.
	minPolicyPushDelay = 300 * time.Millisecond
	maxPolicyPushDelay = time.Second
)

// applyPolicy applies a policy that a dispatcher has sent; p is nil if the
// frame has none.
func (r *Runner) applyPolicy(p *pb.Policy) {
	if codec.Apply(r.policy, p, r.log) {
		r.refuseQueued()
		r.markStateChanged()
	}
}

// pushPolicy sends the policy to a dispatcher whose own has been older for
// policyPushDelay. Until then the dispatcher may get it from the store or from
// another runner.
func (r *Runner) pushPolicy(d *dispatcher, now time.Duration) {
	s := r.policy.Current()
	if s == nil || d.outbox == nil || d.policyRevision >= s.Revision {
		d.policyStaleSince = 0
		return
	}
	if d.policyStaleSince == 0 {
		d.policyStaleSince = now
	}
	if now-d.policyStaleSince < r.policyPushDelay {
		return
	}
	d.policyRevision = s.Revision
	d.outbox.Put(&pb.RunnerFrame{Policy: codec.Encode(s)})
}
