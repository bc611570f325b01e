package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/lease"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/workload"
)

// renewLoop renews the lease and applies the run lists in the responses.
func (r *Runner) renewLoop(ctx context.Context, s *session) {
	wait := time.Duration(0)
	for ctx.Err() == nil {
		requestedAt := clock.SinceBoot()
		callCtx, cancel := context.WithTimeout(ctx, wait+renewTimeout)
		resp, err := s.client.Renew(callCtx, r.newRenewal(s, requestedAt, wait))
		cancel()
		if ctx.Err() != nil {
			return
		}
		r.mu.Lock()
		r.handleRenewal(s, resp, err, requestedAt)
		r.mu.Unlock()
		// After a failed renewal the next one must not wait at the endpoint,
		// because the lease is running out.
		wait = renewPollWait
		if err != nil {
			wait = 0
			clock.Sleep(ctx, retryDelay)
		}
	}
}

// renewNow requests the list of runs without waiting for renewLoop.
func (r *Runner) renewNow(s *session) {
	requestedAt := clock.SinceBoot()
	renewal := r.newRenewal(s, requestedAt, 0)
	ctx, cancel := context.WithTimeout(r.baseCtx, controlTimeout)
	resp, err := s.client.RenewNow(ctx, renewal)
	cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handleRenewal(s, resp, err, requestedAt)
}

// newRenewal returns the request that renews the lease of all runs. The leases of their
// dispatchers are checked first, so that no run goes on for longer than one lease of the
// endpoint after that of its dispatcher has expired, even if the periodic check is late.
func (r *Runner) newRenewal(s *session, now, wait time.Duration) workload.RenewalRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkDispatcherLeases(now)
	r.raiseFence(s, now)
	if !s.tracker.AcceptsStarts() {
		wait = 0
	}
	return workload.RenewalRequest{LeaseEndMS: r.nextLeaseEnd(s, now), FencingToken: s.fencingToken, AckedSequence: s.tracker.LastEndSequence(), MaxWait: wait}
}

// nextLeaseEnd returns the lease end to request. While the endpoint does not
// respond the lease is not extended, so that it expires at a known time; nor before the
// endpoint has listed the runs of an earlier process of the runner, or while a run there
// must end.
func (r *Runner) nextLeaseEnd(s *session, now time.Duration) int64 {
	if s.lastResponseAt == 0 || r.mustLapse(s, now) {
		return s.leaseEndMS
	}
	if s.leaseEndMS != 0 && now-s.lastResponseAt > maxResponseAge {
		return s.leaseEndMS
	}
	end := s.clockMS + (now - s.clockAt + r.endpointTTL()).Milliseconds()
	s.leaseEndMS = max(end, s.leaseEndMS)
	return s.leaseEndMS
}

// handleRenewal applies the response to a renewal. The caller holds r.mu.
func (r *Runner) handleRenewal(s *session, resp workload.RenewalResponse, err error, requestedAt time.Duration) {
	if r.session != s {
		return
	}
	now := clock.SinceBoot()
	code := result.CodeOf(err)
	if err != nil && code != result.StaleFence && s.failingSince == 0 {
		s.failingSince = now
	}
	switch code {
	case result.OK:
		r.dropSuccessor(s, requestedAt)
		r.applyRenewal(s, resp, requestedAt, now)
		s.failingSince = 0
	case result.StaleFence:
		s.fencingToken += fencingTokenStep
		r.fencingToken = max(r.fencingToken, s.fencingToken)
		r.log.Warn("endpoint: fencing token too low", zap.Int64("next", s.fencingToken))
	case result.EndpointUnreachable, result.EndpointGone:
		r.handleProcessGone(s, err, requestedAt, now)
	default:
		r.log.Debug("endpoint: renewal failed", zap.String("life", s.endpoint.Incarnation()), zap.Error(err))
	}
	r.markStateChanged()
}

// handleProcessGone handles that a request which was sent at requestedAt found the endpoint's
// process gone. If the endpoint has responded since to another one, the order of the two isn't
// known: the next request tells. A start request that was under way then may reach the next
// process; its run counts as lost once a later request finds none.
func (r *Runner) handleProcessGone(s *session, err error, requestedAt, now time.Duration) {
	if s.lastResponseAt > requestedAt {
		return
	}
	if !s.down {
		s.down = true
		r.log.Warn("endpoint: process gone", zap.String("life", s.endpoint.Incarnation()), zap.Error(err))
	}
	r.processEnded(s, s.tracker.ReleaseEnded(requestedAt, now), now)
	r.startSuccessor(s)
}

func (r *Runner) applyRenewal(s *session, resp workload.RenewalResponse, requestedAt, now time.Duration) {
	if resp.StartedAtMS != 0 && resp.StartedAtMS != s.endpoint.StartedAtMS {
		if resp.StartedAtMS < s.endpoint.StartedAtMS {
			return
		}
		next := *s.endpoint
		next.StartedAtMS, next.ClockMS = resp.StartedAtMS, resp.ClockMS
		next.Sequence, next.Draining = 0, false
		r.restartSession(s, &next, now)
	}
	if s.down {
		// Start requests sent before this response could still take effect; a
		// higher token makes the endpoint refuse them. Therefore only the next
		// response is used as a run list.
		s.down = false
		r.fencingToken = max(r.fencingToken, s.fencingToken) + 1
		s.fencingToken = r.fencingToken
		s.lastResponseAt, s.clockMS, s.clockAt = now, resp.ClockMS, now
		s.unreachableRuns = nil
		r.stopAll(s, s.tracker.RepeatStops())
		r.log.Info("endpoint: reachable again", zap.String("life", s.endpoint.Incarnation()), zap.Int64("fence", s.fencingToken))
		return
	}
	s.lastResponseAt, s.clockMS, s.clockAt = now, resp.ClockMS, now
	remaining := time.Duration(s.leaseEndMS-resp.ClockMS) * time.Millisecond
	s.leasedUntil = requestedAt + min(remaining, r.endpointTTL())
	released := s.tracker.Reconcile(resp, requestedAt, now)
	r.logLapse(s, expiredRuns(released), now)
	r.recordCrash(s, s.previousIncarnation, crashedRuns(released), s.previousLeased, now)
	for _, run := range released {
		r.updateHealth(s, run, now)
		r.reportEnd(run, result.OK)
	}
	r.startQueued(now)
}

// checkEndpointLease reports the runs of an unreachable endpoint as lost once
// its lease has definitely expired.
func (r *Runner) checkEndpointLease(s *session, now time.Duration) {
	if s.down || s.lastResponseAt == 0 || now-s.lastResponseAt < maxResponseAge {
		return
	}
	remaining := time.Duration(s.leaseEndMS-s.clockMS) * time.Millisecond
	if now < s.clockAt+lease.MaxRemaining(remaining)+leaseExpiryMargin {
		return
	}
	s.down = true
	r.log.Warn("endpoint: unreachable until its lease expired, runs lost", zap.String("life", s.endpoint.Incarnation()),
		zap.Duration("silent", now-s.lastResponseAt), zap.Int("lost", s.tracker.RunCount()))
	r.processUnreachable(s, now)
	r.startSuccessor(s)
}
