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

// The ends of a run that are reported to dispatchers.
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

// reportEnd reports to the run's dispatcher how the run ended and that it no
// longer uses capacity.
func (r *Runner) reportEnd(released capacity.ReleasedRun, code result.Code) {
	end := endLost
	switch released.Outcome {
	case workload.OutcomeDone:
		end = endDone
	case workload.OutcomeFailed:
		end, code = endFailed, result.TaskFailed
	}
	switch {
	case released.Outcome == workload.OutcomeCrashed:
		code = result.EndpointGone
	case end == endLost && released.Reservation.AcceptedAt == 0 && code == result.OK:
		code = result.EndpointUnreachable
	}
	r.counters.countEnd(r.baseCtx, released.Outcome)
	r.log.Info("run: ended", zap.String("task", released.Reservation.Run.Task), zap.Uint64("attempt", released.Reservation.Run.Attempt),
		zap.Stringer("end", released.Outcome), zap.Stringer("code", code), zap.Duration("took", released.Elapsed))
	r.sendEvent(released.Reservation.Owner, newRunEvent(released.Reservation.Run, end, code, released.Elapsed))
}

// sendEvent sends an event to the run's dispatcher, or keeps it until the
// dispatcher reconnects. The caller holds r.mu.
func (r *Runner) sendEvent(owner string, e *pb.RunEvent) {
	for _, d := range r.dispatchers {
		if d.owner() != owner {
			continue
		}
		if d.outbox == nil || !d.outbox.Put(&pb.RunnerFrame{Events: []*pb.RunEvent{e}}) {
			d.unsent = append(d.unsent, e)
		}
		return
	}
}
