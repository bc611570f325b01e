package runner

import (
	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
)

// publish marks the state as changed for every dispatcher.
func (r *Runner) publish() {
	for _, l := range r.links {
		l.dirty = true
		if l.out != nil {
			l.out.Wake()
		}
	}
}

// percent turns a share into whole percents.
const percent = 100

// state describes the endpoint for one dispatcher.
func (r *Runner) state(l *link) *pb.RunnerState {
	out := r.endpointState()
	out.Handled = l.handled
	return out
}

// endpointState describes the endpoint as it is now.
func (r *Runner) endpointState() *pb.RunnerState {
	out := &pb.RunnerState{}
	s := r.session
	if s == nil {
		return out
	}
	now := clock.Boot()
	used := s.account.Used()
	var waiting int64
	for _, o := range r.waiting {
		used = used.Plus(o.need)
		waiting += o.need.CPU
	}
	out.WaitingCpu = uint64(waiting)
	ep := s.endpoint
	c := s.account.Capacity()
	out.Life, out.Service, out.FailureDomain, out.Labels = ep.Life(), ep.Service, ep.FailureDomain, ep.Labels
	answers := !s.lost && s.answeredAt != 0 && now-s.answeredAt < reachable
	resting := s.health.Resting(now)
	out.Ready = !r.leaving && !ep.Leaving && answers && s.account.Open() && !resting
	out.Healthy = !resting && s.health.MaxRuns() == 0
	out.CapacityCpu, out.CapacityMemory, out.CapacityGpus = uint64(c.CPU), uint64(c.MemoryMB), uint64(c.GPUs)
	out.UsedCpu, out.UsedMemory, out.UsedGpus = uint64(used.CPU), uint64(used.MemoryMB), uint64(used.GPUs)
	out.SpeedPercent = uint64(s.account.Speed() * percent)
	return out
}
