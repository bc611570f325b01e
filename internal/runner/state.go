package runner

import (
	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
)

// markStateChanged marks the state as changed for every dispatcher.
func (r *Runner) markStateChanged() {
	for _, l := range r.dispatchers {
		l.stateChanged = true
		if l.outbox != nil {
			l.outbox.Wake()
		}
	}
}

// percent turns a share into whole percents.
const percent = 100

// stateFor describes the endpoint for one dispatcher.
func (r *Runner) stateFor(l *dispatcher) *pb.RunnerState {
	out := r.endpointState()
	out.Handled = l.lastOrder
	return out
}

// endpointState describes the endpoint as it is now.
func (r *Runner) endpointState() *pb.RunnerState {
	out := &pb.RunnerState{}
	s := r.session
	if s == nil {
		return out
	}
	now := clock.SinceBoot()
	used := s.account.Used()
	var waiting int64
	for _, o := range r.queue {
		used = used.Plus(o.need)
		waiting += o.need.MilliCPU
	}
	out.WaitingCpu = uint64(waiting)
	ep := s.endpoint
	c := s.account.Capacity()
	out.Life, out.Service, out.FailureDomain, out.Labels = ep.Incarnation(), ep.Service, ep.FailureDomain, ep.Labels
	answers := !s.down && s.lastAnswerAt != 0 && now-s.lastAnswerAt < maxAnswerAge
	resting := s.health.Suspended(now)
	out.Ready = !r.draining && !ep.Draining && answers && s.account.AcceptsStarts() && !resting
	out.Healthy = !resting && s.health.MaxRuns() == 0
	out.CapacityCpu, out.CapacityMemory, out.CapacityGpus = uint64(c.MilliCPU), uint64(c.MemoryMB), uint64(c.GPUs)
	out.UsedCpu, out.UsedMemory, out.UsedGpus = uint64(used.MilliCPU), uint64(used.MemoryMB), uint64(used.GPUs)
	out.SpeedPercent = uint64(s.account.Speed() * percent)
	return out
}
