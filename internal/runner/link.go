package runner

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/lease"
	"github.com/pomelosill/pomelosill/internal/outbox"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/work"
	"github.com/pomelosill/pomelosill/platform"
)

const (
	// beatEvery is the time between two heartbeats on a stream.
	beatEvery = 100 * time.Millisecond
	// forgetAfter is how long events are kept for a dispatcher that is away.
	forgetAfter = 5 * time.Second
)

// stream is one connection of a dispatcher.
type stream = connect.BidiStream[pb.DispatcherFrame, pb.RunnerFrame]

// frames are what waits to be sent on a stream.
type frames = outbox.Outbox[*pb.RunnerFrame]

// link is what the runner holds for one dispatcher. It belongs to the
// runner's lock.
type link struct {
	name        string
	incarnation string
	// out is the outbox of the present stream, nil while there is none.
	out    *frames
	cancel context.CancelFunc
	// ended is closed when the present stream's handler has returned.
	ended chan struct{}
	// kept are events that wait for a stream.
	kept []*pb.RunEvent
	// leaseEnd is when the dispatcher's runs are stopped.
	leaseEnd time.Duration
	lapsed   bool
	// handled is the number of the last order on the present stream.
	handled uint64
	// dirty is set while a newer state than the last one sent is known.
	dirty  bool
	sentAt time.Duration
	// beatAt is when the last heartbeat was sent.
	beatAt time.Duration
	// stateGap is the least time between two states that go alone.
	stateGap time.Duration
	// revision is the newest policy that the dispatcher said it has.
	revision uint64
}

// Link implements the RunnerService.
func (r *Runner) Link(ctx context.Context, st *stream) error {
	first, err := st.Receive()
	if err != nil {
		return err
	}
	if first.GetDispatcher() == "" || first.GetIncarnation() == "" {
		return connect.NewError(connect.CodeInvalidArgument, result.Errorf(result.Malformed, "the first frame must name the dispatcher"))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l, out, ended := r.attach(first, cancel)
	defer close(ended)
	r.log.Info("link: dispatcher connected", zap.String("dispatcher", l.name), zap.String("incarnation", l.incarnation))
	go r.receive(ctx, cancel, l, out, st)
	r.send(ctx, l, out, st)
	r.detach(l, out)
	r.log.Info("link: dispatcher disconnected", zap.String("dispatcher", l.name))
	return nil
}

// attach makes the stream the dispatcher's present one. The stream before it
// must have ended first: orders on it could still arrive.
func (r *Runner) attach(first *pb.DispatcherFrame, cancel context.CancelFunc) (*link, *frames, chan struct{}) {
	ended := make(chan struct{})
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.links[first.GetDispatcher()]
	for l != nil && l.cancel != nil {
		before := l.ended
		l.cancel()
		r.mu.Unlock()
		<-before
		r.mu.Lock()
		l = r.links[first.GetDispatcher()]
		if l.ended == before {
			break
		}
	}
	if l == nil || l.incarnation != first.GetIncarnation() {
		if l != nil {
			r.stopOwned(l, "dispatcher restarted")
		}
		l = &link{name: first.GetDispatcher(), incarnation: first.GetIncarnation()}
		r.links[l.name] = l
	}
	l.out = outbox.New[*pb.RunnerFrame]()
	l.cancel, l.ended = cancel, ended
	l.handled, l.lapsed, l.revision = 0, false, 0
	l.leaseEnd = clock.Boot() + lease.Dispatcher
	l.out.Put(&pb.RunnerFrame{
		Runner: r.settings.Name, Incarnation: r.incarnation,
		Held: r.held(l.owner()), Beat: r.beat(),
	})
	if len(l.kept) > 0 {
		l.out.Put(&pb.RunnerFrame{Events: l.kept})
		l.kept = nil
	}
	l.dirty = true
	r.publish()
	return l, l.out, ended
}

// owner is the name under which the dispatcher's runs are accounted.
func (l *link) owner() string { return l.name + "/" + l.incarnation }

// held lists the owner's runs, waiting ones and those with kept events
// included.
func (r *Runner) held(owner string) []*pb.RunRef {
	var all []*pb.RunRef
	if s := r.session; s != nil {
		for _, run := range s.account.OwnedBy(owner) {
			all = append(all, &pb.RunRef{Task: run.Task, Attempt: run.Attempt})
		}
	}
	for _, o := range r.waiting {
		if o.owner == owner {
			all = append(all, &pb.RunRef{Task: o.run.Task, Attempt: o.run.Attempt})
		}
	}
	for _, l := range r.links {
		if l.owner() != owner {
			continue
		}
		for _, e := range l.kept {
			all = append(all, e.GetRun())
		}
	}
	return all
}

func (r *Runner) detach(l *link, out *frames) {
	out.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.out != out {
		return
	}
	l.out, l.cancel = nil, nil
	items, _ := out.TakeNow()
	for _, f := range items {
		l.kept = append(l.kept, f.GetEvents()...)
	}
}

// receive takes the dispatcher's frames.
func (r *Runner) receive(ctx context.Context, cancel context.CancelFunc, l *link, out *frames, st *stream) {
	defer cancel()
	for {
		f, err := st.Receive()
		if err != nil || ctx.Err() != nil {
			return
		}
		r.take(l, out, f)
	}
}

// take carries out what a frame asks for. A frame of a stream that has been
// replaced is dropped: the dispatcher has been told that its orders are not
// known, and may have placed them elsewhere.
func (r *Runner) take(l *link, out *frames, f *pb.DispatcherFrame) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.out != out {
		return
	}
	now := clock.Boot()
	if b := f.GetBeat(); b != nil {
		if b.GetEchoNs() > 0 {
			l.leaseEnd = max(l.leaseEnd, time.Duration(b.GetEchoNs())+lease.Dispatcher)
		}
		l.revision = max(l.revision, b.GetPolicyRevision())
		l.stateGap = time.Duration(b.GetStateGapUs()) * time.Microsecond
		r.tellPolicy(l)
	}
	r.takePolicy(f.GetPolicy())
	if now > l.leaseEnd && len(f.GetStarts()) > 0 {
		// The dispatcher counts these runs as lost already.
		r.log.Warn("link: orders from a dispatcher whose lease has lapsed", zap.String("dispatcher", l.name), zap.Int("orders", len(f.GetStarts())))
		for _, s := range f.GetStarts() {
			r.refuse(newOrder(l.owner(), s, now), result.StaleStamp)
			l.handled = s.GetNumber()
		}
	} else {
		for _, s := range f.GetStarts() {
			r.accept(newOrder(l.owner(), s, now), now)
			l.handled = s.GetNumber()
		}
	}
	for _, s := range f.GetStops() {
		r.stop(l.owner(), work.Run{Task: s.GetTask(), Attempt: s.GetAttempt()})
	}
	if len(f.GetStarts())+len(f.GetStops()) > 0 {
		r.publish()
	}
}

// takePolicy takes over a policy that a dispatcher has sent.
func (r *Runner) takePolicy(p *pb.Policy) {
	if p == nil {
		return
	}
	state, err := platform.PolicyFromWire(p)
	if err != nil {
		r.log.Warn("policy: refused", zap.Error(err))
		return
	}
	if r.policy.Apply(state) {
		r.log.Info("policy: in force", zap.Uint64("revision", state.Revision), zap.Uint64("version", state.Config.Version),
			zap.Strings("evacuated", state.Evacuated))
		r.refuseWaiting()
		r.publish()
	}
}

// tellPolicy sends the policy to a dispatcher whose own is older.
func (r *Runner) tellPolicy(l *link) {
	s := r.policy.State()
	if s == nil || l.out == nil || l.revision >= s.Revision {
		return
	}
	l.revision = s.Revision
	l.out.Put(&pb.RunnerFrame{Policy: platform.PolicyToWire(s)})
}

// checkLink stops the runs of a dispatcher that has fallen silent.
func (r *Runner) checkLink(l *link, now time.Duration) {
	if now > l.leaseEnd && !l.lapsed {
		l.lapsed = true
		r.stopOwned(l, "dispatcher silent")
		if l.cancel != nil {
			l.cancel()
		}
	}
	if l.cancel == nil && now > l.leaseEnd+forgetAfter {
		delete(r.links, l.name)
	}
}

// stopOwned stops all runs of a dispatcher and refuses its waiting orders.
func (r *Runner) stopOwned(l *link, why string) {
	owner := l.owner()
	stopped := 0
	for _, o := range append([]*order(nil), r.waiting...) {
		if o.owner == owner && r.dropWaiting(o.run) {
			r.refuse(o, result.StaleStamp)
		}
	}
	if s := r.session; s != nil {
		for _, run := range s.account.OwnedBy(owner) {
			stopped++
			r.stop(owner, run)
		}
	}
	r.log.Info("link: runs stopped", zap.String("dispatcher", l.name), zap.String("reason", why), zap.Int("runs", stopped))
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

// publish marks the state as changed for every dispatcher.
func (r *Runner) publish() {
	for _, l := range r.links {
		l.dirty = true
		if l.out != nil {
			l.out.Wake()
		}
	}
}

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
		waiting += o.need.CPU * o.estimate.Milliseconds()
	}
	out.WaitingWork = uint64(waiting)
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
