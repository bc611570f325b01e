package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/lease"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/room"
	"github.com/pomelosill/pomelosill/internal/work"
	"github.com/pomelosill/pomelosill/platform"
)

const (
	// renewWait is how long the endpoint may wait for an end before it
	// answers a renewal.
	renewWait = 100 * time.Millisecond
	// renewTimeout is the time for the answer beside the wait.
	renewTimeout = 50 * time.Millisecond
	// renewPause is the pause after a call that failed.
	renewPause = 10 * time.Millisecond
	// startTimeout is the time for the answer to a start, startTries how often
	// it is sent.
	startTimeout = 25 * time.Millisecond
	startTries   = 3
	// orderTimeout is the time for the answer to a stop or a look.
	orderTimeout = 30 * time.Millisecond
	// reachable is how old the last answer of the endpoint may be for a
	// start to be ordered.
	reachable = 300 * time.Millisecond
	// lapseMargin is added to the time after which a lease has surely run
	// out.
	lapseMargin = 30 * time.Millisecond
	// fenceStep is added to a fencing token that the endpoint holds to be
	// too low.
	fenceStep = 60_000
	// measuredAnew is the speed below which an endpoint that has rested is
	// measured anew.
	measuredAnew = 0.5
)

// session is one life of the endpoint. Its fields belong to the runner's lock.
type session struct {
	endpoint *work.Endpoint
	client   *platform.Endpoint
	account  *room.Account
	health   *room.Health
	fence    int64
	cancel   context.CancelFunc
	// clockMS is the endpoint's clock at clockAt.
	clockMS int64
	clockAt time.Duration
	// answeredAt is when the endpoint last answered, zero before.
	answeredAt time.Duration
	// leaseEnd is the latest end of the lease that was asked for, in the
	// endpoint's milliseconds.
	leaseEnd int64
	// lost is set while the endpoint is out of reach and its lease has run
	// out.
	lost bool
}

// beginSession starts the session of a new life and ends the one before.
func (r *Runner) beginSession(ep *work.Endpoint) {
	now := clock.Boot()
	if r.session != nil {
		r.endSession(r.session, now, "replaced")
	}
	ctx, cancel := context.WithCancel(r.base)
	r.fence++
	s := &session{
		endpoint: ep,
		client:   platform.NewEndpoint(r.network, ep.Address, ep.ID),
		account:  room.New(ep.Capacity),
		health:   room.NewHealth(),
		fence:    r.fence,
		cancel:   cancel,
		clockMS:  ep.Clock,
		clockAt:  now,
	}
	r.session = s
	r.log.Info("endpoint: announced", zap.String("life", ep.Life()), zap.String("address", ep.Address),
		zap.String("service", ep.Service), zap.Int64("cpu", ep.Capacity.CPU), zap.Int64("fence", s.fence))
	go r.renewLoop(ctx, s)
}

// reborn goes on with a new life of the endpoint under the same id. Orders that
// were sent since it began may have reached it, so no run is given up before
// the next look tells which ones it has. A higher token voids older orders.
func (r *Runner) reborn(s *session, ep *work.Endpoint, now time.Duration) {
	r.log.Warn("endpoint: reborn", zap.String("life", ep.Life()), zap.String("before", s.endpoint.Life()), zap.Int("running", s.account.Runs()))
	s.endpoint = ep
	s.account.Reborn()
	r.fence = max(r.fence, s.fence) + 1
	s.fence = r.fence
	s.leaseEnd, s.clockMS, s.clockAt = 0, ep.Clock, now
}

// endSession gives up a session whose process is gone.
func (r *Runner) endSession(s *session, now time.Duration, why string) {
	s.cancel()
	s.client.Close()
	r.log.Info("endpoint: session ended", zap.String("life", s.endpoint.Life()), zap.String("reason", why),
		zap.Int("lost", s.account.Runs()))
	r.lose(s, now, result.EndpointGone)
}

// lose reports every run of the session as lost.
func (r *Runner) lose(s *session, now time.Duration, code result.Code) {
	for _, g := range s.account.Clear(now) {
		r.report(g, code)
	}
	s.account.Reopen()
}

// renewLoop keeps the lease alive and takes over what the endpoint lists.
func (r *Runner) renewLoop(ctx context.Context, s *session) {
	wait := time.Duration(0)
	for ctx.Err() == nil {
		asked := clock.Boot()
		callCtx, cancel := context.WithTimeout(ctx, wait+renewTimeout)
		look, err := s.client.Renew(callCtx, r.renewal(s, asked, wait))
		cancel()
		if ctx.Err() != nil {
			return
		}
		r.mu.Lock()
		r.renewed(s, look, err, asked)
		r.mu.Unlock()
		// After a renewal that failed the next must not wait: the lease runs.
		wait = renewWait
		if err != nil {
			wait = 0
			clock.Sleep(ctx, renewPause)
		}
	}
}

// lookNow asks the endpoint for its runs beside the renewals.
func (r *Runner) lookNow(s *session) {
	asked := clock.Boot()
	renewal := r.renewal(s, asked, 0)
	ctx, cancel := context.WithTimeout(r.base, orderTimeout)
	look, err := s.client.Look(ctx, renewal)
	cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.renewed(s, look, err, asked)
}

func (r *Runner) renewal(s *session, now, wait time.Duration) work.Renewal {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !s.account.Open() {
		wait = 0
	}
	return work.Renewal{LeaseEnd: r.nextLeaseEnd(s, now), Fence: s.fence, Seen: s.account.Seen(), Wait: wait}
}

// nextLeaseEnd is the lease's end to ask for. While the endpoint does not
// answer the lease is not prolonged, so that it runs out at a known time.
func (r *Runner) nextLeaseEnd(s *session, now time.Duration) int64 {
	if s.leaseEnd != 0 && now-s.answeredAt > reachable {
		return s.leaseEnd
	}
	end := s.clockMS + (now - s.clockAt + lease.Endpoint(r.settings.LeaseMax.Std())).Milliseconds()
	s.leaseEnd = max(end, s.leaseEnd)
	return s.leaseEnd
}

// renewed takes over the answer to a renewal. It is called with the lock held.
func (r *Runner) renewed(s *session, look work.Look, err error, asked time.Duration) {
	if r.session != s {
		return
	}
	now := clock.Boot()
	switch result.CodeOf(err) {
	case result.OK:
		r.looked(s, look, asked, now)
	case result.StaleFence:
		s.fence += fenceStep
		r.fence = max(r.fence, s.fence)
		r.log.Warn("endpoint: fencing token too low", zap.Int64("next", s.fence))
	case result.EndpointUnreachable, result.EndpointGone:
		if !s.lost {
			s.lost = true
			r.log.Warn("endpoint: process gone", zap.String("life", s.endpoint.Life()), zap.Error(err))
			r.lose(s, now, result.EndpointGone)
		}
	default:
		r.log.Debug("endpoint: no answer", zap.String("life", s.endpoint.Life()), zap.Error(err))
	}
	r.publish()
}

func (r *Runner) looked(s *session, look work.Look, asked, now time.Duration) {
	if look.Born != 0 && look.Born != s.endpoint.Born {
		if look.Born < s.endpoint.Born {
			return
		}
		next := *s.endpoint
		next.Born, next.Clock = look.Born, look.Clock
		r.reborn(s, &next, now)
	}
	if s.lost {
		// Orders from before could still be carried out; a higher token
		// makes the endpoint refuse them. The next answer counts.
		s.lost = false
		r.fence = max(r.fence, s.fence) + 1
		s.fence = r.fence
		s.answeredAt, s.clockMS, s.clockAt = now, look.Clock, now
		r.log.Info("endpoint: reached again", zap.String("life", s.endpoint.Life()), zap.Int64("fence", s.fence))
		return
	}
	s.answeredAt, s.clockMS, s.clockAt = now, look.Clock, now
	for _, g := range s.account.Look(look, asked, now) {
		r.judge(s, g, now)
		r.report(g, result.OK)
	}
	r.startWaiting(now)
}

// judge lets the endpoint's health follow from how a run ended.
func (r *Runner) judge(s *session, g room.Gone, now time.Duration) {
	switch g.End {
	case work.EndDone:
		s.health.Done()
	case work.EndFailed:
		task, _ := work.ParseTask(g.Entry.Run.Task)
		if s.health.Failed(task.Job, now) {
			r.log.Warn("endpoint: suspected after failures", zap.String("life", s.endpoint.Life()))
		}
	}
}

// checkLease gives up the runs of an endpoint that is out of reach once its
// lease has surely run out.
func (r *Runner) checkLease(s *session, now time.Duration) {
	if s.lost || s.answeredAt == 0 || now-s.answeredAt < reachable {
		return
	}
	left := time.Duration(s.leaseEnd-s.clockMS) * time.Millisecond
	if now < s.clockAt+lease.Lapse(left)+lapseMargin {
		return
	}
	s.lost = true
	r.log.Warn("endpoint: out of reach, lease lapsed", zap.String("life", s.endpoint.Life()),
		zap.Duration("silent", now-s.answeredAt), zap.Int("lost", s.account.Runs()))
	r.lose(s, now, result.EndpointUnreachable)
}

// checkSpeed rests an endpoint that is too slow, and measures one anew that has
// rested.
func (r *Runner) checkSpeed(s *session, now time.Duration) {
	if s.account.Slow() && s.health.Slow(now) {
		r.log.Warn("endpoint: suspected, too slow", zap.String("life", s.endpoint.Life()),
			zap.Float64("speed", s.account.Speed()), zap.Int("running", s.account.Runs()))
	}
	rested := !s.health.Resting(now) && s.health.MaxRuns() > 0
	if rested && s.account.Runs() == 0 && s.account.Speed() < measuredAnew {
		s.account.ForgetSpeed()
	}
}

// checkStalled reports runs that stand still.
func (r *Runner) checkStalled(s *session, now time.Duration) {
	for _, run := range s.account.Stalled(now) {
		e, _ := s.account.Get(run)
		r.log.Info("run: stalled", zap.String("task", run.Task), zap.Uint64("attempt", run.Attempt),
			zap.Duration("age", now-e.SentAt), zap.Duration("estimate", e.Estimate))
		r.tell(e.Owner, runEvent(run, endStalled, result.OK, now-e.SentAt))
	}
}

// stopStrangers stops runs that an earlier process of this runner ordered.
func (r *Runner) stopStrangers(s *session) {
	if s.lost {
		return
	}
	for _, run := range s.account.Strangers() {
		go r.orderStop(s, run)
	}
}
