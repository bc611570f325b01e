package agent

import (
	"context"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
)

// wire is the connect stream of an agent to an entry.
type wire = connect.BidiStreamForClient[pb.AgentFrame, pb.OwnerFrame]

// errSilent ends a stream whose entry sends nothing.
var errSilent = errors.New("the entry is silent")

// stream is one live stream to one entry.
type stream struct {
	address string
	out     *outbox
	// received is the instant of the last frame from the entry.
	received atomic.Int64
	// delivered is the instant after which the last outcomes or the last
	// acknowledgement were handed to the transport.
	delivered atomic.Int64
	// beaten is when the last heartbeat was sent, told the control revision
	// that it named.
	beaten atomic.Int64
	told   atomic.Uint64
	// echoed is the sending instant of the last heartbeat that was answered.
	echoed atomic.Int64
	// leavingEchoed is set once a heartbeat with the mark leaving was
	// answered.
	leavingEchoed atomic.Bool
	// leavingSince is the sending instant of the first heartbeat with the
	// mark leaving, zero before.
	leavingSince atomic.Int64
}

func newStream(address string, now time.Duration) *stream {
	st := &stream{address: address, out: newOutbox()}
	st.received.Store(int64(now))
	return st
}

// silence returns how long ago the entry was last heard.
func (st *stream) silence(now time.Duration) time.Duration {
	return now - time.Duration(st.received.Load())
}

// echo notes the answer to a heartbeat.
func (st *stream) echo(sent int64) {
	st.echoed.Store(max(sent, st.echoed.Load()))
	since := st.leavingSince.Load()
	if since != 0 && sent >= since {
		st.leavingEchoed.Store(true)
	}
}

// confirmed tells whether the entry has all outcomes that were queued: a
// heartbeat that was sent after them has been answered.
func (st *stream) confirmed() bool {
	return st.out.empty() && st.echoed.Load() > st.delivered.Load()
}

// attach opens a stream to an entry and serves it until it breaks, falls
// silent, or ctx ends.
func (a *Agent) attach(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := a.client(address).Attach(ctx)
	st := newStream(address, a.now())
	a.streams.add(st)
	defer a.dropStream(st)
	written := make(chan struct{})
	go func() {
		defer close(written)
		cancel(a.write(ctx, w, st))
		// The transport notices the end of ctx only once the request's body
		// has ended.
		_ = w.CloseRequest()
	}()
	err := a.read(ctx, w, st)
	cancel(err)
	<-written
	_ = w.CloseResponse()
	return context.Cause(ctx)
}

// write is the stream's only sender. It returns why it stopped.
func (a *Agent) write(ctx context.Context, w *wire, st *stream) error {
	if err := w.Send(&pb.AgentFrame{Hello: a.hello(), Heartbeat: a.heartbeat(st)}); err != nil {
		return err
	}
	a.counters.add(sentHello, 1)
	ticker := time.NewTicker(a.settings.Heartbeat.Std())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if st.silence(a.now()) > maxSilence {
				return errSilent
			}
			if a.beatDue(st) {
				st.out.addHeartbeat()
			}
		case <-st.out.wake:
		}
		if err := a.flush(w, st); err != nil {
			return err
		}
	}
}

// standbyBeats is how many times longer the time between heartbeats is on the
// stream to an entry that does not own the cell.
const standbyBeats = 3

// beatDue tells at a tick whether a heartbeat must go by itself. One that went
// with outcomes since the last tick counts.
func (a *Agent) beatDue(st *stream) bool {
	interval := a.settings.Heartbeat.Std()
	if a.delivery.current() != st && !a.gate.State(a.now()).Leaving {
		interval *= standbyBeats
	}
	return st.sinceBeat(a.now()) > interval-a.settings.Heartbeat.Std()/2
}

// ridesAlong tells whether a heartbeat goes with outcomes, which costs no
// message of its own.
func (a *Agent) ridesAlong(st *stream, c contents) bool {
	return len(c.outcomes) > 0 && st.sinceBeat(a.now()) > a.settings.Heartbeat.Std()/2
}

func (st *stream) sinceBeat(now time.Duration) time.Duration {
	return now - time.Duration(st.beaten.Load())
}

// flush sends all that waits.
func (a *Agent) flush(w *wire, st *stream) error {
	for {
		c, ok := st.out.take()
		if !ok {
			return nil
		}
		frame := &pb.AgentFrame{Outcomes: c.outcomes, FenceAck: c.ack}
		c.heartbeat = c.heartbeat || a.ridesAlong(st, c)
		if c.heartbeat {
			frame.Heartbeat = a.heartbeat(st)
		}
		if err := w.Send(frame); err != nil {
			return err
		}
		if c.ack != nil || len(c.outcomes) > 0 {
			st.delivered.Store(int64(a.now()))
		}
		st.out.sent()
		a.countSent(c)
	}
}

// read handles the entry's frames.
func (a *Agent) read(ctx context.Context, w *wire, st *stream) error {
	for {
		frame, err := w.Receive()
		if err != nil {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		st.received.Store(int64(a.now()))
		a.handle(st, frame)
	}
}

func (a *Agent) hello() *pb.Hello {
	return &pb.Hello{
		Endpoint:      a.settings.Endpoint,
		Incarnation:   a.incarnation,
		FailureDomain: a.settings.FailureDomain,
		Slots:         uint32(a.settings.Slots),
		Version:       a.version,
		Cell:          a.links.cell(),

		FreshnessNs:       int64(a.settings.Freshness),
		RecordRetentionNs: int64(a.settings.RecordRetention),
	}
}

func (a *Agent) heartbeat(st *stream) *pb.Heartbeat {
	now := a.now()
	state := a.gate.State(now)
	st.beaten.Store(int64(now))
	st.told.Store(state.ControlRevision)
	if state.Leaving {
		st.leavingSince.CompareAndSwap(0, int64(now))
	}
	return &pb.Heartbeat{
		SentNs:          int64(now),
		Leaving:         state.Leaving,
		Running:         uint32(state.Running),
		ControlRevision: state.ControlRevision,
	}
}
