package runner

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/admission"
	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/lease"
	"github.com/pomelosill/pomelosill/internal/outbox"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/runref"
	"github.com/pomelosill/pomelosill/internal/stream"
)

const (
	// heartbeatInterval is the time between two heartbeats on a connection in
	// use, and idleHeartbeatInterval on any other.
	heartbeatInterval     = lease.HeartbeatInterval
	idleHeartbeatInterval = lease.IdleHeartbeatInterval
	// useRetention is how long a connection counts as in use after the last
	// order: a dispatcher comes back to the runners whose state it knows.
	useRetention = 250 * time.Millisecond
	// maxStateInterval bounds the interval that a dispatcher may ask for.
	maxStateInterval = time.Second
	// silenceTimeout is the time without a frame after which a connection is
	// closed.
	silenceTimeout = 3 * time.Second
	// eventRetention is how long events are kept for a disconnected dispatcher
	// after its lease has expired.
	eventRetention = 5 * time.Second
	// firstFrameTimeout bounds the wait for the first frame on a connection.
	firstFrameTimeout = 2 * time.Second
)

// frameOutbox queues the frames that are to be sent on a connection.
type frameOutbox = outbox.Outbox[*pb.RunnerFrame]

// dispatcher is the runner's state for one incarnation of a dispatcher; it
// outlives the dispatcher's connections. Its fields are guarded by Runner.mu.
type dispatcher struct {
	name        string
	incarnation string
	// outbox belongs to the current connection; nil while there is none.
	outbox *frameOutbox
	// cancel closes the current connection; nil while there is none.
	cancel context.CancelFunc
	// ended is closed when the handler of the current connection has returned.
	ended chan struct{}
	// unsent holds the events that could not be sent, for the next connection.
	unsent []*pb.RunEvent
	// leaseEnd is when the dispatcher's runs are to be stopped; expired is set
	// once they have been.
	leaseEnd time.Duration
	expired  bool
	// lastOrder is the number of the last order that was handled on the current
	// connection. It is sent with the state, which includes all orders up to
	// it.
	lastOrder uint64
	// lastOrderAt is when the last order was received, and lastReceivedAt when
	// the last frame was.
	lastOrderAt    time.Duration
	lastReceivedAt time.Duration
	// stateChanged is set while the state has changed since it was last sent;
	// stateUrgent while the endpoint's availability has. lastFrameAt is when the
	// last frame was sent.
	stateChanged bool
	stateUrgent  bool
	lastFrameAt  time.Duration
	// lastHeartbeatAt is when the last heartbeat was sent.
	lastHeartbeatAt time.Duration
	// stateInterval is the minimum time between a frame and a later frame that
	// carries only the state, on a connection in use. The dispatcher sets it.
	stateInterval time.Duration
	// linkLoad is the load in the dispatcher's last heartbeat.
	linkLoad float64
	// linkDemand and linkCallers are the demand by level and the number of callers in
	// the last heartbeat, zero if it doesn't tell them.
	linkDemand  admission.ByLevel
	linkCallers float64
	// policyRevision is the newest policy revision that the dispatcher is known
	// to have.
	policyRevision uint64
	// askedNs is the dispatcher's clock in its last heartbeat that asked for a confirmation
	// of the policy, received at askedAt; zero if there was none.
	askedNs int64
	askedAt time.Duration
}

// serveDispatcher serves a connection of a dispatcher. The first frame names
// the dispatcher and its incarnation.
func (r *Runner) serveDispatcher(c *stream.Conn) {
	first := &pb.DispatcherFrame{}
	timer := time.AfterFunc(firstFrameTimeout, c.Close)
	err := c.Receive(first)
	timer.Stop()
	if err == nil && (first.GetDispatcher() == "" || first.GetIncarnation() == "") {
		err = result.Errorf(result.Malformed, "the first frame must have the name and the incarnation of the dispatcher")
	}
	if err != nil {
		r.log.Warn("dispatcher: connection rejected", zap.Error(err))
		return
	}
	ctx, cancel := context.WithCancel(r.baseCtx)
	defer cancel()
	d, out, ended := r.attach(first, func() {
		cancel()
		c.Close()
	})
	defer close(ended)
	r.log.Info("dispatcher: connected", zap.String("dispatcher", d.name), zap.String("incarnation", d.incarnation))
	go r.receiveFrames(ctx, cancel, d, out, c)
	r.sendFrames(ctx, d, out, c)
	r.detach(d, out)
	r.log.Info("dispatcher: disconnected", zap.String("dispatcher", d.name))
}

// attach makes the connection the dispatcher's current one. It first closes the
// previous connection and waits for its handler, because orders could still
// arrive on it.
func (r *Runner) attach(first *pb.DispatcherFrame, cancel context.CancelFunc) (*dispatcher, *frameOutbox, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closePrevious(first.GetDispatcher())
	d := r.dispatcherFor(first)
	ended := make(chan struct{})
	d.outbox = outbox.New[*pb.RunnerFrame]()
	d.cancel, d.ended = cancel, ended
	d.lastOrder, d.expired, d.policyRevision, d.askedNs = 0, false, 0, 0
	d.lastReceivedAt = clock.SinceBoot()
	r.grantLease(d, d.lastReceivedAt)
	d.outbox.Put(&pb.RunnerFrame{
		Runner: r.settings.Name, Incarnation: r.incarnation,
		Held: r.heldRuns(d), Beat: r.newHeartbeat(d), Crashes: r.encodeCrashes(),
	})
	if len(d.unsent) > 0 {
		d.outbox.Put(&pb.RunnerFrame{Events: d.unsent})
		d.unsent = nil
	}
	d.stateUrgent = true
	r.markStateChanged()
	return d, d.outbox, ended
}

// closePrevious closes the dispatcher's current connection and waits until its
// handler has returned. It releases the lock while it waits, so a further
// connection may be attached meanwhile; that one is closed as well.
func (r *Runner) closePrevious(dispatcher string) {
	var ended chan struct{}
	for {
		d := r.dispatchers[dispatcher]
		if d == nil || d.cancel == nil || d.ended == ended {
			return
		}
		ended = d.ended
		d.cancel()
		r.mu.Unlock()
		<-ended
		r.mu.Lock()
	}
}

// dispatcherFor returns the state of the dispatcher's incarnation. The runs of
// an earlier incarnation are stopped.
func (r *Runner) dispatcherFor(first *pb.DispatcherFrame) *dispatcher {
	d := r.dispatchers[first.GetDispatcher()]
	if d != nil && d.incarnation == first.GetIncarnation() {
		return d
	}
	if d != nil {
		r.stopRunsOf(d, "dispatcher restarted")
	}
	d = &dispatcher{name: first.GetDispatcher(), incarnation: first.GetIncarnation()}
	r.dispatchers[d.name] = d
	return d
}

// owner returns the name under which the dispatcher's runs are accounted.
func (d *dispatcher) owner() string { return d.name + "/" + d.incarnation }

// holdsRuns reports whether the dispatcher has runs or queued orders here.
func (r *Runner) holdsRuns(d *dispatcher) bool {
	owner := d.owner()
	if s := r.session; s != nil && s.tracker.HasRunOf(owner) {
		return true
	}
	return slices.ContainsFunc(r.queue, func(o *order) bool { return o.owner == owner })
}

// inUse reports whether the dispatcher has runs or queued orders here, or had
// recently. Only then it needs frequent heartbeats and the state at once.
func (r *Runner) inUse(d *dispatcher, now time.Duration) bool {
	return (d.lastOrderAt > 0 && now-d.lastOrderAt < useRetention) || r.holdsRuns(d)
}

// heldRuns lists the dispatcher's runs, including queued orders and runs whose
// end has not been reported yet.
func (r *Runner) heldRuns(d *dispatcher) []*pb.RunRef {
	owner := d.owner()
	var refs []*pb.RunRef
	if s := r.session; s != nil {
		for _, run := range s.tracker.OwnedBy(owner) {
			refs = append(refs, runref.Encode(run))
		}
	}
	for _, o := range r.queue {
		if o.owner == owner {
			refs = append(refs, runref.Encode(o.runID))
		}
	}
	for _, e := range d.unsent {
		refs = append(refs, e.GetRun())
	}
	return refs
}

func (r *Runner) detach(d *dispatcher, out *frameOutbox) {
	out.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.outbox != out {
		return
	}
	d.outbox, d.cancel = nil, nil
	items, _ := out.TryTakeAll()
	for _, f := range items {
		d.unsent = append(d.unsent, f.GetEvents()...)
	}
}
