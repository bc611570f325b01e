package agent

import (
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/gate"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
)

// handle takes one frame of an entry.
func (a *Agent) handle(st *stream, f *pb.OwnerFrame) {
	if f.Location != nil {
		a.counters.add(gotLocation, 1)
		a.takeLocation(f.Location)
	}
	if f.Fence != nil {
		a.counters.add(gotFence, 1)
		a.takeFence(st, f.Fence)
	}
	if f.Stamp != nil {
		a.counters.add(gotStamp, 1)
		a.takeStamp(st, f.Stamp)
	}
	for _, s := range f.Starts {
		a.counters.add(gotStart, 1)
		a.takeStart(st, s)
	}
	for _, ref := range f.Cancels {
		a.counters.add(gotCancel, 1)
		if t, ok := taskOf(ref); ok {
			a.runner.cancel(t)
		}
	}
	for _, id := range f.Released {
		a.counters.add(gotReleased, 1)
		if submission, err := uuid.FromBytes(id); err == nil {
			a.gate.Release(submission)
		}
	}
}

func (a *Agent) takeFence(st *stream, f *pb.Fence) {
	if !a.delivery.fence(st, f) {
		a.log.Info("fence refused", zap.String("entry", st.address), zap.Uint64("generation", f.GetGeneration()))
		return
	}
	a.log.Info("fence obeyed", zap.String("entry", st.address), zap.Uint64("generation", f.GetGeneration()))
	a.prune()
}

func (a *Agent) takeStamp(st *stream, s *pb.Stamp) {
	a.gate.Stamp(a.now(), gate.Stamp{
		Echo:            time.Duration(s.GetEchoNs()),
		Age:             time.Duration(s.GetAgeNs()),
		Cell:            s.GetCell(),
		Generation:      s.GetGeneration(),
		ControlRevision: s.GetControlRevision(),
		InService:       s.GetInService(),
	})
	st.echo(s.GetEchoNs())
	if a.gate.State(a.now()).ControlRevision > st.told.Load() {
		st.out.addHeartbeat()
	}
	a.delivery.confirm(st)
}

// takeStart asks the gate and runs the task if it is admitted.
func (a *Agent) takeStart(st *stream, s *pb.Start) {
	task, ok := taskOf(s.GetTask())
	if !ok {
		st.out.addOutcome(&pb.Outcome{Task: s.GetTask(), Code: uint32(result.Malformed)})
		return
	}
	ask := gate.Start{
		Cell:       s.GetCell(),
		Generation: s.GetGeneration(),
		Task:       task,
		Digest:     s.GetDigest(),
		Timeout:    time.Duration(s.GetTimeoutNs()),
	}
	code := a.delivery.admit(a.now(), st, ask)
	a.metrics.countStart(a.streamContext, code)
	if code != result.OK {
		return
	}
	a.runner.run(ask, s)
}

// dropStream forgets a stream that ended.
func (a *Agent) dropStream(st *stream) {
	a.streams.remove(st)
	a.delivery.detach(st)
	a.prune()
}
