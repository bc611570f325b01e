package runner

import (
	"time"

	"go.uber.org/zap"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/room"
	"github.com/pomelosill/pomelosill/internal/runref"
	"github.com/pomelosill/pomelosill/internal/work"
)

// The ends of a run that dispatchers are told.
const (
	endDone    = pb.RunEnd_RUN_END_DONE
	endFailed  = pb.RunEnd_RUN_END_FAILED
	endRefused = pb.RunEnd_RUN_END_REFUSED
	endLost    = pb.RunEnd_RUN_END_LOST
	endStalled = pb.RunEnd_RUN_END_STALLED
)

func runEvent(run work.Run, end pb.RunEnd, code result.Code, took time.Duration) *pb.RunEvent {
	return &pb.RunEvent{
		Run:   runref.Encode(run),
		End:   end,
		Code:  uint32(code),
		RunUs: took.Microseconds(),
	}
}

// report tells the run's dispatcher that it no longer takes room.
func (r *Runner) report(g room.Gone, code result.Code) {
	end := endLost
	switch g.End {
	case work.EndDone:
		end = endDone
	case work.EndFailed:
		end, code = endFailed, result.TaskFailed
	}
	if end == endLost && g.Entry.AcceptedAt == 0 && code == result.OK {
		code = result.EndpointUnreachable
	}
	r.counters.ended(r.base, g.End)
	r.log.Info("run: ended", zap.String("task", g.Entry.Run.Task), zap.Uint64("attempt", g.Entry.Run.Attempt),
		zap.Stringer("end", g.End), zap.Stringer("code", code), zap.Duration("took", g.Took))
	r.tell(g.Entry.Owner, runEvent(g.Entry.Run, end, code, g.Took))
}

// tell sends an event to the run's dispatcher, or keeps it until the
// dispatcher is back. It is called with the lock held.
func (r *Runner) tell(owner string, e *pb.RunEvent) {
	for _, l := range r.links {
		if l.owner() != owner {
			continue
		}
		if l.out == nil || !l.out.Put(&pb.RunnerFrame{Events: []*pb.RunEvent{e}}) {
			l.kept = append(l.kept, e)
		}
		return
	}
}
