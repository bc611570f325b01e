package dispatch

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/pomelosill/pomelosill/internal/directory"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/policy/codec"
)

const (
	// storePropagationDelay is how long a new policy is left to reach the other
	// dispatchers from the store before it is sent to them.
	storePropagationDelay = 100 * time.Millisecond
	// pushTurnInterval is the time between two dispatchers' turns to send a new policy
	// to a runner.
	pushTurnInterval = 120 * time.Millisecond
	// maxPushTurns bounds the turns: from the last on everybody sends.
	maxPushTurns = 4
)

// policyFor is the policy for a runner whose own is older, nil if it has the
// newest one or another dispatcher's turn comes first.
func (d *Dispatcher) policyFor(r *runner) *pb.Policy {
	s := d.policy.Current()
	if s == nil || s.Revision <= r.policyRevision {
		return nil
	}
	fresh := r.policyRevision == 0
	if !fresh && d.policy.Age() < pushDelay(d.settings.Name, r.node.Name, d.directory.Nodes(directory.Dispatcher)) {
		return nil
	}
	r.policyRevision = s.Revision
	return codec.Encode(s)
}

// pushDelay is how long a dispatcher leaves a new policy to others to send to
// a runner. Their order differs from runner to runner, so that each sends to a
// few at once; it matters where the policy is large and the hosts' network
// narrow.
func pushDelay(self, runner string, dispatchers []directory.Node) time.Duration {
	turn := 0
	own := pushRank(self, runner)
	for _, n := range dispatchers {
		if pushRank(n.Name, runner) < own {
			turn++
		}
	}
	return time.Duration(min(turn, maxPushTurns)) * pushTurnInterval
}

// pushRank is where a dispatcher stands in a runner's order.
func pushRank(dispatcher, runner string) uint64 {
	sum := sha256.Sum256([]byte(dispatcher + " " + runner))
	return binary.BigEndian.Uint64(sum[:])
}
