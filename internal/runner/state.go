package runner

import (
	"math"
	"time"

	"github.com/pomelosill/pomelosill/internal/admission"
	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
)

// availability is the part of the state that decides whether a dispatcher may
// use the endpoint at all.
type availability struct {
	life, service  string
	ready, healthy bool
	// slow is set while the endpoint takes overflow orders.
	slow bool
}

// markStateChanged schedules the state to be sent to every dispatcher: at once
// if the endpoint's availability has changed, soon to the dispatchers that use
// it, and later to the others.
func (r *Runner) markStateChanged() {
	state := r.endpointState()
	available := availability{life: state.GetLife(), service: state.GetService(), ready: state.GetReady(), healthy: state.GetHealthy(), slow: state.GetSlow()}
	urgent := available != r.lastAvailability
	r.lastAvailability = available
	for _, d := range r.dispatchers {
		wake := urgent || !d.stateChanged
		d.stateChanged = true
		d.stateUrgent = d.stateUrgent || urgent
		if wake && d.outbox != nil {
			d.outbox.Wake()
		}
	}
}

// percent converts a fraction to percent.
const percent = 100

// stateFor returns the endpoint's state as sent to one dispatcher.
func (r *Runner) stateFor(d *dispatcher) *pb.RunnerState {
	out := r.endpointState()
	out.Handled = d.lastOrder
	now := clock.SinceBoot()
	var otherDemand admission.ByLevel
	for _, other := range r.dispatchers {
		if other == d || other.outbox == nil {
			continue
		}
		out.OtherLoad += other.linkLoad
		if now-other.lastReceivedAt < maxDemandAge {
			otherDemand = otherDemand.Plus(other.linkDemand)
			out.OtherCallers += other.linkCallers
		}
	}
	out.OtherDemandByPriority = otherDemand.Encode()
	return out
}

// maxDemandAge is how long the demand of a dispatcher that sends nothing counts: one
// that is frozen admits no work, but its connection is closed only later. A dispatcher
// without runs here sends a frame each 900 ms to 1.2 s.
const maxDemandAge = 1500 * time.Millisecond

// endpointState returns the current state of the endpoint.
func (r *Runner) endpointState() *pb.RunnerState {
	out := &pb.RunnerState{}
	s := r.session
	if s == nil {
		return out
	}
	now := clock.SinceBoot()
	used := s.tracker.Used()
	var waitingCPU int64
	out.Contained = s.tracker.HasContained("")
	for _, o := range r.queue {
		out.Contained = out.Contained || o.contained
		used = used.Plus(o.resources)
		waitingCPU += o.resources.MilliCPU
	}
	out.WaitingCpu = uint64(waitingCPU)
	out.WaitingCpuByPriority = r.waitingCPUByLevel()
	ep := s.endpoint
	c := s.tracker.Capacity()
	out.Life, out.Service, out.FailureDomain, out.Labels = ep.Incarnation(), ep.Service, ep.FailureDomain, ep.Labels
	reachable := !s.down && s.lastResponseAt != 0 && now-s.lastResponseAt < maxResponseAge
	suspended := s.health.Suspended(now)
	startable := !r.draining && !ep.Draining && reachable && r.capacityKnown(s, now) && s.tracker.AcceptsStarts() && !s.lapsing(now, r.endpointTTL())
	out.Ready = startable && !suspended
	out.Slow = startable && s.health.SuspendedAsSlow(now)
	out.Healthy = !suspended && s.health.MaxRuns() == 0
	out.CapacityCpu, out.CapacityMemory, out.CapacityGpus = uint64(c.MilliCPU), uint64(c.MemoryMB), uint64(c.GPUs)
	out.UsedCpu, out.UsedMemory, out.UsedGpus = uint64(used.MilliCPU), uint64(used.MemoryMB), uint64(used.GPUs)
	out.SpeedPercent = uint64(s.tracker.Speed() * percent)
	out.RatedSpeedPercent = uint64(math.Round(s.ratedSpeed() * percent))
	return out
}

// ratedSpeed returns the endpoint's usual speed, zero while it is unknown.
func (s *session) ratedSpeed() float64 {
	rating, known := s.tracker.Rating()
	if !known {
		return 0
	}
	return rating
}
