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
