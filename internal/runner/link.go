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
	"github.com/pomelosill/pomelosill/internal/runref"
	"github.com/pomelosill/pomelosill/internal/stream"
)

const (
	// beatEvery is the time between two heartbeats on a connection.
	beatEvery = 100 * time.Millisecond
	// forgetAfter is how long events are kept for a dispatcher that is away.
	forgetAfter = 5 * time.Second
	// helloTimeout bounds the wait for a connection's first frame.
	helloTimeout = 2 * time.Second
)

// frames are what waits to be sent on a connection.
type frames = outbox.Outbox[*pb.RunnerFrame]

// link is what the runner holds for one dispatcher. It belongs to the
// runner's lock.
type link struct {
	name        string
	incarnation string
	// out is the outbox of the present connection, nil while there is none.
	out    *frames
	cancel context.CancelFunc
	// ended is closed when the present connection's handler has returned.
	ended chan struct{}
	// kept are events that wait for a connection.
	kept []*pb.RunEvent
	// leaseEnd is when the dispatcher's runs are stopped, lapsed is set once
	// they were.
	leaseEnd time.Duration
	lapsed   bool
	// handled is the number of the last order on the present connection.
	handled uint64
	// dirty is set while a newer state than the last one sent is known, sentAt
	// is when the last frame was sent.
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

// attach makes the connection the dispatcher's present one. The one before it
// must have ended first: orders on it could still arrive.
func (r *Runner) attach(first *pb.DispatcherFrame, cancel context.CancelFunc) (*link, *frames, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endFormer(first.GetDispatcher())
	l := r.ensureLink(first)
	ended := make(chan struct{})
	l.out = outbox.New[*pb.RunnerFrame]()
	l.cancel, l.ended = cancel, ended
	l.handled, l.lapsed, l.revision = 0, false, 0
	r.grant(l, clock.Boot())
	l.out.Put(&pb.RunnerFrame{
		Runner: r.settings.Name, Incarnation: r.incarnation,
		Held: r.held(l), Beat: r.beat(),
	})
	if len(l.kept) > 0 {
		l.out.Put(&pb.RunnerFrame{Events: l.kept})
		l.kept = nil
	}
	l.dirty = true
	r.publish()
	return l, l.out, ended
}

// endFormer ends the dispatcher's present connection and waits for its
// handler. It gives the lock up meanwhile, so that yet another connection may
// have come, which is ended as well.
func (r *Runner) endFormer(dispatcher string) {
	var ended chan struct{}
	for {
		l := r.links[dispatcher]
		if l == nil || l.cancel == nil || l.ended == ended {
			return
		}
		ended = l.ended
		l.cancel()
		r.mu.Unlock()
		<-ended
		r.mu.Lock()
	}
}

// ensureLink is the link of the dispatcher's process; that of an earlier process
// ends with its runs.
func (r *Runner) ensureLink(first *pb.DispatcherFrame) *link {
	l := r.links[first.GetDispatcher()]
	if l != nil && l.incarnation == first.GetIncarnation() {
		return l
	}
	if l != nil {
		r.stopOwned(l, "dispatcher restarted")
	}
	l = &link{name: first.GetDispatcher(), incarnation: first.GetIncarnation()}
	r.links[l.name] = l
	return l
}

// owner is the name under which the dispatcher's runs are accounted.
func (l *link) owner() string { return l.name + "/" + l.incarnation }

// held lists the dispatcher's runs, waiting ones and those with kept events
// included.
func (r *Runner) held(l *link) []*pb.RunRef {
	owner := l.owner()
	var all []*pb.RunRef
	if s := r.session; s != nil {
		for _, run := range s.account.OwnedBy(owner) {
			all = append(all, runref.Encode(run))
		}
	}
	for _, o := range r.waiting {
		if o.owner == owner {
			all = append(all, runref.Encode(o.run))
		}
	}
	for _, e := range l.kept {
		all = append(all, e.GetRun())
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

// take carries out what a frame asks for. A frame of a connection that has
// been replaced is dropped: the dispatcher has been told that its orders are
// not known, and may have placed them elsewhere.
func (r *Runner) take(l *link, out *frames, f *pb.DispatcherFrame) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.out != out {
		return
	}
	now := clock.Boot()
	r.takeBeat(l, f.GetBeat(), now)
	r.takePolicy(f.GetPolicy())
	r.takeOrders(l, f.GetStarts(), now)
	for _, s := range f.GetStops() {
		r.stop(l.owner(), runref.Decode(s))
	}
	if len(f.GetStarts())+len(f.GetStops()) > 0 {
		r.publish()
	}
}

// takeBeat takes a heartbeat over, nil for none.
func (r *Runner) takeBeat(l *link, b *pb.DispatcherBeat, now time.Duration) {
	if b == nil {
		return
	}
	if b.GetEchoNs() > 0 {
		l.leaseEnd = max(l.leaseEnd, time.Duration(b.GetEchoNs())+lease.Dispatcher)
	}
	l.revision = max(l.revision, b.GetPolicyRevision())
	l.stateGap = time.Duration(b.GetStateGapUs()) * time.Microsecond
	r.tellPolicy(l, now)
}

// takeOrders accepts orders, or refuses them once the lease has lapsed: the
// dispatcher counts such runs as lost already.
func (r *Runner) takeOrders(l *link, starts []*pb.RunOrder, now time.Duration) {
	lapsed := now > l.leaseEnd
	if lapsed && len(starts) > 0 {
		r.log.Warn("link: orders from a dispatcher whose lease has lapsed", zap.String("dispatcher", l.name), zap.Int("orders", len(starts)))
	}
	for _, s := range starts {
		o := newOrder(l.owner(), s, now)
		l.handled = s.GetNumber()
		if lapsed {
			r.refuse(o, result.LeaseLapsed)
			continue
		}
		r.accept(o, now)
	}
}
