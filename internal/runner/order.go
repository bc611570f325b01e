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

// order is a dispatcher's wish for one run.
type order struct {
	owner    string
	run      workload.RunID
	service  string
	spec     string
	need     workload.Resources
	estimate time.Duration
	// waitDeadline is when the order gives up waiting for room.
	waitDeadline time.Duration
	// startDeadline is when it has to start to be in time.
	startDeadline time.Duration
}

func newOrder(owner string, o *pb.RunOrder, now time.Duration) *order {
	return &order{
		owner:         owner,
		run:           runref.Decode(o.GetRun()),
		service:       o.GetService(),
		spec:          o.GetSpec(),
		need:          workload.Resources{MilliCPU: int64(o.GetCpuMilli()), MemoryMB: int64(o.GetMemoryMb()), GPUs: int64(o.GetGpus())},
		estimate:      time.Duration(o.GetEstimateUs()) * time.Microsecond,
		waitDeadline:  now + time.Duration(o.GetPatienceUs())*time.Microsecond,
		startDeadline: now + time.Duration(o.GetSlackUs())*time.Microsecond,
	}
}

// compareUrgency puts orders that can still be in time first, and among them the one
// that is due first.
func (o *order) compareUrgency(p *order, now time.Duration) int {
	late, otherLate := o.startDeadline < now, p.startDeadline < now
	if late != otherLate {
		if late {
			return 1
		}
		return -1
	}
	return cmp.Compare(o.startDeadline, p.startDeadline)
}

// checkOrder tells whether the policy and the endpoint's state allow the order.
func (r *Runner) checkOrder(o *order) result.Code {
	p := r.policy.Current()
	s := r.session
	switch {
	case p == nil:
		return result.NoPolicy
	case r.draining:
		return result.Leaving
	case s == nil || s.down || s.lastAnswerAt == 0:
		return result.NoEndpoint
	case s.endpoint.Draining:
		return result.Leaving
	case s.endpoint.Service != o.service || !p.Config.Serves(o.service):
		return result.CannotRun
	case p.OutOfService(s.endpoint.FailureDomain):
		return result.OutOfService
	case !o.need.Fits(s.account.Capacity()):
		return result.CannotRun
	}
	return result.OK
}

// hasCapacity tells whether the order may be carried out now.
func (r *Runner) hasCapacity(o *order, now time.Duration) bool {
	s := r.session
	if now-s.lastAnswerAt > maxAnswerAge || s.health.Suspended(now) {
		return false
	}
	if limit := s.health.MaxRuns(); limit > 0 && s.account.RunCount() >= limit {
		return false
	}
	return s.account.Fits(o.need)
}

// handleOrder starts an order, lets it wait for room, or refuses it. It is called
// with the lock held.
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

// startRun takes room for the order and sends it to the endpoint.
func (r *Runner) startRun(o *order, now time.Duration) {
	s := r.session
	added := s.account.Reserve(capacity.Reservation{Run: o.run, Owner: o.owner, Resources: o.need, Estimate: o.estimate}, now)
	if !added {
		r.refuse(o, result.AlreadyStarted)
		return
	}
	r.counters.starts.Add(r.baseCtx, 1)
	start := workload.StartRequest{Run: o.run, Spec: o.spec, LeaseEndMS: r.nextLeaseEnd(s, now), FencingToken: s.fencingToken}
	go r.startOnEndpoint(s, o, start)
}

// startQueued carries out waiting orders that have room now, the most urgent
// first, and refuses those that have waited long enough.
func (r *Runner) startQueued(now time.Duration) {
	if len(r.queue) == 0 {
		return
	}
	slices.SortStableFunc(r.queue, func(a, b *order) int { return a.compareUrgency(b, now) })
	var kept []*order
	waiting := r.queue
	r.queue = nil
	for _, o := range waiting {
		code := r.checkOrder(o)
		switch {
		case code != result.OK:
			r.refuse(o, code)
		case r.hasCapacity(o, now):
			r.startRun(o, now)
		case o.waitDeadline <= now:
			r.refuse(o, result.NoFreeSlot)
		default:
			kept = append(kept, o)
		}
	}
	r.queue = append(kept, r.queue...)
}

// refuseQueued refuses every waiting order that is no longer allowed.
func (r *Runner) refuseQueued() {
	waiting := r.queue
	r.queue = nil
	for _, o := range waiting {
		if code := r.checkOrder(o); code != result.OK {
			r.refuse(o, code)
			continue
		}
		r.queue = append(r.queue, o)
	}
}

// dequeue takes a waiting order out; it returns false if none waits.
func (r *Runner) dequeue(run workload.RunID) bool {
	n := len(r.queue)
	r.queue = slices.DeleteFunc(r.queue, func(o *order) bool { return o.run == run })
	return len(r.queue) < n
}

func (r *Runner) refuse(o *order, code result.Code) {
	r.counters.refusals.Add(r.baseCtx, 1)
	r.log.Debug("order: refused", zap.String("task", o.run.Task), zap.Uint64("attempt", o.run.Attempt),
		zap.String("dispatcher", o.owner), zap.Stringer("code", code))
	r.sendEvent(o.owner, newRunEvent(o.run, endRefused, code, 0))
}

// startOnEndpoint sends a start and takes its answer over.
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
		s.account.StartAccepted(o.run, now)
	case result.OutcomeUnknown, result.EndpointUnreachable, result.EndpointGone:
		if s.account.MarkUnanswered(o.run) {
			go r.resolveUnansweredStart(s, o.run)
		}
	default:
		r.log.Info("order: start refused by the endpoint", zap.String("task", o.run.Task),
			zap.Uint64("attempt", o.run.Attempt), zap.Stringer("code", code))
		if code == result.StaleFence && s.fencingToken == start.FencingToken {
			s.fencingToken += fencingTokenStep
			r.fencingToken = max(r.fencingToken, s.fencingToken)
		}
		if code == result.Overloaded {
			task, _ := workload.ParseTaskID(o.run.Task)
			s.health.RunFailed(task.Job, now)
		}
		s.account.StartRefused(o.run, now)
		r.sendEvent(o.owner, newRunEvent(o.run, endRefused, code, 0))
		r.startQueued(now)
	}
	r.markStateChanged()
}

// sendStartWithRetry sends a start until it is answered. The endpoint takes a run that
// is there already for what it is: sending it again starts nothing twice. A
// refusal after a try without an answer says nothing of that try.
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
		unanswered = result.Wrap(result.OutcomeUnknown, err, "a try had no answer")
		r.log.Info("order: start without an answer", zap.String("task", start.Run.Task), zap.Uint64("attempt", start.Run.Attempt), zap.Error(err))
	}
	return unanswered
}

// resolveUnansweredStart finds out what became of a start without an answer: a run that the
// endpoint lists goes on, any other is stopped, so that it can't appear later.
func (r *Runner) resolveUnansweredStart(s *session, run workload.RunID) {
	r.renewNow(s)
	r.mu.Lock()
	e, found := s.account.Reservation(run)
	doubtful := found && e.State == capacity.StartUnanswered && s.account.BeginStop(run)
	r.mu.Unlock()
	if doubtful {
		r.stopOnEndpoint(s, run)
		r.renewNow(s)
	}
}

// stopOnEndpoint orders a stop until it is acknowledged or the run is gone.
func (r *Runner) stopOnEndpoint(s *session, run workload.RunID) {
	for {
		r.mu.Lock()
		fence, current := s.fencingToken, r.session == s && !s.down
		r.mu.Unlock()
		if !current {
			return
		}
		ctx, cancel := context.WithTimeout(r.baseCtx, controlTimeout)
		err := s.client.Stop(ctx, run, fence)
		cancel()
		if err == nil {
			r.mu.Lock()
			s.account.StopAcked(run, clock.SinceBoot())
			r.mu.Unlock()
			return
		}
		r.log.Info("order: stop without effect", zap.String("task", run.Task), zap.Error(err))
		if !clock.Sleep(r.baseCtx, retryDelay) {
			return
		}
		r.mu.Lock()
		_, found := s.account.Reservation(run)
		r.mu.Unlock()
		if !found {
			return
		}
	}
}

// stopRun carries out a dispatcher's wish to end a run.
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
	if _, found := s.account.Reservation(run); !found {
		return
	}
	if s.account.BeginStop(run) {
		r.counters.stops.Add(r.baseCtx, 1)
		go r.stopOnEndpoint(s, run)
	}
}
