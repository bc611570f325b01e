package dispatch

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/directory"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/lease"
	"github.com/pomelosill/pomelosill/internal/outbox"
	"github.com/pomelosill/pomelosill/internal/policy/codec"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/runref"
	"github.com/pomelosill/pomelosill/internal/stream"
	"github.com/pomelosill/pomelosill/internal/workload"
)

// maintainRunnerConnection keeps a connection to a linked runner until ctx ends.
func (d *Dispatcher) maintainRunnerConnection(ctx context.Context, n directory.Node) {
	d.mu.Lock()
	r := d.runners[n.Name]
	d.mu.Unlock()
	if r == nil {
		return
	}
	pause := minRedialDelay
	for ctx.Err() == nil {
		before := r.connectionCount.Load()
		err := d.serveRunnerConnection(ctx, r, n.Address)
		if r.connectionCount.Load() > before {
			pause = minRedialDelay
			d.log.Warn("runner: disconnected", zap.String("runner", n.Name), zap.Error(err))
		}
		clock.Sleep(ctx, pause)
		pause = min(2*pause, maxRedialDelay)
	}
}

// serveRunnerConnection opens one connection and serves it until it ends.
func (d *Dispatcher) serveRunnerConnection(ctx context.Context, r *runner, address string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c, err := stream.Dial(ctx, d.network, address)
	if err != nil {
		return err
	}
	defer c.Close()
	context.AfterFunc(ctx, c.Close)
	if err := c.Send(&pb.DispatcherFrame{Dispatcher: d.settings.Name, Incarnation: d.incarnation}); err != nil {
		return err
	}
	watchdog := time.AfterFunc(handshakeTimeout, func() { cancel(errPeerSilent) })
	defer watchdog.Stop()
	first := &pb.RunnerFrame{}
	if err := c.Receive(first); err != nil {
		return causeOr(ctx, err)
	}
	watchdog.Stop()
	d.checkMoved(ctx, r, first.GetIncarnation(), address)
	out, err := d.onConnected(ctx, r, first, cancel)
	if err != nil {
		return err
	}
	defer d.onDisconnected(r, out)
	// The first frame may hold what the runner could not send before.
	d.onFrame(r, out, first)
	written := make(chan struct{})
	go func() {
		defer close(written)
		cancel(d.writeFrames(ctx, r, out, c))
	}()
	for {
		f := &pb.RunnerFrame{}
		if err := c.Receive(f); err != nil {
			cancel(err)
			break
		}
		d.onFrame(r, out, f)
	}
	<-written
	return context.Cause(ctx)
}

// checkMoved records the address of a new connection. A runner's process at another
// address than the one before has another endpoint. It can't stop the runs there, which
// continue until their leases have expired.
func (d *Dispatcher) checkMoved(ctx context.Context, r *runner, incarnation, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	if len(r.runs) > 0 && r.address != "" && r.address != address && r.incarnation != incarnation {
		r.formerUntil = max(r.formerUntil, r.heartbeatReceivedAt+lease.RunnerLossTimeout(d.settings.LeaseMax.Std()))
		d.log.Info("runner: moved", zap.String("runner", r.node.Name), zap.String("from", r.address), zap.String("to", address), zap.Int("runs", len(r.runs)))
	}
	r.address = address
}

// onConnected sets up the runner's state for a new connection and reconciles
// its runs. A connection that has ended by then changes nothing: one to the runner's next
// address may be in use, which is opened only after this one's context has ended.
func (d *Dispatcher) onConnected(ctx context.Context, r *runner, first *pb.RunnerFrame, cancel context.CancelCauseFunc) (*outbox.Outbox[*pb.DispatcherFrame], error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	now := clock.SinceBoot()
	d.log.Info("runner: connected", zap.String("runner", r.node.Name), zap.String("incarnation", first.GetIncarnation()), zap.Int("runs", len(r.runs)))
	switch {
	case r.incarnation != first.GetIncarnation():
		// Runs requested from the previous process may continue until the new
		// one has stopped them, which its first ready state confirms.
		r.state = &pb.RunnerState{}
		r.hasInheritedRuns = true
	case !r.hasInheritedRuns:
		d.reconcile(r, first.GetHeld())
	}
	r.incarnation = first.GetIncarnation()
	r.connectionCount.Add(1)
	r.outbox, r.cancel = outbox.New[*pb.DispatcherFrame](), cancel
	r.lastEchoAt, r.toldConfirmedAt = 0, 0
	r.unaccounted, r.lastOrderNumber, r.policyRevision = map[uint64]workload.Resources{}, 0, 0
	d.applyHeartbeat(r, first, now)
	for run := range r.stopping {
		r.outbox.Put(r.newStop(run))
	}
	return r.outbox, nil
}

// reconcile marks as lost the runs that the runner doesn't list as held.
func (d *Dispatcher) reconcile(r *runner, held []*pb.RunRef) {
	known := map[workload.RunID]bool{}
	for _, h := range held {
		known[runref.Decode(h)] = true
	}
	for run := range r.stopping {
		if !known[run] {
			delete(r.stopping, run)
		}
	}
	for run := range r.runs {
		if !known[run] {
			d.handleRunEvent(r, newLostEvent(run))
		}
	}
}

func (d *Dispatcher) onDisconnected(r *runner, out *outbox.Outbox[*pb.DispatcherFrame]) {
	d.mu.Lock()
	defer d.mu.Unlock()
	out.Close()
	if r.outbox == out {
		r.outbox = nil
	}
}

// onFrame applies a frame from the connection of out. It ignores the frame if
// the runner has another connection by now.
func (d *Dispatcher) onFrame(r *runner, out *outbox.Outbox[*pb.DispatcherFrame], f *pb.RunnerFrame) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.outbox != out {
		return
	}
	now := clock.SinceBoot()
	d.applyHeartbeat(r, f, now)
	codec.Apply(d.policy, f.GetPolicy(), d.log)
	if r.policyRevision > d.policy.Revision() {
		d.requestPolicy(now)
	}
	if f.GetWantsPolicy() {
		d.sendPolicy(r)
	}
	d.applyCrashes(f.GetCrashes(), now)
	for _, e := range f.GetEvents() {
		d.handleRunEvent(r, e)
	}
	if s := f.GetState(); s != nil {
		d.applyState(r, s)
	}
	if len(f.GetEvents()) > 0 || f.GetState() != nil {
		d.requestPass(now)
	}
}

// applyHeartbeat records when a frame was received, and echoes its heartbeat if
// that is due: the dispatcher's lease at the runner counts from the newest
// echoed one.
func (d *Dispatcher) applyHeartbeat(r *runner, f *pb.RunnerFrame, now time.Duration) {
	r.lastFrameAt = now
	if b := f.GetBeat(); b != nil {
		r.heartbeatSentNs, r.heartbeatReceivedAt = b.GetSentNs(), now
		r.policyRevision = b.GetPolicyRevision()
		d.confirmPolicy(b, now)
		if r.echoDue(d.policy.Revision(), now) || d.confirmationDue(r, now) {
			r.outbox.Put(d.newHeartbeat(r, now))
		}
	}
}

// applyState records the endpoint's state. The first ready state of a new
// runner process confirms that it has stopped the runs of its predecessor there.
func (d *Dispatcher) applyState(r *runner, s *pb.RunnerState) {
	r.account(s.GetHandled(), r.lastFrameAt)
	before := r.state
	r.state, r.stateAt = s, r.lastFrameAt
	if before.GetReady() != s.GetReady() || before.GetHealthy() != s.GetHealthy() || before.GetSlow() != s.GetSlow() {
		d.log.Info("runner: state changed", zap.String("runner", r.node.Name), zap.Bool("ready", s.GetReady()), zap.Bool("healthy", s.GetHealthy()), zap.Bool("slow", s.GetSlow()),
			zap.String("life", s.GetLife()), zap.Float64("speed", r.speed()))
	}
	d.endInheritedRuns(r, r.lastFrameAt)
}

// endInheritedRuns marks as lost the runs that were requested from an earlier process of
// the runner, once they must have ended: the runner is ready, and they were at its
// endpoint or can continue no longer elsewhere.
func (d *Dispatcher) endInheritedRuns(r *runner, now time.Duration) {
	if !r.state.GetReady() || !r.hasInheritedRuns || now < r.formerUntil {
		return
	}
	r.hasInheritedRuns, r.formerUntil = false, 0
	for run := range r.runs {
		d.handleRunEvent(r, newLostEvent(run))
	}
}

func newLostEvent(run workload.RunID) *pb.RunEvent {
	return &pb.RunEvent{
		Run: runref.Encode(run),
		End: pb.RunEnd_RUN_END_LOST, Code: uint32(result.EndpointGone),
	}
}

// dropRunsOfLostRunner marks the runs at a runner as lost once it has been
// unreachable for so long that they must have been stopped.
func (d *Dispatcher) dropRunsOfLostRunner(r *runner, now time.Duration) {
	if r.outbox != nil || len(r.runs) == 0 || now < r.heartbeatReceivedAt+lease.RunnerLossTimeout(d.settings.LeaseMax.Std()) {
		return
	}
	d.log.Info("runner: unreachable, its runs count as lost", zap.String("runner", r.node.Name), zap.Int("runs", len(r.runs)),
		zap.Duration("silent", now-r.heartbeatReceivedAt))
	for run := range r.runs {
		d.handleRunEvent(r, newLostEvent(run))
	}
}

// writeFrames sends the frames in the outbox, and a heartbeat whenever the
// policy has changed. It is the connection's only writer after the first frame.
func (d *Dispatcher) writeFrames(ctx context.Context, r *runner, out *outbox.Outbox[*pb.DispatcherFrame], c *stream.Conn) error {
	for {
		changed := d.policy.Changed()
		items, closed := out.TryTakeAll()
		if len(items) > 0 {
			if err := c.Send(mergeFrames(items)); err != nil {
				return err
			}
			continue
		}
		if closed {
			return errPeerSilent
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-out.Ready():
		case <-changed:
			d.mu.Lock()
			out.Put(d.newHeartbeat(r, clock.SinceBoot()))
			d.mu.Unlock()
		}
	}
}

// maxStatesPerSecond bounds the frames with only a state that a dispatcher
// receives from all runners together.
const maxStatesPerSecond = 1200

// stateInterval returns the minimum time between a frame of one runner and a
// later one with only a state. It is called with the lock held.
func (d *Dispatcher) stateInterval() time.Duration {
	return time.Duration(len(d.runners)) * time.Second / maxStatesPerSecond
}

// newHeartbeat returns a frame that echoes the runner's last heartbeat. The echo extends the
// lease of the runs there, so their callers are checked before. It is called with the lock held.
func (d *Dispatcher) newHeartbeat(r *runner, now time.Duration) *pb.DispatcherFrame {
	d.confirmCallers(r)
	r.lastEchoAt = now
	f := &pb.DispatcherFrame{Beat: &pb.DispatcherBeat{
		EchoNs: r.heartbeatSentNs, PolicyRevision: d.policy.Revision(),
		StateGapUs: d.stateInterval().Microseconds(), LinkLoad: d.linkLoad(now),
	}}
	d.addDemand(f.GetBeat(), now)
	d.addConfirmation(f.GetBeat(), r, now)
	return f
}

// mergeFrames merges queued frames. The echo is that of the first frame with orders, if
// there are any: a later one would let the runner accept orders that were decided on before
// the process was suspended.
func mergeFrames(items []*pb.DispatcherFrame) *pb.DispatcherFrame {
	f := items[0]
	echo := firstOrderEcho(items)
	for _, item := range items[1:] {
		if item.GetBeat() != nil {
			f.Beat = item.GetBeat()
		}
		if item.GetPolicy() != nil {
			f.Policy = item.GetPolicy()
		}
		f.WantsPolicy = f.GetWantsPolicy() || item.GetWantsPolicy()
		f.Starts = append(f.Starts, item.GetStarts()...)
		f.Stops = append(f.Stops, item.GetStops()...)
		f.Moves = append(f.Moves, item.GetMoves()...)
	}
	if echo > 0 {
		f.Beat.EchoNs = echo
	}
	return f
}

// firstOrderEcho returns the echo of the first frame with orders, zero if there is none.
func firstOrderEcho(items []*pb.DispatcherFrame) int64 {
	for _, item := range items {
		if len(item.GetStarts()) > 0 {
			return item.GetBeat().GetEchoNs()
		}
	}
	return 0
}
