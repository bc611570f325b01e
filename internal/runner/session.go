package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/capacity"
	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform"
)

const (
	// renewPollWait is how long the endpoint may hold back the response to a
	// renewal while no run ends (long polling).
	renewPollWait = 100 * time.Millisecond
	// renewTimeout bounds the call in addition to renewPollWait.
	renewTimeout = 50 * time.Millisecond
	// retryDelay is the delay before a failed call is repeated.
	retryDelay = 10 * time.Millisecond
	// startTimeout bounds one try of a start request; maxStartSends is the
	// maximum number of tries.
	startTimeout  = 25 * time.Millisecond
	maxStartSends = 3
	// controlTimeout bounds a stop request, and a renewal that doesn't wait.
	controlTimeout = 30 * time.Millisecond
	// maxResponseAge is the maximum age of the endpoint's last response at
	// which runs are still started and the lease is still extended.
	maxResponseAge = 300 * time.Millisecond
	// leaseExpiryMargin is a safety margin added to the time at which a lease
	// must have expired.
	leaseExpiryMargin = 30 * time.Millisecond
	// fencingTokenStep is added to the fencing token when the endpoint has seen
	// a higher one.
	fencingTokenStep = 60_000
	// remeasureBelow is the speed below which the speed of an endpoint is
	// measured again after it was suspended.
	remeasureBelow = 0.5
)

// session is the state of one process of the endpoint. Its fields are guarded
// by Runner.mu.
type session struct {
	endpoint     *workload.Endpoint
	client       *platform.EndpointClient
	tracker      *capacity.Tracker
	health       *capacity.Health
	fencingToken int64
	cancel       context.CancelFunc
	// heartbeatAt is when the current process's last heartbeat was received, zero
	// before its first: only heartbeats tell the capacity.
	heartbeatAt time.Duration
	// clockMS is the endpoint's clock in milliseconds, as received at clockAt.
	clockMS int64
	clockAt time.Duration
	// lastResponseAt is when the endpoint last responded to a renewal, zero
	// before its first response.
	lastResponseAt time.Duration
	// leasedUntil is the time until which the lease is certain to last: that in the
	// last renewal to which the endpoint responded.
	leasedUntil time.Duration
	// leaseEndMS is the latest lease end that was requested, on the endpoint's
	// clock in milliseconds.
	leaseEndMS int64
	// lapsingSince is since when the lease has not been extended because of a run that
	// must end, zero while it is.
	lapsingSince time.Duration
	// down is set when the runs are reported as lost, because the process is
	// gone or was unreachable until its lease had expired, and cleared when the
	// endpoint responds again.
	down bool
	// failingSince is when the endpoint began not to respond, zero while it
	// responds.
	failingSince time.Duration
	// unreachableRuns are the begun runs that were reported as lost when the
	// endpoint was unreachable: lost in a crash, if its process turns out to have
	// ended.
	unreachableRuns []capacity.ReleasedRun
	// previousIncarnation is the process before a restart under the same ID, and
	// previousLeased whether its lease certainly lasted until then.
	previousIncarnation string
	previousLeased      bool
	// successor is another process that sends heartbeats, nil if there is none.
	successor *successor
}

// startSession starts the session of a new endpoint process and ends the
// previous one.
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
		tracker:      capacity.New(ep.Capacity),
		health:       capacity.NewHealth(),
		fencingToken: r.fencingToken,
		cancel:       cancel,
		heartbeatAt:  now,
		clockMS:      ep.ClockMS,
		clockAt:      now,
	}
	r.session = s
	r.log.Info("endpoint: session started", zap.String("life", ep.Incarnation()), zap.String("address", ep.Address),
		zap.String("service", ep.Service), zap.Int64("cpu", ep.Capacity.MilliCPU), zap.Int64("fence", s.fencingToken))
	go r.renewLoop(ctx, s)
}

// restartSession continues the session with a new process of the endpoint under
// the same ID. Start requests that were sent since it started may have reached
// it, so no run is reported as lost before the next response lists those it
// has. A higher fencing token makes the endpoint refuse older requests.
func (r *Runner) restartSession(s *session, ep *workload.Endpoint, now time.Duration) {
	r.log.Warn("endpoint: restarted under the same id", zap.String("life", ep.Incarnation()), zap.String("before", s.endpoint.Incarnation()), zap.Int("running", s.tracker.RunCount()))
	r.recordUnreachable(s, now)
	s.previousIncarnation, s.previousLeased = s.endpoint.Incarnation(), s.leased(now)
	r.fencingToken = max(r.fencingToken, s.fencingToken) + 1
	s.fencingToken = r.fencingToken
	r.stopAll(s, s.tracker.EndpointRestarted(!s.endpoint.Draining, s.fencingToken))
	s.endpoint = ep
	s.leaseEndMS, s.clockMS, s.clockAt = 0, ep.ClockMS, now
	s.heartbeatAt = 0
}

// maxHeartbeatAge is the age of the last heartbeat, in intervals, up to which the
// capacity in it is used. One that was lost doesn't stop the starts, and a capacity
// that has shrunk meanwhile is not used for long.
const maxHeartbeatAge = 2.5

// capacityKnown reports whether the endpoint has told its capacity recently.
func (r *Runner) capacityKnown(s *session, now time.Duration) bool {
	maxAge := time.Duration(maxHeartbeatAge * float64(r.settings.HeartbeatInterval.Std()))
	return s.heartbeatAt > 0 && now-s.heartbeatAt < maxAge
}

// endSession ends the session of a process that is gone, and reports its runs
// as lost.
func (r *Runner) endSession(s *session, now time.Duration, reason string) {
	s.cancel()
	s.client.Close()
	r.log.Info("endpoint: session ended", zap.String("life", s.endpoint.Incarnation()), zap.String("reason", reason),
		zap.Int("lost", s.tracker.RunCount()))
	r.processEnded(s, s.tracker.ReleaseAll(now), now)
}

// checkSpeed suspends an endpoint that is too slow, and measures the speed
// again after a suspension.
func (r *Runner) checkSpeed(s *session, now time.Duration) {
	if s.tracker.Slow() && s.health.MarkSlow(now) {
		s.tracker.DiscardFormerSpeed()
		r.log.Warn("endpoint: suspended, too slow", zap.String("life", s.endpoint.Incarnation()),
			zap.Float64("speed", s.tracker.Speed()), zap.Int("running", s.tracker.RunCount()))
	}
	suspensionOver := !s.health.Suspended(now) && s.health.MaxRuns() > 0
	if suspensionOver && s.tracker.RunCount() == 0 && s.tracker.Speed() < remeasureBelow {
		s.tracker.ResetSpeed()
	}
}

// checkStalled reports runs that have stalled, or that would be done earlier at
// another endpoint.
func (r *Runner) checkStalled(s *session, now time.Duration) {
	for _, run := range s.tracker.NewlyStalled(now) {
		reservation, _ := s.tracker.Reservation(run)
		r.log.Info("run: stalled", zap.String("task", run.Task), zap.Uint64("attempt", run.Attempt),
			zap.Duration("age", now-reservation.StartSentAt), zap.Duration("estimate", reservation.Estimate))
		r.sendEvent(reservation.Owner, newRunEvent(run, endStalled, result.OK, now-reservation.StartSentAt))
	}
}

// stopUnknownRuns stops runs that an earlier process of this runner started.
func (r *Runner) stopUnknownRuns(s *session) {
	if !s.down {
		r.stopAll(s, s.tracker.UnknownRuns())
	}
}

// stopAll requests the end of runs.
func (r *Runner) stopAll(s *session, runs []workload.RunID) {
	for _, run := range runs {
		go r.stopOnEndpoint(s, run)
	}
}
