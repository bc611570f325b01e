package agent

import (
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/gate"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
)

// handleFrame handles one frame from an entry.
func (a *Agent) handleFrame(st *stream, f *pb.OwnerFrame) {
	if f.Location != nil {
		a.counters.add(receivedLocation, 1)
		a.applyLocation(f.Location)
	}
	if f.Fence != nil {
		a.counters.add(receivedFence, 1)
		a.handleFence(st, f.Fence)
	}
	if f.Stamp != nil {
		a.counters.add(receivedStamp, 1)
		a.handleStamp(st, f.Stamp)
	}
	for _, s := range f.Starts {
		a.counters.add(receivedStart, 1)
		a.handleStart(st, s)
	}
	for _, ref := range f.Cancels {
		a.counters.add(receivedCancel, 1)
		if t, ok := parseTaskRef(ref); ok {
			a.runner.cancel(t)
		}
	}
	for _, id := range f.Released {
		a.counters.add(receivedReleased, 1)
		if submission, err := uuid.FromBytes(id); err == nil {
			a.gate.ReleaseBodies(submission)
		}
	}
}

func (a *Agent) handleFence(st *stream, f *pb.Fence) {
	if !a.delivery.applyFence(st, f) {
		a.log.Info("refused a fence of another cell or an older generation", zap.String("entry", st.address), zap.Uint64("generation", f.GetGeneration()))
		return
	}
	a.log.Info("accepted a fence", zap.String("entry", st.address), zap.Uint64("generation", f.GetGeneration()))
	a.closeUnwantedLinks()
}

func (a *Agent) handleStamp(st *stream, s *pb.Stamp) {
	a.gate.ApplyStamp(a.now(), gate.Stamp{
		HeartbeatSentAt: time.Duration(s.GetEchoNs()),
		ConfirmationAge: time.Duration(s.GetAgeNs()),
		Cell:            s.GetCell(),
		Generation:      s.GetGeneration(),
		ControlRevision: s.GetControlRevision(),
		InService:       s.GetInService(),
	})
	st.recordEcho(s.GetEchoNs())
	if a.gate.State(a.now()).ControlRevision > st.reportedRevision.Load() {
		st.outbox.addHeartbeat()
	}
	a.delivery.updateConfirmed(st)
}

// handleStart asks the gate whether the task may start, and runs it if so.
func (a *Agent) handleStart(st *stream, s *pb.Start) {
	task, ok := parseTaskRef(s.GetTask())
	if !ok {
		st.outbox.addOutcome(&pb.Outcome{Task: s.GetTask(), Code: uint32(result.Malformed)})
		return
	}
	start := gate.Start{
		Cell:       s.GetCell(),
		Generation: s.GetGeneration(),
		Task:       task,
		Digest:     s.GetDigest(),
		Timeout:    time.Duration(s.GetTimeoutNs()),
	}
	code := a.delivery.admit(a.now(), st, start)
	a.metrics.countStart(a.streamCtx, code)
	if code != result.OK {
		return
	}
	a.runner.run(start, s)
}

// removeStream removes a stream that has ended.
func (a *Agent) removeStream(st *stream) {
	a.streams.remove(st)
	a.delivery.detach(st)
	a.closeUnwantedLinks()
}
