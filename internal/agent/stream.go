package agent

import (
	"context"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
)

// entryStream is the connect stream of an agent to an entry.
type entryStream = connect.BidiStreamForClient[pb.AgentFrame, pb.OwnerFrame]

// errEntryTimeout ends a stream whose entry sends nothing.
var errEntryTimeout = errors.New("the entry is silent")

// stream is one live stream to one entry.
type stream struct {
	address string
	outbox  *outbox
	// lastReceived is the instant of the last frame from the entry.
	lastReceived atomic.Int64
	// lastSent is the instant after which the last outcomes or the last
	// acknowledgement were handed to the transport.
	lastSent atomic.Int64
	// lastHeartbeat is when the last heartbeat was sent, told the control revision
	// that it named.
	lastHeartbeat    atomic.Int64
	reportedRevision atomic.Uint64
	// lastEcho is the sending instant of the last heartbeat that was answered.
	lastEcho atomic.Int64
	// leavingConfirmed is set once a heartbeat with the mark leaving was
	// answered.
	leavingConfirmed atomic.Bool
	// leavingSentAt is the sending instant of the first heartbeat with the
	// mark leaving, zero before.
	leavingSentAt atomic.Int64
}

func newStream(address string, now time.Duration) *stream {
	st := &stream{address: address, outbox: newOutbox()}
	st.lastReceived.Store(int64(now))
	return st
}

// sinceReceived returns how long ago the entry was last heard.
func (st *stream) sinceReceived(now time.Duration) time.Duration {
	return now - time.Duration(st.lastReceived.Load())
}

// recordEcho notes the answer to a heartbeat.
func (st *stream) recordEcho(sent int64) {
	st.lastEcho.Store(max(sent, st.lastEcho.Load()))
	since := st.leavingSentAt.Load()
	if since != 0 && sent >= since {
		st.leavingConfirmed.Store(true)
	}
}

// confirmed tells whether the entry has all outcomes that were queued: a
// heartbeat that was sent after them has been answered.
func (st *stream) confirmed() bool {
	return st.outbox.empty() && st.lastEcho.Load() > st.lastSent.Load()
}

// attach opens a stream to an entry and serves it until it breaks, falls
// silent, or ctx ends.
func (a *Agent) attach(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := a.dispatchClient(address).Attach(ctx)
	st := newStream(address, a.now())
	a.streams.add(st)
	defer a.removeStream(st)
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
func (a *Agent) write(ctx context.Context, w *entryStream, st *stream) error {
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
			if st.sinceReceived(a.now()) > receiveTimeout {
				return errEntryTimeout
			}
			if a.heartbeatDue(st) {
				st.outbox.addHeartbeat()
			}
		case <-st.outbox.ready:
		}
		if err := a.flush(w, st); err != nil {
			return err
		}
	}
}

// standbyHeartbeatFactor is how many times longer the time between heartbeats is on the
// stream to an entry that does not own the cell.
const standbyHeartbeatFactor = 3

// heartbeatDue tells at a tick whether a heartbeat must go by itself. One that went
// with outcomes since the last tick counts.
func (a *Agent) heartbeatDue(st *stream) bool {
	interval := a.settings.Heartbeat.Std()
	if a.delivery.ownerStream() != st && !a.gate.State(a.now()).Leaving {
		interval *= standbyHeartbeatFactor
	}
	return st.sinceHeartbeat(a.now()) > interval-a.settings.Heartbeat.Std()/2
}

// piggybackHeartbeat tells whether a heartbeat goes with outcomes, which costs no
// message of its own.
func (a *Agent) piggybackHeartbeat(st *stream, c batch) bool {
	return len(c.outcomes) > 0 && st.sinceHeartbeat(a.now()) > a.settings.Heartbeat.Std()/2
}

func (st *stream) sinceHeartbeat(now time.Duration) time.Duration {
	return now - time.Duration(st.lastHeartbeat.Load())
}

// flush sends all that waits.
func (a *Agent) flush(w *entryStream, st *stream) error {
	for {
		c, ok := st.outbox.next()
		if !ok {
			return nil
		}
		frame := &pb.AgentFrame{Outcomes: c.outcomes, FenceAck: c.ack}
		c.heartbeat = c.heartbeat || a.piggybackHeartbeat(st, c)
		if c.heartbeat {
			frame.Heartbeat = a.heartbeat(st)
		}
		if err := w.Send(frame); err != nil {
			return err
		}
		if c.ack != nil || len(c.outcomes) > 0 {
			st.lastSent.Store(int64(a.now()))
		}
		st.outbox.markSent()
		a.countSent(c)
	}
}

// read handles the entry's frames.
func (a *Agent) read(ctx context.Context, w *entryStream, st *stream) error {
	for {
		frame, err := w.Receive()
		if err != nil {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		st.lastReceived.Store(int64(a.now()))
		a.handleFrame(st, frame)
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
	st.lastHeartbeat.Store(int64(now))
	st.reportedRevision.Store(state.ControlRevision)
	if state.Leaving {
		st.leavingSentAt.CompareAndSwap(0, int64(now))
	}
	return &pb.Heartbeat{
		SentNs:          int64(now),
		Leaving:         state.Leaving,
		Running:         uint32(state.Running),
		ControlRevision: state.ControlRevision,
	}
}
