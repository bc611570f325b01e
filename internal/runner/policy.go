package runner

import (
	"time"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/policy/exchange"
)

const (
	// leastTellDelay and mostTellDelay bound how long a runner leaves it to
	// others to send a dispatcher the policy. Runners differ in it: one of
	// them is enough.
	leastTellDelay = 300 * time.Millisecond
	mostTellDelay  = time.Second
)

// takePolicy takes over a policy that a dispatcher has sent, nil for none.
func (r *Runner) takePolicy(p *pb.Policy) {
	if exchange.Take(r.policy, p, r.log) {
		r.refuseWaiting()
		r.publish()
	}
}

// tellPolicy sends the policy to a dispatcher whose own has been older for a
// while: it may read the store or hear others.
func (r *Runner) tellPolicy(l *link, now time.Duration) {
	s := r.policy.State()
	if s == nil || l.out == nil || l.revision >= s.Revision {
		l.behindSince = 0
		return
	}
	if l.behindSince == 0 {
		l.behindSince = now
	}
	if now-l.behindSince < r.tellDelay {
		return
	}
	l.revision = s.Revision
	l.out.Put(&pb.RunnerFrame{Policy: exchange.Encode(s)})
}
