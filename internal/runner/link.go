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
	// heartbeatInterval is the time between two heartbeats on a connection.
	heartbeatInterval = 100 * time.Millisecond
	// eventRetention is how long events are kept for a dispatcher that is away.
	eventRetention = 5 * time.Second
	// firstFrameTimeout bounds the wait for a connection's first frame.
	firstFrameTimeout = 2 * time.Second
)

// frameOutbox are what waits to be sent on a connection.
type frameOutbox = outbox.Outbox[*pb.RunnerFrame]

// dispatcher is what the runner holds for one dispatcher. It belongs to the
// runner's lock.
type dispatcher struct {
	name        string
	incarnation string
	// outbox is the outbox of the present connection, nil while there is none.
	outbox *frameOutbox
	cancel context.CancelFunc
	// ended is closed when the present connection's handler has returned.
	ended chan struct{}
	// unsent are events that wait for a connection.
	unsent []*pb.RunEvent
	// leaseEnd is when the dispatcher's runs are stopped, lapsed is set once
	// they were.
	leaseEnd time.Duration
	lapsed   bool
	// lastOrder is the number of the last order on the present connection.
	lastOrder uint64
	// stateChanged is set while a newer state than the last one sent is known, sentAt
	// is when the last frame was sent.
	stateChanged bool
	lastFrameAt  time.Duration
	// lastHeartbeatAt is when the last heartbeat was sent.
	lastHeartbeatAt time.Duration
	// stateInterval is the least time between two states that go alone.
	stateInterval time.Duration
	// policyRevision is the newest policy that the dispatcher said it has, and
	// behindSince since when it has been older than the runner's own.
	policyRevision   uint64
	policyStaleSince time.Duration
}

// serveDispatcher serves a dispatcher's connection. Its first frame names the
// dispatcher.
func (r *Runner) serveDispatcher(c *stream.Conn) {
	first := &pb.DispatcherFrame{}
	hello := time.AfterFunc(firstFrameTimeout, c.Close)
	err := c.Receive(first)
	hello.Stop()
	if err == nil && (first.GetDispatcher() == "" || first.GetIncarnation() == "") {
		err = result.Errorf(result.Malformed, "the first frame must name the dispatcher")
	}
	if err != nil {
		r.log.Warn("link: connection refused", zap.Error(err))
		return
	}
	ctx, cancel := context.WithCancel(r.baseCtx)
	defer cancel()
	l, out, ended := r.attach(first, func() {
		cancel()
		c.Close()
	})
	defer close(ended)
	r.log.Info("link: dispatcher connected", zap.String("dispatcher", l.name), zap.String("incarnation", l.incarnation))
	go r.receiveFrames(ctx, cancel, l, out, c)
	r.sendFrames(ctx, l, out, c)
	r.detach(l, out)
	r.log.Info("link: dispatcher disconnected", zap.String("dispatcher", l.name))
}

// attach makes the connection the dispatcher's present one. The one before it
// must have ended first: orders on it could still arrive.
func (r *Runner) attach(first *pb.DispatcherFrame, cancel context.CancelFunc) (*dispatcher, *frameOutbox, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closePrevious(first.GetDispatcher())
	l := r.dispatcherFor(first)
	ended := make(chan struct{})
	l.outbox = outbox.New[*pb.RunnerFrame]()
	l.cancel, l.ended = cancel, ended
	l.lastOrder, l.lapsed, l.policyRevision = 0, false, 0
	r.grantLease(l, clock.SinceBoot())
	l.outbox.Put(&pb.RunnerFrame{
		Runner: r.settings.Name, Incarnation: r.incarnation,
		Held: r.heldRuns(l), Beat: r.newHeartbeat(),
	})
	if len(l.unsent) > 0 {
		l.outbox.Put(&pb.RunnerFrame{Events: l.unsent})
		l.unsent = nil
	}
	l.stateChanged = true
	r.markStateChanged()
	return l, l.outbox, ended
}

// closePrevious ends the dispatcher's present connection and waits for its
// handler. It gives the lock up meanwhile, so that yet another connection may
// have come, which is ended as well.
func (r *Runner) closePrevious(dispatcher string) {
	var ended chan struct{}
	for {
		l := r.dispatchers[dispatcher]
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

// dispatcherFor is the link of the dispatcher's process; that of an earlier process
// ends with its runs.
func (r *Runner) dispatcherFor(first *pb.DispatcherFrame) *dispatcher {
	l := r.dispatchers[first.GetDispatcher()]
	if l != nil && l.incarnation == first.GetIncarnation() {
		return l
	}
	if l != nil {
		r.stopRunsOf(l, "dispatcher restarted")
	}
	l = &dispatcher{name: first.GetDispatcher(), incarnation: first.GetIncarnation()}
	r.dispatchers[l.name] = l
	return l
}

// owner is the name under which the dispatcher's runs are accounted.
func (l *dispatcher) owner() string { return l.name + "/" + l.incarnation }

// heldRuns lists the dispatcher's runs, waiting ones and those with kept events
// included.
func (r *Runner) heldRuns(l *dispatcher) []*pb.RunRef {
	owner := l.owner()
	var all []*pb.RunRef
	if s := r.session; s != nil {
		for _, run := range s.account.OwnedBy(owner) {
			all = append(all, runref.Encode(run))
		}
	}
	for _, o := range r.queue {
		if o.owner == owner {
			all = append(all, runref.Encode(o.run))
		}
	}
	for _, e := range l.unsent {
		all = append(all, e.GetRun())
	}
	return all
}

func (r *Runner) detach(l *dispatcher, out *frameOutbox) {
	out.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.outbox != out {
		return
	}
	l.outbox, l.cancel = nil, nil
	items, _ := out.TryTakeAll()
	for _, f := range items {
		l.unsent = append(l.unsent, f.GetEvents()...)
	}
}

// receiveFrames takes the dispatcher's frames.
func (r *Runner) receiveFrames(ctx context.Context, cancel context.CancelFunc, l *dispatcher, out *frameOutbox, c *stream.Conn) {
	defer cancel()
	for {
		f := &pb.DispatcherFrame{}
		if err := c.Receive(f); err != nil || ctx.Err() != nil {
			return
		}
		r.handleFrame(l, out, f)
	}
}

// handleFrame carries out what a frame asks for. A frame of a connection that has
// been replaced is dropped: the dispatcher has been told that its orders are
// not known, and may have placed them elsewhere.
func (r *Runner) handleFrame(l *dispatcher, out *frameOutbox, f *pb.DispatcherFrame) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.outbox != out {
		return
	}
	now := clock.SinceBoot()
	r.applyDispatcherHeartbeat(l, f.GetBeat(), now)
	r.applyPolicy(f.GetPolicy())
	r.acceptOrders(l, f.GetStarts(), now)
	for _, s := range f.GetStops() {
		r.stopRun(l.owner(), runref.Decode(s))
	}
	if len(f.GetStarts())+len(f.GetStops()) > 0 {
		r.markStateChanged()
	}
}

// applyDispatcherHeartbeat takes a heartbeat over, nil for none.
func (r *Runner) applyDispatcherHeartbeat(l *dispatcher, b *pb.DispatcherBeat, now time.Duration) {
	if b == nil {
		return
	}
	if b.GetEchoNs() > 0 {
		l.leaseEnd = max(l.leaseEnd, time.Duration(b.GetEchoNs())+lease.DispatcherTTL)
	}
	l.policyRevision = max(l.policyRevision, b.GetPolicyRevision())
	l.stateInterval = time.Duration(b.GetStateGapUs()) * time.Microsecond
	r.pushPolicy(l, now)
}

// acceptOrders accepts orders, or refuses them once the lease has lapsed: the
// dispatcher counts such runs as lost already.
func (r *Runner) acceptOrders(l *dispatcher, starts []*pb.RunOrder, now time.Duration) {
	lapsed := now > l.leaseEnd
	if lapsed && len(starts) > 0 {
		r.log.Warn("link: orders from a dispatcher whose lease has lapsed", zap.String("dispatcher", l.name), zap.Int("orders", len(starts)))
	}
	for _, s := range starts {
		o := newOrder(l.owner(), s, now)
		l.lastOrder = s.GetNumber()
		if lapsed {
			r.refuse(o, result.LeaseLapsed)
			continue
		}
		r.handleOrder(o, now)
	}
}
