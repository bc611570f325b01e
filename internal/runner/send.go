package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/stream"
)

// newHeartbeat returns a heartbeat with the current time.
func (r *Runner) newHeartbeat(d *dispatcher) *pb.RunnerBeat {
	now := clock.SinceBoot()
	b := &pb.RunnerBeat{SentNs: int64(now), PolicyRevision: r.policy.Revision()}
	r.addConfirmation(b, d, now)
	return b
}

// sendFrames is the connection's only writer. Events are sent at once, together
// with the newest state; a state alone is sent no sooner than stateInterval
// after the last frame, or idleStateFactor times that on a connection that is
// not in use.
func (r *Runner) sendFrames(ctx context.Context, d *dispatcher, out *frameOutbox, c *stream.Conn) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		frame, wait := r.nextFrame(d, out)
		if frame != nil {
			if err := c.Send(frame); err != nil {
				r.log.Info("dispatcher: sending a frame failed", zap.String("dispatcher", d.name), zap.Error(err))
				r.keepUnsent(d, frame)
				return
			}
			continue
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case <-out.Ready():
		case <-timer.C:
		}
	}
}

// keepUnsent keeps the events of a frame that could not be sent.
func (r *Runner) keepUnsent(d *dispatcher, f *pb.RunnerFrame) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d.unsent = append(d.unsent, f.GetEvents()...)
}

// idleStateFactor is how many times longer the interval between two states is on
// a connection that is not in use.
const idleStateFactor = 10

// heartbeatSlack and idleHeartbeatSlack are how long before it is due a heartbeat
// may be added to a frame that is sent anyway, on a connection in use and on any
// other.
const (
	heartbeatSlack     = heartbeatInterval / 2
	idleHeartbeatSlack = idleHeartbeatInterval / 2
)

// nextFrame merges everything that is queued into one frame, and adds the state
// if it has changed and a heartbeat if one is due. If there is nothing to send
// it returns nil and the time until there will be.
func (r *Runner) nextFrame(d *dispatcher, out *frameOutbox) (*pb.RunnerFrame, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.SinceBoot()
	heartbeatIn, slack := r.nextHeartbeat(d, now)
	items, _ := out.TryTakeAll()
	if len(items) == 0 {
		wait := min(heartbeatIn, r.stateDueAt(d, now)-now)
		if wait > 0 {
			return nil, wait
		}
	}
	f := &pb.RunnerFrame{}
	for _, item := range items {
		mergeFrame(f, item)
	}
	if d.stateChanged {
		d.stateChanged, d.stateUrgent = false, false
		f.State = r.stateFor(d)
	}
	d.lastFrameAt = now
	if f.GetBeat() == nil && heartbeatIn <= slack {
		f.Beat = r.newHeartbeat(d)
	}
	if f.GetBeat() != nil {
		d.lastHeartbeatAt = now
	}
	return f, 0
}

// nextHeartbeat returns the time until the next heartbeat is due, and how long
// before that it may be added to another frame.
func (r *Runner) nextHeartbeat(d *dispatcher, now time.Duration) (in, slack time.Duration) {
	if r.inUse(d, now) {
		return d.lastHeartbeatAt + heartbeatInterval - now, heartbeatSlack
	}
	return d.lastHeartbeatAt + idleHeartbeatInterval - now, idleHeartbeatSlack
}

// stateDueAt returns when a frame with only the state is due, which is after the
// next heartbeat if the state has not changed.
func (r *Runner) stateDueAt(d *dispatcher, now time.Duration) time.Duration {
	switch {
	case d.stateUrgent:
		return now
	case !d.stateChanged:
		return d.lastHeartbeatAt + idleHeartbeatInterval
	case r.inUse(d, now):
		return d.lastFrameAt + d.stateInterval
	}
	return d.lastFrameAt + idleStateFactor*d.stateInterval
}

func mergeFrame(f, item *pb.RunnerFrame) {
	if item.GetRunner() != "" {
		f.Runner, f.Incarnation, f.Held = item.GetRunner(), item.GetIncarnation(), item.GetHeld()
	}
	if item.GetBeat() != nil {
		f.Beat = item.GetBeat()
	}
	if item.GetPolicy() != nil {
		f.Policy = item.GetPolicy()
	}
	f.WantsPolicy = f.GetWantsPolicy() || item.GetWantsPolicy()
	f.Events = append(f.Events, item.GetEvents()...)
	f.Crashes = append(f.Crashes, item.GetCrashes()...)
}
