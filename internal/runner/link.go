package runner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/lease"
	"github.com/pomelosill/pomelosill/internal/outbox"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/stream"
	"github.com/pomelosill/pomelosill/internal/work"
	"github.com/pomelosill/pomelosill/platform"
)

const (
	// beatEvery is the time between two heartbeats on a stream.
	beatEvery = 100 * time.Millisecond
	// forgetAfter is how long events are kept for a dispatcher that is away.
	forgetAfter = 5 * time.Second
	// helloTimeout bounds the wait for a connection's first frame.
	helloTimeout = 2 * time.Second
	// leastTellDelay and mostTellDelay bound how long a runner leaves it to
	// others to send a dispatcher the policy. Runners differ in it: one of
	// them is enough.
	leastTellDelay = 300 * time.Millisecond
	mostTellDelay  = time.Second
)

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
	// revision is the newest policy that the dispatcher said it has, and
	// behindSince since when it has been older than the runner's own.
	revision    uint64
	behindSince time.Duration
}

// serveLink serves a dispatcher's connection. Its first frame names the
// dispatcher.
func (r *Runner) serveLink(c *stream.Conn) {
	first := &pb.DispatcherFrame{}
	hello := time.AfterFunc(helloTimeout, c.Close)
	err := c.Receive(first)
	hello.Stop()
	if err == nil && (first.GetDispatcher() == "" || first.GetIncarnation() == "") {
		err = result.Errorf(result.Malformed, "the first frame must name the dispatcher")
	}
	if err != nil {
		r.log.Warn("link: connection refused", zap.Error(err))
		return
	}
	ctx, cancel := context.WithCancel(r.base)
	defer cancel()
	l, out, ended := r.attach(first, func() {
		cancel()
		c.Close()
	})
	defer close(ended)
	r.log.Info("link: dispatcher connected", zap.String("dispatcher", l.name), zap.String("incarnation", l.incarnation))
	go r.receive(ctx, cancel, l, out, c)
	r.send(ctx, l, out, c)
	r.detach(l, out)
	r.log.Info("link: dispatcher disconnected", zap.String("dispatcher", l.name))
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
		if l == nil || l.ended == before {
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
	r.grant(l, clock.Boot())
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

// grant gives a dispatcher that has connected its first lease. Runs that it has
// here keep the one they have: a first frame may have been held up on its way,
// and says nothing of the present. Only an echo prolongs it.
func (r *Runner) grant(l *link, now time.Duration) {
	if now <= l.leaseEnd {
		return
	}
	if l.leaseEnd > 0 {
		r.stopOwned(l, "dispatcher silent")
	}
	l.leaseEnd = now + lease.Dispatcher
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
func (r *Runner) receive(ctx context.Context, cancel context.CancelFunc, l *link, out *frames, c *stream.Conn) {
	defer cancel()
	for {
		f := &pb.DispatcherFrame{}
		if err := c.Receive(f); err != nil || ctx.Err() != nil {
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
		r.tellPolicy(l, now)
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
	if p == nil || p.GetRevision() <= r.policy.Revision() {
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

// tellPolicy sends the policy to a dispatcher whose own has been older for a
// while: it may read the store or hear others.
func (r *Runner) tellPolicy(l *link, now time.Duration) {
	s := r.policy.State()
	if s == nil || l.out == nil || l.revision >= s.Revision {
		l.behindSince = 0
		return
	}
	if l.behindSince == 0 {
		l.behindSince = now
	}
	if now-l.behindSince < r.tellDelay {
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
