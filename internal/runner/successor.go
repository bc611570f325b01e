package runner

import (
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/workload"
)

// successor is an endpoint process that sends heartbeats while the session belongs to
// another one, which may still have runs.
type successor struct {
	endpoint *workload.Endpoint
	// heartbeatAt is when its first heartbeat was received.
	heartbeatAt time.Duration
}

// serves reports whether the policy has the service, as far as it is known.
func (r *Runner) serves(service string) bool {
	p := r.policy.Current()
	return p == nil || p.Config.Serves(service)
}

// refusesHeartbeat reports whether a heartbeat is refused: its service isn't configured, and
// that of the session's endpoint, which is not down, is.
func (r *Runner) refusesHeartbeat(s *session, ep *workload.Endpoint) bool {
	return ep.Service != s.endpoint.Service && !r.serves(ep.Service) && r.serves(s.endpoint.Service) && !s.down
}

// replaceEndpoint handles the heartbeat of another endpoint process than that of the
// session. A heartbeat doesn't prove that the process before has ended, so the session
// goes on until that is proved.
func (r *Runner) replaceEndpoint(s *session, ep *workload.Endpoint, now time.Duration) {
	if r.mayReplace(s) {
		r.startSession(ep)
		return
	}
	if s.successor != nil {
		s.successor.endpoint = ep
		return
	}
	s.successor = &successor{endpoint: ep, heartbeatAt: now}
	r.log.Info("endpoint: another process sends heartbeats", zap.String("life", ep.Incarnation()), zap.String("address", ep.Address),
		zap.String("before", s.endpoint.Incarnation()), zap.Int("running", s.tracker.RunCount()))
	go r.renewNow(s)
}

// mayReplace reports whether another process may replace the session's: that one has ended, has been unreachable until its lease expired, or has never responded.
// One of a service that isn't configured keeps its session only while it has runs.
func (r *Runner) mayReplace(s *session) bool {
	if s.down || s.lastResponseAt == 0 {
		return true
	}
	return !r.serves(s.endpoint.Service) && s.tracker.RunCount() == 0
}

// dropSuccessor forgets the successor if the session's process has responded to a request
// that was sent after the successor's heartbeat had arrived: that process is alive.
func (r *Runner) dropSuccessor(s *session, requestedAt time.Duration) {
	if s.successor == nil || requestedAt <= s.successor.heartbeatAt {
		return
	}
	r.log.Warn("heartbeat: ignored, the endpoint before still responds", zap.String("life", s.successor.endpoint.Incarnation()),
		zap.String("known", s.endpoint.Incarnation()))
	s.successor = nil
}

// startSuccessor starts the session of the successor, if there is one, once it may
// replace the process before.
func (r *Runner) startSuccessor(s *session) {
	if s.successor != nil && r.mayReplace(s) {
		r.startSession(s.successor.endpoint)
	}
}
