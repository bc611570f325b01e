package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pomelosill/pomelosill/internal/admission"
	"github.com/pomelosill/pomelosill/internal/directory"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/lease"
	"github.com/pomelosill/pomelosill/internal/outbox"
	"github.com/pomelosill/pomelosill/internal/placement"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/workload"
)

const (
	// placementTimeout is the time without a response after which a runner gets
	// no more work, and connectionTimeout that after which the connection is
	// closed. Both are longer while the runner has none of the dispatcher's
	// runs, because it then sends fewer heartbeats.
	placementTimeout      = 220 * time.Millisecond
	connectionTimeout     = 400 * time.Millisecond
	idlePlacementTimeout  = lease.IdleHeartbeatInterval + 120*time.Millisecond
	idleConnectionTimeout = 3 * lease.IdleHeartbeatInterval
	// echoInterval is the minimum time between two echoes of heartbeats to a
	// runner that has the dispatcher's runs, and idleEchoInterval to any other.
	echoInterval     = 80 * time.Millisecond
	idleEchoInterval = 900 * time.Millisecond
)

// runner is a dispatcher's view of one runner. The dispatcher's lock guards its
// fields.
type runner struct {
	node directory.Node
	// hash is that of the runner's name.
	hash uint64
	// unlinked is set once the runner is no longer assigned to the dispatcher.
	unlinked bool
	// incarnation is that of the runner's process, empty before the first
	// connection.
	incarnation string
	state       *pb.RunnerState
	// stateAt is when the state was received.
	stateAt time.Duration
	// outbox is the outbox of the current connection, nil while there is none.
	outbox *outbox.Outbox[*pb.DispatcherFrame]
	// hasInheritedRuns is set while the runs were requested from an earlier
	// process of the runner and may not have been stopped yet.
	hasInheritedRuns bool
	// address is that of the last connection. formerUntil is until when runs that were
	// requested from an earlier process at another address may continue, zero if there
	// are none.
	address     string
	formerUntil time.Duration
	// cancel closes the current connection.
	cancel context.CancelCauseFunc
	// lastFrameAt is when the last frame was received, usedSince when a run was
	// requested while there was none, and lastEchoAt when a heartbeat was last
	// echoed.
	lastFrameAt time.Duration
	usedSince   time.Duration
	lastEchoAt  time.Duration
	// heartbeatSentNs is the runner's clock in its last heartbeat, in
	// nanoseconds. heartbeatReceivedAt is when that was received: the
	// dispatcher's lease at the runner counts from then at the latest.
	heartbeatSentNs     int64
	heartbeatReceivedAt time.Duration
	runs                map[workload.RunID]*task
	// stopping holds the runs whose stop was requested, including those of
	// answered jobs.
	stopping map[workload.RunID]bool
	// unaccounted holds the resources of requested starts that the runner's
	// state doesn't include yet, by number.
	unaccounted map[uint64]workload.Resources
	// unaccountedSince is when the first of them was requested, or when the
	// runner's state last included an earlier one.
	unaccountedSince time.Duration
	lastOrderNumber  uint64
	// policyRevision is the runner's policy revision in its last heartbeat.
	policyRevision uint64
	// toldConfirmedAt is the last confirmation of the policy that the runner was told.
	toldConfirmedAt time.Duration
	// connectionCount counts the connections that were opened. It is read
	// without the lock.
	connectionCount atomic.Int64
}

func newRunner(n directory.Node) *runner {
	return &runner{
		node: n, hash: directory.HashName(n.Name), runs: map[workload.RunID]*task{}, stopping: map[workload.RunID]bool{},
		unaccounted: map[uint64]workload.Resources{}, state: &pb.RunnerState{},
	}
}

// inUse reports whether the runner has runs of the dispatcher.
func (r *runner) inUse() bool { return len(r.runs) > 0 }

// silence returns how long the runner has not responded: since its last frame,
// or since it came into use and had to send more frequent heartbeats. If frames
// arrive but don't account for requested starts, those may not reach the runner:
// a network can fail in one direction.
func (r *runner) silence(now time.Duration) time.Duration {
	if !r.inUse() {
		return now - r.lastFrameAt
	}
	silence := now - max(r.lastFrameAt, r.usedSince)
	if len(r.unaccounted) > 0 {
		silence = max(silence, now-r.unaccountedSince)
	}
	return silence
}

// usable reports whether the runner may get work.
func (r *runner) usable(now time.Duration) bool {
	return r.state.GetReady() && r.formerUntil == 0 && r.responsive(now)
}

// responsive reports whether the runner is linked, connected and not silent.
func (r *runner) responsive(now time.Duration) bool {
	timeout := idlePlacementTimeout
	if r.inUse() {
		timeout = placementTimeout
	}
	return r.outbox != nil && !r.unlinked && r.silence(now) < timeout
}

// takesOverflow reports whether the runner may get overflow orders: its endpoint is
// suspended for slowness alone, and no run of an earlier process of the runner may
// use capacity there.
func (r *runner) takesOverflow(now time.Duration) bool {
	return r.state.GetSlow() && !r.state.GetReady() && !r.hasInheritedRuns && r.responsive(now)
}

// closeIfSilent closes the connection if the runner has not responded for too
// long.
func (r *runner) closeIfSilent(now time.Duration) {
	timeout := idleConnectionTimeout
	if r.inUse() {
		timeout = connectionTimeout
	}
	if r.outbox != nil && r.silence(now) > timeout {
		r.cancel(errPeerSilent)
	}
}

// echoDue reports whether the last heartbeat must be echoed: while runs depend
// on the dispatcher's lease, when one of the two processes has an older policy,
// and from time to time on an idle connection.
func (r *runner) echoDue(policyRevision uint64, now time.Duration) bool {
	interval := idleEchoInterval
	if r.inUse() {
		interval = echoInterval
	}
	return r.policyRevision != policyRevision || now-r.lastEchoAt >= interval
}

// reserve reserves resources for a start request until the runner's state
// includes it, and returns the request's number.
func (r *runner) reserve(resources workload.Resources, now time.Duration) uint64 {
	if len(r.unaccounted) == 0 {
		r.unaccountedSince = now
	}
	r.lastOrderNumber++
	r.unaccounted[r.lastOrderNumber] = resources
	return r.lastOrderNumber
}

// account removes the starts that the runner's state includes.
func (r *runner) account(handled uint64, now time.Duration) {
	for n := range r.unaccounted {
		if n <= handled {
			delete(r.unaccounted, n)
			r.unaccountedSince = now
		}
	}
}

func (r *runner) capacity() workload.Resources {
	return workload.DecodeResources(r.state.GetCapacityCpu(), r.state.GetCapacityMemory(), r.state.GetCapacityGpus())
}

// free returns the unused capacity, as far as the dispatcher knows.
func (r *runner) free() workload.Resources {
	free := r.capacity().Minus(workload.DecodeResources(r.state.GetUsedCpu(), r.state.GetUsedMemory(), r.state.GetUsedGpus()))
	for _, resources := range r.unaccounted {
		free = free.Minus(resources)
	}
	return free
}

// percent converts percent to a fraction.
const percent = 100.0

// measuredSpeed and ratedSpeed return the endpoint's present speed and its usual
// speed relative to the estimates. The usual speed is zero while it is unknown.
func (r *runner) measuredSpeed() float64 { return float64(r.state.GetSpeedPercent()) / percent }
func (r *runner) ratedSpeed() float64    { return float64(r.state.GetRatedSpeedPercent()) / percent }

// speed returns the speed by which the endpoint is judged.
func (r *runner) speed() float64 {
	return placement.EffectiveSpeed(r.ratedSpeed(), r.measuredSpeed())
}

// maxWaitingFraction bounds the work that waits at a runner, as a fraction of its
// capacity. Each of up to 12 dispatchers queues at most half of the capacity there.
const maxWaitingFraction = 8

// waiting returns the CPU of all dispatchers' tasks that wait at the runner, in
// thousandths of a core. It is bounded, so that one runner with a wrong figure doesn't
// cause the refusal of all jobs.
func (r *runner) waiting() admission.ByLevel {
	reported := admission.DecodeBacklog(r.state.GetWaitingCpu(), r.state.GetWaitingCpuByPriority())
	return reported.AtMost(maxWaitingFraction * float64(r.capacity().MilliCPU))
}

// queuedByLevel returns the CPU of the tasks that are queued at the runner, in
// thousandths of a core by priority level.
func (r *runner) queuedByLevel() [policy.MaxLevels]int64 {
	var all [policy.MaxLevels]int64
	for level, queued := range r.waiting() {
		all[level] = int64(queued)
	}
	return all
}

func (r *runner) endpoint() placement.Endpoint {
	return placement.Endpoint{
		Name: r.node.Name, Service: r.state.GetService(), Labels: r.state.GetLabels(),
		Free: r.free(), Capacity: r.capacity(), Speed: r.speed(), Healthy: r.state.GetHealthy(),
		Rank: r.hash, QueuedByLevel: r.queuedByLevel(),
	}
}

// hasContained reports whether a contained job runs or waits at the runner, as
// far as the dispatcher knows.
func (r *runner) hasContained() bool {
	if r.state.GetContained() {
		return true
	}
	for _, t := range r.runs {
		if t.contained {
			return true
		}
	}
	return false
}
