package runner

import (
	"cmp"
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/capacity"
	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/workload"
)

// startRun reserves capacity for the order's run and requests its start.
func (r *Runner) startRun(o *order, now time.Duration) {
	s := r.session
	reserved := s.tracker.Reserve(capacity.Reservation{
		Run: o.runID, Owner: o.owner, Resources: o.resources, Estimate: o.estimate, Route: o.route, Contained: o.contained,
		Overflow: o.overflow, FencingToken: s.fencingToken,
	}, now)
	if !reserved {
		r.refuse(o, result.AlreadyStarted)
		return
	}
	r.counters.starts.Add(r.baseCtx, 1)
	r.countStarted(o, now)
	start := workload.StartRequest{Run: o.runID, Spec: o.spec, LeaseEndMS: r.nextLeaseEnd(s, now), FencingToken: s.fencingToken}
	go r.startOnEndpoint(s, o, start, now+r.endpointTTL())
}

// mayStart reports whether a start request may still be sent: the process may have
// been suspended since the order was accepted, or while it connected. Then the dispatcher may count the run
// as lost, and the endpoint may have been restarted: the new process knows no fencing
// token and would carry out the request.
func (r *Runner) mayStart(s *session, o *order, start workload.StartRequest, leasedUntil time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.SinceBoot()
	if r.session != s || s.down || s.fencingToken != start.FencingToken {
		return false
	}
	return now < leasedUntil && r.leaseValid(o.owner, now)
}

// startOnEndpoint sends a start request to the endpoint and applies the
// response. The endpoint's lease in the request lasts until leasedUntil.
func (r *Runner) startOnEndpoint(s *session, o *order, start workload.StartRequest, leasedUntil time.Duration) {
	err := r.sendStartWithRetry(s, o, start, leasedUntil)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.session != s {
		return
	}
	now := clock.SinceBoot()
	code := result.CodeOf(err)
	switch code {
	case result.OK:
		s.tracker.StartAccepted(o.runID, now)
	case result.OutcomeUnknown, result.EndpointUnreachable, result.EndpointGone:
		if s.tracker.MarkUnanswered(o.runID, now) {
			go r.resolveUnansweredStart(s, o.runID)
		}
	default:
		r.log.Info("order: start refused", zap.String("task", o.runID.Task),
			zap.Uint64("attempt", o.runID.Attempt), zap.Stringer("code", code))
		if code == result.StaleFence && s.fencingToken == start.FencingToken {
			s.fencingToken += fencingTokenStep
			r.fencingToken = max(r.fencingToken, s.fencingToken)
		}
		if code == result.Overloaded {
			s.runFailed(o.job(), o.overflow, now)
		}
		r.uncountStarted(o, now)
		s.tracker.StartRefused(o.runID, now)
		r.sendEvent(o.owner, newRunEvent(o.runID, endRefused, code, 0))
		r.startQueued(now)
	}
	r.markStateChanged()
}

// sendStartWithRetry sends a start request until it gets a response, at most
// maxStartSends times and only while it may be sent. Starts are idempotent at the endpoint, so a retry never
// starts a second run. A refusal that follows an unanswered try does not count
// as one: the earlier try may have started the run.
func (r *Runner) sendStartWithRetry(s *session, o *order, start workload.StartRequest, leasedUntil time.Duration) error {
	start.Permitted = func() bool { return r.mayStart(s, o, start, leasedUntil) }
	var unanswered error
	for range maxStartSends {
		if !start.Permitted() {
			return cmp.Or[error](unanswered, result.Errorf(result.LeaseLapsed, "the permission for the start of %s has run out", start.Run.Task))
		}
		ctx, cancel := context.WithTimeout(r.baseCtx, startTimeout)
		err := s.client.Start(ctx, start)
		cancel()
		if err == nil {
			return nil
		}
		if unanswered == nil && result.CodeOf(err) != result.OutcomeUnknown {
			return err
		}
		unanswered = result.Wrap(result.OutcomeUnknown, err, "an earlier try got no response")
		r.log.Info("order: start got no response", zap.String("task", start.Run.Task), zap.Uint64("attempt", start.Run.Attempt), zap.Error(err))
	}
	return unanswered
}

// resolveUnansweredStart finds out whether a start request without a response
// took effect. A run that the endpoint lists continues; any other is stopped,
// so that it can't start later.
func (r *Runner) resolveUnansweredStart(s *session, run workload.RunID) {
	r.renewNow(s)
	r.mu.Lock()
	reservation, found := s.tracker.Reservation(run)
	stopping := found && reservation.State == capacity.StartUnanswered && s.tracker.BeginStop(run)
	r.mu.Unlock()
	if stopping {
		r.stopOnEndpoint(s, run)
		r.renewNow(s)
	}
}

// stopOnEndpoint sends a stop request until it is acknowledged, the run has
// ended, or the session's runs count as lost.
func (r *Runner) stopOnEndpoint(s *session, run workload.RunID) {
	for {
		r.mu.Lock()
		token, current := s.fencingToken, r.session == s && !s.down
		r.mu.Unlock()
		if !current {
			return
		}
		ctx, cancel := context.WithTimeout(r.baseCtx, controlTimeout)
		err := s.client.Stop(ctx, run, token)
		cancel()
		if err == nil {
			r.mu.Lock()
			s.tracker.StopAcked(run, clock.SinceBoot())
			r.mu.Unlock()
			return
		}
		r.log.Info("order: stop failed, retrying", zap.String("task", run.Task), zap.Error(err))
		r.mu.Lock()
		s.tracker.StopUnanswered(run)
		r.mu.Unlock()
		if !clock.Sleep(r.baseCtx, retryDelay) {
			return
		}
		r.mu.Lock()
		_, found := s.tracker.Reservation(run)
		r.mu.Unlock()
		if !found {
			return
		}
	}
}

// stopRun handles a dispatcher's request to stop one of its runs.
func (r *Runner) stopRun(owner string, run workload.RunID) {
	if r.dequeue(owner, run) {
		r.sendEvent(owner, newRunEvent(run, endRefused, result.Cancelled, 0))
		return
	}
	s := r.session
	if s == nil {
		// The run is of an earlier process of this runner, and may still be at the
		// endpoint. The first ready state confirms that it isn't.
		return
	}
	if res, found := s.tracker.Reservation(run); !found || res.Owner != owner {
		return
	}
	if s.tracker.BeginStop(run) {
		r.counters.stops.Add(r.baseCtx, 1)
		go r.stopOnEndpoint(s, run)
	}
}
