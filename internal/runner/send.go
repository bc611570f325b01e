package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/stream"
)

// newHeartbeat is a heartbeat of this moment.
func (r *Runner) newHeartbeat() *pb.RunnerBeat {
	return &pb.RunnerBeat{SentNs: int64(clock.SinceBoot()), PolicyRevision: r.policy.Revision()}
}

// sendFrames is the connection's only writer. Events leave at once, and take the
// newest state with them; a state alone waits for stateGap after the last
// frame.
func (r *Runner) sendFrames(ctx context.Context, l *dispatcher, out *frameOutbox, c *stream.Conn) {
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		frame, wait := r.nextFrame(l, out)
		if frame != nil {
			if err := c.Send(frame); err != nil {
				r.log.Info("link: can't send", zap.String("dispatcher", l.name), zap.Error(err))
				r.keepUnsent(l, frame)
				return
			}
			continue
		}
		pause.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case <-out.Ready():
		case <-pause.C:
		}
	}
}

// keepUnsent holds events back that could not be sent.
func (r *Runner) keepUnsent(l *dispatcher, f *pb.RunnerFrame) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l.unsent = append(l.unsent, f.GetEvents()...)
}

// heartbeatSlack is how much earlier than due a heartbeat goes along with another
// frame.
const heartbeatSlack = heartbeatInterval / 4

// nextFrame merges all that waits into one frame, with the state if it changed
// and a heartbeat if one is due. Without a frame it returns how long the next
// one has to wait.
func (r *Runner) nextFrame(l *dispatcher, out *frameOutbox) (*pb.RunnerFrame, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.SinceBoot()
	beatIn := l.lastHeartbeatAt + heartbeatInterval - now
	items, _ := out.TryTakeAll()
	if len(items) == 0 {
		wait := beatIn
		if l.stateChanged {
			wait = min(wait, l.lastFrameAt+l.stateInterval-now)
		}
		if wait > 0 {
			return nil, wait
		}
	}
	f := &pb.RunnerFrame{}
	for _, it := range items {
		mergeFrame(f, it)
	}
	if l.stateChanged {
		l.stateChanged = false
		f.State = r.stateFor(l)
	}
	l.lastFrameAt = now
	if f.GetBeat() == nil && beatIn <= heartbeatSlack {
		f.Beat = r.newHeartbeat()
	}
	if f.GetBeat() != nil {
		l.lastHeartbeatAt = now
	}
	return f, 0
}

func mergeFrame(f, it *pb.RunnerFrame) {
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
