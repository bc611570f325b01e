package runner

import (
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/capacity"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/workload"
)

// healthAllows reports whether the endpoint's health allows the order's run.
// Overflow runs start only while the endpoint is suspended for slowness alone: at
// any other time they would take the capacity of other work. They don't count as
// probes, so that an endpoint that is fast again is probed beside them.
func (s *session) healthAllows(o *order, now time.Duration) bool {
	if o.overflow {
		return s.health.SuspendedAsSlow(now)
	}
	if s.health.Suspended(now) {
		return false
	}
	limit := s.health.MaxRuns()
	return limit == 0 || s.tracker.RunCount()-s.tracker.OverflowCount() < limit
}

// handleOverflow starts an overflow order or refuses it. The orders that wait for
// capacity come first. The caller holds r.mu.
func (r *Runner) handleOverflow(o *order, now time.Duration) {
	needed := *o
	for _, q := range r.queue {
		needed.resources = needed.resources.Plus(q.resources)
	}
	if !r.hasCapacity(&needed, now) {
		r.refuse(o, result.NoFreeSlot)
		return
	}
	r.counters.overflow.Add(r.baseCtx, 1)
	r.startRun(o, now)
}

// runFailed updates the endpoint's health by a run that failed, or was refused for
// an unknown reason. It reports whether this suspends the endpoint.
func (s *session) runFailed(job string, overflow bool, now time.Duration) bool {
	if overflow {
		return s.health.OverflowFailed(job, now)
	}
	return s.health.RunFailed(job, now)
}

// updateHealth updates the endpoint's health by how a run ended.
func (r *Runner) updateHealth(s *session, released capacity.ReleasedRun, now time.Duration) {
	res := &released.Reservation
	switch {
	case released.Outcome == workload.OutcomeDone && res.Overflow:
		s.health.OverflowDone()
	case released.Outcome == workload.OutcomeDone:
		s.health.RunDone()
	case released.Outcome == workload.OutcomeFailed:
		task, _ := workload.ParseTaskID(res.Run.Task)
		if s.runFailed(task.Job, res.Overflow, now) {
			r.log.Warn("endpoint: suspended after failed runs", zap.String("life", s.endpoint.Incarnation()))
		}
	}
}
