package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/stream"
)

// beat is a heartbeat of this moment.
func (r *Runner) beat() *pb.RunnerBeat {
	return &pb.RunnerBeat{SentNs: int64(clock.Boot()), PolicyRevision: r.policy.Revision()}
}

// send is the connection's only writer. Events leave at once, and take the
// newest state with them; a state alone waits for stateGap after the last
// frame.
func (r *Runner) send(ctx context.Context, l *link, out *frames, c *stream.Conn) {
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		frame, wait := r.gather(l, out)
		if frame != nil {
			if err := c.Send(frame); err != nil {
				r.log.Info("link: can't send", zap.String("dispatcher", l.name), zap.Error(err))
				r.keep(l, frame)
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

// keep holds events back that could not be sent.
func (r *Runner) keep(l *link, f *pb.RunnerFrame) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l.kept = append(l.kept, f.GetEvents()...)
}

// beatSlack is how much earlier than due a heartbeat goes along with another
// frame.
const beatSlack = beatEvery / 4

// gather merges all that waits into one frame, with the state if it changed
// and a heartbeat if one is due. Without a frame it returns how long the next
// one has to wait.
func (r *Runner) gather(l *link, out *frames) (*pb.RunnerFrame, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Boot()
	beatIn := l.beatAt + beatEvery - now
	items, _ := out.TakeNow()
	if len(items) == 0 {
		wait := beatIn
		if l.dirty {
			wait = min(wait, l.sentAt+l.stateGap-now)
		}
		if wait > 0 {
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
	if f.GetBeat() == nil && beatIn <= beatSlack {
		f.Beat = r.beat()
	}
	if f.GetBeat() != nil {
		l.beatAt = now
	}
	return f, 0
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
