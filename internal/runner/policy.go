package runner

import (
	"time"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/policy/codec"
)

const (
	// minPolicyPushDelay and mostTellDelay bound how long a runner leaves it to
	// others to send a dispatcher the policy. Runners differ in it: one of
	// them is enough.
	minPolicyPushDelay = 300 * time.Millisecond
	maxPolicyPushDelay = time.Second
)

// applyPolicy takes over a policy that a dispatcher has sent, nil for none.
func (r *Runner) applyPolicy(p *pb.Policy) {
	if codec.Apply(r.policy, p, r.log) {
		r.refuseQueued()
		r.markStateChanged()
	}
}

// pushPolicy sends the policy to a dispatcher whose own has been older for a
// while: it may read the store or hear others.
func (r *Runner) pushPolicy(l *dispatcher, now time.Duration) {
	s := r.policy.Current()
	if s == nil || l.outbox == nil || l.policyRevision >= s.Revision {
		l.policyStaleSince = 0
		return
	}
	if l.policyStaleSince == 0 {
		l.policyStaleSince = now
	}
	if now-l.policyStaleSince < r.policyPushDelay {
		return
	}
	l.policyRevision = s.Revision
	l.outbox.Put(&pb.RunnerFrame{Policy: codec.Encode(s)})
}
