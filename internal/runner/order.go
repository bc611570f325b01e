package runner

import (
	"slices"
	"time"

	"go.uber.org/zap"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/policy"
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
	// requiredLabel is a label that the endpoint must have, empty if none is required.
	requiredLabel string
	// level is the priority level of the job's route; 0 comes first.
	level int
	// contained is set if the job may crash the endpoint.
	contained bool
	// overflow is set if the run is to start at an endpoint that is suspended
	// because it is slow. The order is not queued.
	overflow bool
	// startedAt is when the run was counted in the started work of its level.
	startedAt time.Duration
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
		estimate:      max(decodeDuration(o.GetEstimateUs()), 0),
		route:         o.GetRoute(),
		level:         int(min(o.GetPriority(), policy.MaxLevels-1)),
		contained:     o.GetContained(),
		overflow:      o.GetOverflow(),
		requiredLabel: o.GetRequiredLabel(),
		waitDeadline:  now + decodeDuration(o.GetPatienceUs()),
		startDeadline: now + decodeDuration(o.GetSlackUs()),
	}
}

// maxOrderDuration bounds the durations in an order, so that times that are computed
// from them don't overflow. It exceeds any run time.
const maxOrderDuration = 30 * 24 * time.Hour

// decodeDuration returns a duration from a message in microseconds, within
// maxOrderDuration.
func decodeDuration(us int64) time.Duration {
	const limit = int64(maxOrderDuration / time.Microsecond)
	return time.Duration(min(max(us, -limit), limit)) * time.Microsecond
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
	case o.requiredLabel != "" && !slices.Contains(s.endpoint.Labels, o.requiredLabel):
		return result.CannotRun
	case p.OutOfService(s.endpoint.FailureDomain):
		return result.OutOfService
	case !o.resources.Fits(s.tracker.Capacity()):
		return result.CannotRun
	}
	return result.OK
}

// hasCapacity reports whether the order's run may start now: the endpoint has
// responded and told its capacity recently, its lease is extended, its health allows the
// run, it has free capacity, and no contained run of another job if the order is contained.
// The policy that allows the order must be recent.
func (r *Runner) hasCapacity(o *order, now time.Duration) bool {
	s := r.session
	if now-s.lastResponseAt > maxResponseAge || !r.capacityKnown(s, now) || r.mustLapse(s, now) || !s.healthAllows(o, now) {
		return false
	}
	if !r.mayActOnPolicy(now) {
		return false
	}
	if o.contained && s.tracker.HasContained(o.job()) {
		return false
	}
	return s.tracker.Fits(o.resources)
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
	if o.overflow {
		r.handleOverflow(o, now)
		return
	}
	if len(r.queue) == 0 && r.hasCapacity(o, now) {
		r.startRun(o, now)
		return
	}
	if o.waitDeadline <= now && !r.precedesQueue(o) {
		r.refuse(o, result.NoFreeSlot)
		return
	}
	// An order that may not wait is started or refused now.
	r.queue = append(r.queue, o)
	r.refuseAfterWait(o, now)
	r.startQueued(now)
}

// refuse reports that an order's run has not started and will not.
func (r *Runner) refuse(o *order, code result.Code) {
	r.counters.refusals.Add(r.baseCtx, 1)
	r.log.Debug("order: refused", zap.String("task", o.runID.Task), zap.Uint64("attempt", o.runID.Attempt),
		zap.String("dispatcher", o.owner), zap.Stringer("code", code))
	r.sendEvent(o.owner, newRunEvent(o.runID, endRefused, code, 0))
}
