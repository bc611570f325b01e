package runner

import (
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/lease"
	"github.com/pomelosill/pomelosill/internal/workload"
)

// A run goes on at most until the end of its dispatcher's lease, as that was when the
// dispatcher last found the caller connected, and for one lease of the endpoint after it. A
// stop request ends the run, but the endpoint may leave it unanswered and still respond to
// renewals. Then the lease of the endpoint is not extended, although that ends the other
// runs there too: only the lease is certain to end the run before its caller has sent the
// job to another dispatcher.

// revokeRun stops a run that may go on until the given time at most.
func (r *Runner) revokeRun(owner string, run workload.RunID, until time.Duration) {
	if s := r.session; s != nil {
		if res, found := s.tracker.Reservation(run); found && res.Owner == owner {
			s.tracker.Revoke(run, until)
		}
	}
	r.stopRun(owner, run)
}

// mustLapse reports whether the endpoint's lease must not be extended. Runs whose stop
// requests are usually answered within milliseconds hold it up no longer than that.
func (r *Runner) mustLapse(s *session, now time.Duration) bool {
	lapses := s.tracker.MustLapse(now)
	if lapses && s.lapsingSince == 0 {
		s.lapsingSince = now
	}
	if !lapses {
		s.lapsingSince = 0
	}
	return lapses
}

// lapsing reports whether the endpoint's lease has not been extended for so long that it is
// likely to end: no work should be sent there.
func (s *session) lapsing(now, ttl time.Duration) bool {
	return s.lapsingSince > 0 && now-s.lapsingSince > ttl/2
}

// raiseFence raises the fencing token if that makes the endpoint refuse the start of a run
// that must not go on.
func (r *Runner) raiseFence(s *session, now time.Duration) {
	if !s.tracker.NeedsFence(s.fencingToken, now) {
		return
	}
	r.fencingToken = max(r.fencingToken, s.fencingToken) + 1
	s.fencingToken = r.fencingToken
	r.log.Info("endpoint: fencing token raised, a start and its stop are unanswered", zap.String("life", s.endpoint.Incarnation()),
		zap.Int64("fence", s.fencingToken))
}

// logLapse logs that runs have ended with the endpoint's lease because it was not extended.
func (r *Runner) logLapse(s *session, ended int, now time.Duration) {
	if s.lapsingSince == 0 || ended == 0 {
		return
	}
	r.log.Warn("endpoint: lease lapsed, a stop was unanswered", zap.String("life", s.endpoint.Incarnation()),
		zap.Int("ended", ended), zap.Duration("after", now-s.lapsingSince))
}

// endpointTTL returns the duration of the endpoint's lease.
func (r *Runner) endpointTTL() time.Duration { return lease.EndpointTTL(r.settings.LeaseMax.Std()) }
