package runner

import (
	"context"
	"time"

	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
)

// beat is a heartbeat of this moment.
func (r *Runner) beat() *pb.RunnerBeat {
	return &pb.RunnerBeat{SentNs: int64(clock.Boot()), PolicyRevision: r.policy.Revision()}
}

// send is the stream's only writer. Events leave at once, and take the newest
// state with them; a state alone waits for stateGap after the last frame.
func (r *Runner) send(ctx context.Context, l *link, out *frames, st *stream) {
	beats := time.NewTicker(beatEvery)
	defer beats.Stop()
	for {
		frame, wait := r.gather(l, out)
		if frame != nil {
			if err := st.Send(frame); err != nil {
				r.keep(l, frame)
				return
			}
			continue
		}
		gap := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-out.Ready():
		case <-gap.C:
		case <-beats.C:
			r.beatNow(l, out)
		}
		gap.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// keep holds events back that could not be sent.
func (r *Runner) keep(l *link, f *pb.RunnerFrame) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l.kept = append(l.kept, f.GetEvents()...)
}

// idle is how long a writer sleeps that has nothing to send.
const idle = time.Minute

// gather merges all that waits into one frame, with the state if it changed.
// Without a frame it returns how long the next one has to wait.
func (r *Runner) gather(l *link, out *frames) (*pb.RunnerFrame, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Boot()
	items, _ := out.TakeNow()
	if len(items) == 0 {
		if !l.dirty {
			return nil, idle
		}
		if wait := l.sentAt + l.stateGap - now; wait > 0 {
			return nil, wait
		}
	}
	f := &pb.RunnerFrame{}
	for _, it := range items {
		merge(f, it)
	}
	if l.dirty {
		l.dirty = false
		f.State = r.state(l)
	}
	l.sentAt = now
	if f.GetBeat() == nil && now-l.beatAt >= beatEvery/2 {
		f.Beat = r.beat()
	}
	if f.GetBeat() != nil {
		l.beatAt = now
	}
	return f, 0
}

// beatNow queues a heartbeat, unless one has gone along with other frames.
func (r *Runner) beatNow(l *link, out *frames) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if clock.Boot()-l.beatAt >= beatEvery/2 {
		out.Put(&pb.RunnerFrame{Beat: r.beat()})
	}
}

func merge(f, it *pb.RunnerFrame) {
	if it.GetRunner() != "" {
		f.Runner, f.Incarnation, f.Held = it.GetRunner(), it.GetIncarnation(), it.GetHeld()
	}
	if it.GetBeat() != nil {
		f.Beat = it.GetBeat()
	}
	if it.GetPolicy() != nil {
		f.Policy = it.GetPolicy()
	}
	f.Events = append(f.Events, it.GetEvents()...)
}

// percent turns a share into whole percents.
const percent = 100

// state describes the endpoint for one dispatcher.
func (r *Runner) state(l *link) *pb.RunnerState {
	out := &pb.RunnerState{Handled: l.handled}
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
	out.Ready = !r.leaving && !ep.Leaving && !s.lost && s.answeredAt != 0 && now-s.answeredAt < reachable && s.account.Open()
	out.Healthy = !s.health.Resting(now) && s.health.MaxRuns() == 0
	out.CapacityCpu, out.CapacityMemory, out.CapacityGpus = uint64(c.CPU), uint64(c.MemoryMB), uint64(c.GPUs)
	out.UsedCpu, out.UsedMemory, out.UsedGpus = uint64(used.CPU), uint64(used.MemoryMB), uint64(used.GPUs)
	out.SpeedPercent = uint64(s.account.Speed() * percent)
	if s.health.Resting(now) {
		out.Ready = false
	}
	return out
}
