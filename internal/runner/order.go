package runner

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/room"
	"github.com/pomelosill/pomelosill/internal/runref"
	"github.com/pomelosill/pomelosill/internal/work"
)

// order is a dispatcher's wish for one run.
type order struct {
	owner    string
	run      work.Run
	service  string
	spec     string
	need     work.Resources
	estimate time.Duration
	// until is when the order gives up waiting for room.
	until time.Duration
	// due is when it has to start to be in time.
	due time.Duration
}

func newOrder(owner string, o *pb.RunOrder, now time.Duration) *order {
	return &order{
		owner:    owner,
		run:      runref.Decode(o.GetRun()),
		service:  o.GetService(),
		spec:     o.GetSpec(),
		need:     work.Resources{CPU: int64(o.GetCpuMilli()), MemoryMB: int64(o.GetMemoryMb()), GPUs: int64(o.GetGpus())},
		estimate: time.Duration(o.GetEstimateUs()) * time.Microsecond,
		until:    now + time.Duration(o.GetPatienceUs())*time.Microsecond,
		due:      now + time.Duration(o.GetSlackUs())*time.Microsecond,
	}
}

// compare puts orders that can still be in time first, and among them the one
// that is due first.
func (o *order) compare(p *order, now time.Duration) int {
	late, otherLate := o.due < now, p.due < now
	if late != otherLate {
		if late {
			return 1
		}
		return -1
	}
	return cmp.Compare(o.due, p.due)
}

// allowed tells whether the policy and the endpoint's state allow the order.
func (r *Runner) allowed(o *order) result.Code {
	p := r.policy.State()
	s := r.session
	switch {
	case p == nil:
		return result.NoPolicy
	case r.leaving:
		return result.Leaving
	case s == nil || s.lost || s.answeredAt == 0:
		return result.NoEndpoint
	case s.endpoint.Leaving:
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

// hasRoom tells whether the order may be carried out now.
func (r *Runner) hasRoom(o *order, now time.Duration) bool {
	s := r.session
	if now-s.answeredAt > reachable || s.health.Resting(now) {
		return false
	}
	if limit := s.health.MaxRuns(); limit > 0 && s.account.Runs() >= limit {
		return false
	}
	return s.account.Fits(o.need)
}

// accept starts an order, lets it wait for room, or refuses it. It is called
// with the lock held.
func (r *Runner) accept(o *order, now time.Duration) {
	if code := r.allowed(o); code != result.OK {
		r.refuse(o, code)
		return
	}
	if len(r.waiting) == 0 && r.hasRoom(o, now) {
		r.begin(o, now)
		return
	}
	if o.until <= now {
		r.refuse(o, result.NoFreeSlot)
		return
	}
	r.waiting = append(r.waiting, o)
	r.startWaiting(now)
}

// begin takes room for the order and sends it to the endpoint.
func (r *Runner) begin(o *order, now time.Duration) {
	s := r.session
	added := s.account.Add(room.Entry{Run: o.run, Owner: o.owner, Need: o.need, Estimate: o.estimate}, now)
	if !added {
		r.refuse(o, result.AlreadyStarted)
		return
	}
	r.counters.starts.Add(r.base, 1)
	start := work.Start{Run: o.run, Spec: o.spec, LeaseEnd: r.nextLeaseEnd(s, now), Fence: s.fence}
	go r.orderStart(s, o, start)
}

// startWaiting carries out waiting orders that have room now, the most urgent
// first, and refuses those that have waited long enough.
func (r *Runner) startWaiting(now time.Duration) {
	if len(r.waiting) == 0 {
		return
	}
	slices.SortStableFunc(r.waiting, func(a, b *order) int { return a.compare(b, now) })
	var kept []*order
	waiting := r.waiting
	r.waiting = nil
	for _, o := range waiting {
		code := r.allowed(o)
		switch {
		case code != result.OK:
			r.refuse(o, code)
		case r.hasRoom(o, now):
			r.begin(o, now)
		case o.until <= now:
			r.refuse(o, result.NoFreeSlot)
		default:
			kept = append(kept, o)
		}
	}
	r.waiting = append(kept, r.waiting...)
}

// refuseWaiting refuses every waiting order that is no longer allowed.
func (r *Runner) refuseWaiting() {
	waiting := r.waiting
	r.waiting = nil
	for _, o := range waiting {
		if code := r.allowed(o); code != result.OK {
			r.refuse(o, code)
			continue
		}
		r.waiting = append(r.waiting, o)
	}
}

// dropWaiting takes a waiting order out; it returns false if none waits.
func (r *Runner) dropWaiting(run work.Run) bool {
	n := len(r.waiting)
	r.waiting = slices.DeleteFunc(r.waiting, func(o *order) bool { return o.run == run })
	return len(r.waiting) < n
}

func (r *Runner) refuse(o *order, code result.Code) {
	r.counters.refusals.Add(r.base, 1)
	r.log.Debug("order: refused", zap.String("task", o.run.Task), zap.Uint64("attempt", o.run.Attempt),
		zap.String("dispatcher", o.owner), zap.Stringer("code", code))
	r.tell(o.owner, runEvent(o.run, endRefused, code, 0))
}

// orderStart sends a start and takes its answer over.
func (r *Runner) orderStart(s *session, o *order, start work.Start) {
	err := r.sendStart(s, start)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.session != s {
		return
	}
	now := clock.Boot()
	code := result.CodeOf(err)
	switch code {
	case result.OK:
		s.account.Accepted(o.run, now)
	case result.OutcomeUnknown, result.EndpointUnreachable, result.EndpointGone:
		if s.account.Unanswered(o.run) {
			go r.resolve(s, o.run)
		}
	default:
		r.log.Info("order: start refused by the endpoint", zap.String("task", o.run.Task),
			zap.Uint64("attempt", o.run.Attempt), zap.Stringer("code", code))
		if code == result.StaleFence && s.fence == start.Fence {
			s.fence += fenceStep
			r.fence = max(r.fence, s.fence)
		}
		if code == result.Overloaded {
			task, _ := work.ParseTask(o.run.Task)
			s.health.Failed(task.Job, now)
		}
		s.account.Refused(o.run, now)
		r.tell(o.owner, runEvent(o.run, endRefused, code, 0))
		r.startWaiting(now)
	}
	r.publish()
}

// sendStart sends a start until it is answered. The endpoint takes a run that
// is there already for what it is: sending it again starts nothing twice. A
// refusal after a try without an answer says nothing of that try.
func (r *Runner) sendStart(s *session, start work.Start) error {
	var unanswered error
	for range startTries {
		ctx, cancel := context.WithTimeout(r.base, startTimeout)
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

// resolve finds out what became of a start without an answer: a run that the
// endpoint lists goes on, any other is stopped, so that it can't appear later.
func (r *Runner) resolve(s *session, run work.Run) {
	r.lookNow(s)
	r.mu.Lock()
	e, found := s.account.Get(run)
	doubtful := found && e.State == room.Doubtful && s.account.Stop(run)
	r.mu.Unlock()
	if doubtful {
		r.orderStop(s, run)
		r.lookNow(s)
	}
}

// orderStop orders a stop until it is acknowledged or the run is gone.
func (r *Runner) orderStop(s *session, run work.Run) {
	for {
		r.mu.Lock()
		fence, current := s.fence, r.session == s && !s.lost
		r.mu.Unlock()
		if !current {
			return
		}
		ctx, cancel := context.WithTimeout(r.base, orderTimeout)
		err := s.client.Stop(ctx, run, fence)
		cancel()
		if err == nil {
			r.mu.Lock()
			s.account.StopAcked(run, clock.Boot())
			r.mu.Unlock()
			return
		}
		r.log.Info("order: stop without effect", zap.String("task", run.Task), zap.Error(err))
		if !clock.Sleep(r.base, renewPause) {
			return
		}
		r.mu.Lock()
		_, found := s.account.Get(run)
		r.mu.Unlock()
		if !found {
			return
		}
	}
}

// stop carries out a dispatcher's wish to end a run.
func (r *Runner) stop(owner string, run work.Run) {
	if r.dropWaiting(run) {
		r.tell(owner, runEvent(run, endRefused, result.Cancelled, 0))
		return
	}
	s := r.session
	if s == nil {
		r.tell(owner, runEvent(run, endLost, result.EndpointGone, 0))
		return
	}
	if _, found := s.account.Get(run); !found {
		return
	}
	if s.account.Stop(run) {
		r.counters.stops.Add(r.base, 1)
		go r.orderStop(s, run)
	}
}
