package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/capacity"
	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/lease"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform"
)

const (
	// renewPollWait is how long the endpoint may wait for an end before it
	// answers a renewal.
	renewPollWait = 100 * time.Millisecond
	// renewTimeout is the time for the answer beside the wait.
	renewTimeout = 50 * time.Millisecond
	// retryDelay is the pause after a call that failed.
	retryDelay = 10 * time.Millisecond
	// startTimeout is the time for the answer to a start, startTries how often
	// it is sent.
	startTimeout  = 25 * time.Millisecond
	maxStartSends = 3
	// controlTimeout is the time for the answer to a stop or a look.
	controlTimeout = 30 * time.Millisecond
	// maxAnswerAge is how old the last answer of the endpoint may be for a
	// start to be ordered.
	maxAnswerAge = 300 * time.Millisecond
	// leaseExpiryMargin is added to the time after which a lease has surely run
	// out.
	leaseExpiryMargin = 30 * time.Millisecond
	// fencingTokenStep is added to a fencing token that the endpoint holds to be
	// too low.
	fencingTokenStep = 60_000
	// remeasureBelow is the speed below which an endpoint that has rested is
	// measured anew.
	remeasureBelow = 0.5
)

// session is one life of the endpoint. Its fields belong to the runner's lock.
type session struct {
	endpoint     *workload.Endpoint
	client       *platform.EndpointClient
	account      *capacity.Tracker
	health       *capacity.Health
	fencingToken int64
	cancel       context.CancelFunc
	// clockMS is the endpoint's clock at clockAt.
	clockMS int64
	clockAt time.Duration
	// lastAnswerAt is when the endpoint last answered, zero before.
	lastAnswerAt time.Duration
	// leaseEnd is the latest end of the lease that was asked for, in the
	// endpoint's milliseconds.
	leaseEnd int64
	// down is set while the endpoint is out of reach and its lease has run
	// out.
	down bool
}

// startSession starts the session of a new life and ends the one before.
func (r *Runner) startSession(ep *workload.Endpoint) {
	now := clock.SinceBoot()
	if r.session != nil {
		r.endSession(r.session, now, "replaced")
	}
	ctx, cancel := context.WithCancel(r.baseCtx)
	r.fencingToken++
	s := &session{
		endpoint:     ep,
		client:       platform.NewEndpointClient(r.network, ep.Address, ep.ID),
		account:      capacity.New(ep.Capacity),
		health:       capacity.NewHealth(),
		fencingToken: r.fencingToken,
		cancel:       cancel,
		clockMS:      ep.ClockMS,
		clockAt:      now,
	}
	r.session = s
	r.log.Info("endpoint: announced", zap.String("life", ep.Incarnation()), zap.String("address", ep.Address),
		zap.String("service", ep.Service), zap.Int64("cpu", ep.Capacity.MilliCPU), zap.Int64("fence", s.fencingToken))
	go r.renewLoop(ctx, s)
}

// restartSession goes on with a new life of the endpoint under the same id. Orders that
// were sent since it began may have reached it, so no run is given up before
// the next look tells which ones it has. A higher token voids older orders.
func (r *Runner) restartSession(s *session, ep *workload.Endpoint, now time.Duration) {
	r.log.Warn("endpoint: reborn", zap.String("life", ep.Incarnation()), zap.String("before", s.endpoint.Incarnation()), zap.Int("running", s.account.RunCount()))
	s.endpoint = ep
	s.account.EndpointRestarted()
	r.fencingToken = max(r.fencingToken, s.fencingToken) + 1
	s.fencingToken = r.fencingToken
	s.leaseEnd, s.clockMS, s.clockAt = 0, ep.ClockMS, now
}

// endSession gives up a session whose process is gone.
func (r *Runner) endSession(s *session, now time.Duration, why string) {
	s.cancel()
	s.client.Close()
	r.log.Info("endpoint: session ended", zap.String("life", s.endpoint.Incarnation()), zap.String("reason", why),
		zap.Int("lost", s.account.RunCount()))
	r.loseRuns(s, now, result.EndpointGone)
}

// loseRuns reports every run of the session as lost.
func (r *Runner) loseRuns(s *session, now time.Duration, code result.Code) {
	for _, g := range s.account.ReleaseAll(now) {
		r.reportEnd(g, code)
	}
	s.account.RequireSync()
}

// renewLoop keeps the lease alive and takes over what the endpoint lists.
func (r *Runner) renewLoop(ctx context.Context, s *session) {
	wait := time.Duration(0)
	for ctx.Err() == nil {
		asked := clock.SinceBoot()
		callCtx, cancel := context.WithTimeout(ctx, wait+renewTimeout)
		look, err := s.client.Renew(callCtx, r.newRenewal(s, asked, wait))
		cancel()
		if ctx.Err() != nil {
			return
		}
		r.mu.Lock()
		r.handleRenewal(s, look, err, asked)
		r.mu.Unlock()
		// After a renewal that failed the next must not wait: the lease runs.
		wait = renewPollWait
		if err != nil {
			wait = 0
			clock.Sleep(ctx, retryDelay)
		}
	}
}

// renewNow asks the endpoint for its runs beside the renewals.
func (r *Runner) renewNow(s *session) {
	asked := clock.SinceBoot()
	renewal := r.newRenewal(s, asked, 0)
	ctx, cancel := context.WithTimeout(r.baseCtx, controlTimeout)
	look, err := s.client.RenewNow(ctx, renewal)
	cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handleRenewal(s, look, err, asked)
}

func (r *Runner) newRenewal(s *session, now, wait time.Duration) workload.RenewalRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !s.account.AcceptsStarts() {
		wait = 0
	}
	return workload.RenewalRequest{LeaseEndMS: r.nextLeaseEnd(s, now), FencingToken: s.fencingToken, AckedSequence: s.account.LastEndSequence(), MaxWait: wait}
}

// nextLeaseEnd is the lease's end to ask for. While the endpoint does not
// answer the lease is not prolonged, so that it runs out at a known time.
func (r *Runner) nextLeaseEnd(s *session, now time.Duration) int64 {
	if s.leaseEnd != 0 && now-s.lastAnswerAt > maxAnswerAge {
		return s.leaseEnd
	}
	end := s.clockMS + (now - s.clockAt + lease.EndpointTTL(r.settings.LeaseMax.Std())).Milliseconds()
	s.leaseEnd = max(end, s.leaseEnd)
	return s.leaseEnd
}

// handleRenewal takes over the answer to a renewal. It is called with the lock held.
func (r *Runner) handleRenewal(s *session, look workload.RenewalResponse, err error, asked time.Duration) {
	if r.session != s {
		return
	}
	now := clock.SinceBoot()
	switch result.CodeOf(err) {
	case result.OK:
		r.applyRunList(s, look, asked, now)
	case result.StaleFence:
		s.fencingToken += fencingTokenStep
		r.fencingToken = max(r.fencingToken, s.fencingToken)
		r.log.Warn("endpoint: fencing token too low", zap.Int64("next", s.fencingToken))
	case result.EndpointUnreachable, result.EndpointGone:
		if !s.down {
			s.down = true
			r.log.Warn("endpoint: process gone", zap.String("life", s.endpoint.Incarnation()), zap.Error(err))
			r.loseRuns(s, now, result.EndpointGone)
		}
	default:
		r.log.Debug("endpoint: no answer", zap.String("life", s.endpoint.Incarnation()), zap.Error(err))
	}
	r.markStateChanged()
}

func (r *Runner) applyRunList(s *session, look workload.RenewalResponse, asked, now time.Duration) {
	if look.StartedAtMS != 0 && look.StartedAtMS != s.endpoint.StartedAtMS {
		if look.StartedAtMS < s.endpoint.StartedAtMS {
			return
		}
		next := *s.endpoint
		next.StartedAtMS, next.ClockMS = look.StartedAtMS, look.ClockMS
		r.restartSession(s, &next, now)
	}
	if s.down {
		// Orders from before could still be carried out; a higher token
		// makes the endpoint refuse them. The next answer counts.
		s.down = false
		r.fencingToken = max(r.fencingToken, s.fencingToken) + 1
		s.fencingToken = r.fencingToken
		s.lastAnswerAt, s.clockMS, s.clockAt = now, look.ClockMS, now
		r.log.Info("endpoint: reached again", zap.String("life", s.endpoint.Incarnation()), zap.Int64("fence", s.fencingToken))
		return
	}
	s.lastAnswerAt, s.clockMS, s.clockAt = now, look.ClockMS, now
	for _, g := range s.account.Reconcile(look, asked, now) {
		r.updateHealth(s, g, now)
		r.reportEnd(g, result.OK)
	}
	r.startQueued(now)
}

// updateHealth lets the endpoint's health follow from how a run ended.
func (r *Runner) updateHealth(s *session, g capacity.ReleasedRun, now time.Duration) {
	switch g.Outcome {
	case workload.OutcomeDone:
		s.health.RunDone()
	case workload.OutcomeFailed:
		task, _ := workload.ParseTaskID(g.Reservation.Run.Task)
		if s.health.RunFailed(task.Job, now) {
			r.log.Warn("endpoint: suspected after failures", zap.String("life", s.endpoint.Incarnation()))
		}
	}
}

// checkEndpointLease gives up the runs of an endpoint that is out of reach once its
// lease has surely run out.
func (r *Runner) checkEndpointLease(s *session, now time.Duration) {
	if s.down || s.lastAnswerAt == 0 || now-s.lastAnswerAt < maxAnswerAge {
		return
	}
	left := time.Duration(s.leaseEnd-s.clockMS) * time.Millisecond
	if now < s.clockAt+lease.MaxRemaining(left)+leaseExpiryMargin {
		return
	}
	s.down = true
	r.log.Warn("endpoint: out of reach, lease lapsed", zap.String("life", s.endpoint.Incarnation()),
		zap.Duration("silent", now-s.lastAnswerAt), zap.Int("lost", s.account.RunCount()))
	r.loseRuns(s, now, result.EndpointUnreachable)
}

// checkSpeed rests an endpoint that is too slow, and measures one anew that has
// rested.
func (r *Runner) checkSpeed(s *session, now time.Duration) {
	if s.account.Slow() && s.health.MarkSlow(now) {
		r.log.Warn("endpoint: suspected, too slow", zap.String("life", s.endpoint.Incarnation()),
			zap.Float64("speed", s.account.Speed()), zap.Int("running", s.account.RunCount()))
	}
	rested := !s.health.Suspended(now) && s.health.MaxRuns() > 0
	if rested && s.account.RunCount() == 0 && s.account.Speed() < remeasureBelow {
		s.account.ResetSpeed()
	}
}

// checkStalled reports runs that stand still.
func (r *Runner) checkStalled(s *session, now time.Duration) {
	for _, run := range s.account.NewlyStalled(now) {
		e, _ := s.account.Reservation(run)
		r.log.Info("run: stalled", zap.String("task", run.Task), zap.Uint64("attempt", run.Attempt),
			zap.Duration("age", now-e.StartSentAt), zap.Duration("estimate", e.Estimate))
		r.sendEvent(e.Owner, newRunEvent(run, endStalled, result.OK, now-e.StartSentAt))
	}
}

// stopUnknownRuns stops runs that an earlier process of this runner ordered.
func (r *Runner) stopUnknownRuns(s *session) {
	if s.down {
		return
	}
	for _, run := range s.account.UnknownRuns() {
		go r.stopOnEndpoint(s, run)
	}
}
