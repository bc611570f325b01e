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
	"github.com/pomelosill/pomelosill/internal/policy/exchange"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/runref"
	"github.com/pomelosill/pomelosill/internal/stream"
	"github.com/pomelosill/pomelosill/internal/work"
)

// linkRunner keeps a connection to a runner until ctx ends.
func (d *Dispatcher) linkRunner(ctx context.Context, n directory.Node) {
	d.mu.Lock()
	r := d.runners[n.Name]
	if r == nil {
		r = newRunner(n)
		d.runners[n.Name] = r
	}
	r.node = n
	d.mu.Unlock()
	pause := firstRedial
	for ctx.Err() == nil {
		before := r.connections.Load()
		err := d.runLink(ctx, r, n.Address)
		if r.connections.Load() > before {
			pause = firstRedial
			d.log.Warn("link: runner disconnected", zap.String("runner", n.Name), zap.Error(err))
		}
		clock.Sleep(ctx, pause)
		pause = min(2*pause, longestRedial)
	}
}

// runLink serves one connection.
func (d *Dispatcher) runLink(ctx context.Context, r *runner, address string) error {
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
	watchdog := time.AfterFunc(dialLimit, func() { cancel(errSilent) })
	defer watchdog.Stop()
	first := &pb.RunnerFrame{}
	if err := c.Receive(first); err != nil {
		return firstCause(ctx, err)
	}
	out := d.connected(r, first)
	defer d.disconnected(r, out)
	written := make(chan struct{})
	go func() {
		defer close(written)
		cancel(d.sendRunner(ctx, r, out, c))
	}()
	for {
		watchdog.Reset(silentLimit)
		f := &pb.RunnerFrame{}
		if err := c.Receive(f); err != nil {
			cancel(err)
			break
		}
		d.received(r, out, f)
	}
	<-written
	return context.Cause(ctx)
}

// connected reconciles the runs with what the runner knows.
func (d *Dispatcher) connected(r *runner, first *pb.RunnerFrame) *outbox.Outbox[*pb.DispatcherFrame] {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Boot()
	d.log.Info("link: runner connected", zap.String("runner", r.node.Name), zap.String("incarnation", first.GetIncarnation()), zap.Int("runs", len(r.runs)))
	if r.incarnation == first.GetIncarnation() {
		d.reconcile(r, first.GetHeld())
	} else {
		// The runs of the process before may go on until the new one has
		// stopped them; its first ready state says so.
		r.state = &pb.RunnerState{}
		r.inherited = true
	}
	r.incarnation = first.GetIncarnation()
	r.connections.Add(1)
	r.out = outbox.New[*pb.DispatcherFrame]()
	r.pending, r.numbers, r.revision = map[uint64]work.Resources{}, 0, 0
	d.takeBeat(r, first, now)
	for run := range r.stopping {
		r.out.Put(&pb.DispatcherFrame{Stops: []*pb.RunRef{runref.Encode(run)}})
	}
	return r.out
}

// reconcile queues tasks again whose runs the runner doesn't know.
func (d *Dispatcher) reconcile(r *runner, held []*pb.RunRef) {
	known := map[work.Run]bool{}
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
			d.handle(r, lostRun(run))
		}
	}
}

func (d *Dispatcher) disconnected(r *runner, out *outbox.Outbox[*pb.DispatcherFrame]) {
	d.mu.Lock()
	defer d.mu.Unlock()
	out.Close()
	if r.out == out {
		r.out = nil
	}
}

// received takes a frame over.
func (d *Dispatcher) received(r *runner, out *outbox.Outbox[*pb.DispatcherFrame], f *pb.RunnerFrame) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.out != out {
		return
	}
	now := clock.Boot()
	d.takeBeat(r, f, now)
	exchange.Take(d.policy, f.GetPolicy(), d.log)
	for _, e := range f.GetEvents() {
		d.handle(r, e)
	}
	if s := f.GetState(); s != nil {
		d.takeState(r, s)
	}
	if len(f.GetEvents()) > 0 || f.GetState() != nil {
		d.schedule(now)
	}
}

// takeBeat takes a heartbeat over and answers it: the runner's lease counts
// from the newest one that comes back.
func (d *Dispatcher) takeBeat(r *runner, f *pb.RunnerFrame, now time.Duration) {
	r.heardAt = now
	if b := f.GetBeat(); b != nil {
		r.echo, r.echoedAt = b.GetSentNs(), now
		r.revision = b.GetPolicyRevision()
		r.out.Put(d.beatFor(r))
	}
}

// takeState takes the endpoint's state over. The first ready state of a new
// runner process says that it has stopped what its predecessor started.
func (d *Dispatcher) takeState(r *runner, s *pb.RunnerState) {
	for n := range r.pending {
		if n <= s.GetHandled() {
			delete(r.pending, n)
		}
	}
	before := r.state
	r.state = s
	if before.GetReady() != s.GetReady() || before.GetHealthy() != s.GetHealthy() {
		d.log.Info("runner: state", zap.String("runner", r.node.Name), zap.Bool("ready", s.GetReady()), zap.Bool("healthy", s.GetHealthy()),
			zap.String("life", s.GetLife()), zap.Float64("speed", r.speed()))
	}
	if !s.GetReady() || !r.inherited {
		return
	}
	r.inherited = false
	for run := range r.runs {
		d.handle(r, lostRun(run))
	}
}

func lostRun(run work.Run) *pb.RunEvent {
	return &pb.RunEvent{
		Run: runref.Encode(run),
		End: pb.RunEnd_RUN_END_LOST, Code: uint32(result.EndpointGone),
	}
}

// checkRunner gives up the runs at a runner that has been out of reach for so
// long that they have surely been stopped.
func (d *Dispatcher) checkRunner(r *runner, now time.Duration) {
	if r.out != nil || len(r.runs) == 0 || now < r.echoedAt+lease.Lost(d.settings.LeaseMax.Std()) {
		return
	}
	d.log.Info("link: runner out of reach, runs given up", zap.String("runner", r.node.Name), zap.Int("runs", len(r.runs)),
		zap.Duration("silent", now-r.echoedAt))
	for run := range r.runs {
		d.handle(r, lostRun(run))
	}
}

// sendRunner is the connection's only writer after the first frame.
func (d *Dispatcher) sendRunner(ctx context.Context, r *runner, out *outbox.Outbox[*pb.DispatcherFrame], c *stream.Conn) error {
	for {
		changed := d.policy.Changed()
		items, closed := out.TakeNow()
		if len(items) > 0 {
			if err := c.Send(mergeFrames(items)); err != nil {
				return err
			}
			continue
		}
		if closed {
			return errSilent
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-out.Ready():
		case <-changed:
			d.mu.Lock()
			out.Put(d.beatFor(r))
			d.mu.Unlock()
		}
	}
}

// statesPerSecond is how many states that come alone a dispatcher wants to
// read from all runners together.
const statesPerSecond = 2500

// stateGap is the time between two such states of one runner.
func (d *Dispatcher) stateGap() time.Duration {
	return time.Duration(len(d.runners)) * time.Second / statesPerSecond
}

// beatFor is a heartbeat, with the policy if the runner's is older. It is
// called with the lock held.
func (d *Dispatcher) beatFor(r *runner) *pb.DispatcherFrame {
	f := &pb.DispatcherFrame{Beat: &pb.DispatcherBeat{EchoNs: r.echo, PolicyRevision: d.policy.Revision(), StateGapUs: d.stateGap().Microseconds()}}
	f.Policy = d.policyFor(r)
	return f
}

func mergeFrames(items []*pb.DispatcherFrame) *pb.DispatcherFrame {
	f := items[0]
	for _, it := range items[1:] {
		if it.GetBeat() != nil {
			f.Beat = it.GetBeat()
		}
		if it.GetPolicy() != nil {
			f.Policy = it.GetPolicy()
		}
		f.Starts = append(f.Starts, it.GetStarts()...)
		f.Stops = append(f.Stops, it.GetStops()...)
	}
	return f
}
