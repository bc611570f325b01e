package runner

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/capacity"
	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/runref"
	"github.com/pomelosill/pomelosill/internal/workload"
)

// order is a dispatcher's request to start one run.
type order struct {
	owner     string
	runID     workload.RunID
	service   string
	spec      string
	resources workload.Resources
	estimate  time.Duration
	route     string
	// contained is set if the job may crash the endpoint.
	contained bool
	// waitDeadline is the time until which the order may wait for capacity.
	waitDeadline time.Duration
	// startDeadline is the latest time at which the run can start and still end
	// in time.
	startDeadline time.Duration
}

// newOrders returns the orders of one frame, in which an order may repeat the
// spec of the one before.
func newOrders(owner string, starts []*pb.RunOrder, now time.Duration) []*order {
	orders := make([]*order, 0, len(starts))
	spec := ""
	for _, s := range starts {
		if !s.GetRepeatsSpec() {
			spec = s.GetSpec()
		}
		orders = append(orders, newOrder(owner, spec, s, now))
	}
	return orders
}

func newOrder(owner, spec string, o *pb.RunOrder, now time.Duration) *order {
	return &order{
		owner:         owner,
		runID:         runref.Decode(o.GetRun()),
		service:       o.GetService(),
		spec:          spec,
		resources:     workload.DecodeResources(o.GetCpuMilli(), o.GetMemoryMb(), o.GetGpus()),
		estimate:      time.Duration(o.GetEstimateUs()) * time.Microsecond,
		route:         o.GetRoute(),
		contained:     o.GetContained(),
		waitDeadline:  now + time.Duration(o.GetPatienceUs())*time.Microsecond,
		startDeadline: now + time.Duration(o.GetSlackUs())*time.Microsecond,
	}
}

// compareUrgency sorts orders that can still meet their start deadline before
// those that can't, and within both groups by start deadline.
func (o *order) compareUrgency(other *order, now time.Duration) int {
	late, otherLate := o.startDeadline < now, other.startDeadline < now
	if late != otherLate {
		if late {
			return 1
		}
		return -1
	}
	return cmp.Compare(o.startDeadline, other.startDeadline)
}

// checkOrder returns OK if the policy and the state of the endpoint allow the
// order, and otherwise the code of the refusal.
func (r *Runner) checkOrder(o *order) result.Code {
	p := r.policy.Current()
	s := r.session
	switch {
	case p == nil:
		return result.NoPolicy
	case r.draining:
		return result.Leaving
	case s == nil || s.down || s.lastResponseAt == 0:
		return result.NoEndpoint
	case s.endpoint.Draining:
		return result.Leaving
	case s.endpoint.Service != o.service || !p.Config.Serves(o.service):
		return result.CannotRun
	case p.OutOfService(s.endpoint.FailureDomain):
		return result.OutOfService
	case !o.resources.Fits(s.tracker.Capacity()):
		return result.CannotRun
	}
	return result.OK
}

// hasCapacity reports whether the order's run may start now: the endpoint has
// responded and told its capacity recently, is neither suspended nor at its bound of probe runs, has free
// capacity, and no contained run of another job if the order is contained.
func (r *Runner) hasCapacity(o *order, now time.Duration) bool {
	s := r.session
	if now-s.lastResponseAt > maxResponseAge || !r.capacityKnown(s, now) || s.health.Suspended(now) {
		return false
	}
	if limit := s.health.MaxRuns(); limit > 0 && s.tracker.RunCount() >= limit {
		return false
	}
	return s.tracker.Fits(o.resources) && !(o.contained && s.tracker.HasContained(o.job()))
}

// job returns the ID of the order's job.
func (o *order) job() string {
	task, _ := workload.ParseTaskID(o.runID.Task)
	return task.Job
}

// handleOrder starts an order, queues it until there is capacity, or refuses
// it. The caller holds r.mu.
func (r *Runner) handleOrder(o *order, now time.Duration) {
	if code := r.checkOrder(o); code != result.OK {
		r.refuse(o, code)
		return
	}
	if len(r.queue) == 0 && r.hasCapacity(o, now) {
		r.startRun(o, now)
		return
	}
	if o.waitDeadline <= now {
		r.refuse(o, result.NoFreeSlot)
		return
	}
	r.queue = append(r.queue, o)
	r.startQueued(now)
}

// startRun reserves capacity for the order's run and requests its start.
func (r *Runner) startRun(o *order, now time.Duration) {
	s := r.session
	reserved := s.tracker.Reserve(capacity.Reservation{
		Run: o.runID, Owner: o.owner, Resources: o.resources, Estimate: o.estimate, Route: o.route, Contained: o.contained,
	}, now)
	if !reserved {
		r.refuse(o, result.AlreadyStarted)
		return
	}
	r.counters.starts.Add(r.baseCtx, 1)
	start := workload.StartRequest{Run: o.runID, Spec: o.spec, LeaseEndMS: r.nextLeaseEnd(s, now), FencingToken: s.fencingToken}
	go r.startOnEndpoint(s, o, start)
}

// startQueued starts the queued orders for which there is capacity, the most
// urgent first, and refuses those whose wait deadline has passed. It checks the
// leases of their dispatchers itself: after the process was suspended it may run
// before the periodic check.
func (r *Runner) startQueued(now time.Duration) {
	if len(r.queue) == 0 {
		return
	}
	slices.SortStableFunc(r.queue, func(a, b *order) int { return a.compareUrgency(b, now) })
	var remaining []*order
	queued := r.queue
	r.queue = nil
	for _, o := range queued {
		code := r.checkOrder(o)
		if code == result.OK && !r.leaseValid(o.owner, now) {
			code = result.LeaseLapsed
		}
		switch {
		case code != result.OK:
			r.refuse(o, code)
		case r.hasCapacity(o, now):
			r.startRun(o, now)
		case o.waitDeadline <= now:
			r.refuse(o, result.NoFreeSlot)
		default:
			remaining = append(remaining, o)
		}
	}
	r.queue = append(remaining, r.queue...)
}

// refuseQueued refuses every queued order that is no longer allowed.
func (r *Runner) refuseQueued() {
	queued := r.queue
	r.queue = nil
	for _, o := range queued {
		if code := r.checkOrder(o); code != result.OK {
			r.refuse(o, code)
			continue
		}
		r.queue = append(r.queue, o)
	}
}

// dequeue removes the order for a run from the queue and reports whether there
// was one.
func (r *Runner) dequeue(run workload.RunID) bool {
	n := len(r.queue)
	r.queue = slices.DeleteFunc(r.queue, func(o *order) bool { return o.runID == run })
	return len(r.queue) < n
}

func (r *Runner) refuse(o *order, code result.Code) {
	r.counters.refusals.Add(r.baseCtx, 1)
	r.log.Debug("order: refused", zap.String("task", o.runID.Task), zap.Uint64("attempt", o.runID.Attempt),
		zap.String("dispatcher", o.owner), zap.Stringer("code", code))
	r.sendEvent(o.owner, newRunEvent(o.runID, endRefused, code, 0))
}

// startOnEndpoint sends a start request to the endpoint and applies the
// response.
func (r *Runner) startOnEndpoint(s *session, o *order, start workload.StartRequest) {
	err := r.sendStartWithRetry(s, start)
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
		if s.tracker.MarkUnanswered(o.runID) {
			go r.resolveUnansweredStart(s, o.runID)
		}
	default:
		r.log.Info("order: start refused by the endpoint", zap.String("task", o.runID.Task),
			zap.Uint64("attempt", o.runID.Attempt), zap.Stringer("code", code))
		if code == result.StaleFence && s.fencingToken == start.FencingToken {
			s.fencingToken += fencingTokenStep
			r.fencingToken = max(r.fencingToken, s.fencingToken)
		}
		if code == result.Overloaded {
			s.health.RunFailed(o.job(), now)
		}
		s.tracker.StartRefused(o.runID, now)
		r.sendEvent(o.owner, newRunEvent(o.runID, endRefused, code, 0))
		r.startQueued(now)
	}
	r.markStateChanged()
}

// sendStartWithRetry sends a start request until it gets a response, at most
// maxStartSends times. Starts are idempotent at the endpoint, so a retry never
// starts a second run. A refusal that follows an unanswered try does not count
// as one: the earlier try may have started the run.
func (r *Runner) sendStartWithRetry(s *session, start workload.StartRequest) error {
	var unanswered error
	for range maxStartSends {
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

// stopRun handles a dispatcher's request to stop a run.
func (r *Runner) stopRun(owner string, run workload.RunID) {
	if r.dequeue(run) {
		r.sendEvent(owner, newRunEvent(run, endRefused, result.Cancelled, 0))
		return
	}
	s := r.session
	if s == nil {
		r.sendEvent(owner, newRunEvent(run, endLost, result.EndpointGone, 0))
		return
	}
	if _, found := s.tracker.Reservation(run); !found {
		return
	}
	if s.tracker.BeginStop(run) {
		r.counters.stops.Add(r.baseCtx, 1)
		go r.stopOnEndpoint(s, run)
	}
}
