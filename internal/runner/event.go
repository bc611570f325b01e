package runner

import (
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/capacity"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/runref"
	"github.com/pomelosill/pomelosill/internal/workload"
)

// The ends of a run that dispatchers are told.
const (
	endDone    = pb.RunEnd_RUN_END_DONE
	endFailed  = pb.RunEnd_RUN_END_FAILED
	endRefused = pb.RunEnd_RUN_END_REFUSED
	endLost    = pb.RunEnd_RUN_END_LOST
	endStalled = pb.RunEnd_RUN_END_STALLED
)

func newRunEvent(run workload.RunID, end pb.RunEnd, code result.Code, took time.Duration) *pb.RunEvent {
	return &pb.RunEvent{
		Run:   runref.Encode(run),
		End:   end,
		Code:  uint32(code),
		RunUs: took.Microseconds(),
	}
}

// reportEnd tells the run's dispatcher that it no longer takes room.
func (r *Runner) reportEnd(g capacity.ReleasedRun, code result.Code) {
	end := endLost
	switch g.Outcome {
	case workload.OutcomeDone:
		end = endDone
	case workload.OutcomeFailed:
		end, code = endFailed, result.TaskFailed
	}
	if end == endLost && g.Reservation.AcceptedAt == 0 && code == result.OK {
		code = result.EndpointUnreachable
	}
	r.counters.countEnd(r.baseCtx, g.Outcome)
	r.log.Info("run: ended", zap.String("task", g.Reservation.Run.Task), zap.Uint64("attempt", g.Reservation.Run.Attempt),
		zap.Stringer("end", g.Outcome), zap.Stringer("code", code), zap.Duration("took", g.Elapsed))
	r.sendEvent(g.Reservation.Owner, newRunEvent(g.Reservation.Run, end, code, g.Elapsed))
}

// sendEvent sends an event to the run's dispatcher, or keeps it until the
// dispatcher is back. It is called with the lock held.
func (r *Runner) sendEvent(owner string, e *pb.RunEvent) {
	for _, l := range r.dispatchers {
		if l.owner() != owner {
			continue
		}
		if l.outbox == nil || !l.outbox.Put(&pb.RunnerFrame{Events: []*pb.RunEvent{e}}) {
			l.unsent = append(l.unsent, e)
		}
		return
	}
}
