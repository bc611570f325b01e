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

// errEntryTimeout ends a stream whose entry sends nothing for receiveTimeout.
var errEntryTimeout = errors.New("no frame received from the entry within the timeout")

// stream is the state of an open stream to an entry. The times are in
// nanoseconds on the agent's clock.
type stream struct {
	address string
	outbox  *outbox
	// lastReceived is when the last frame was received from the entry.
	lastReceived atomic.Int64
	// lastSent is when the transport had accepted the last outcomes or the
	// last acknowledgement.
	lastSent atomic.Int64
	// lastHeartbeat is when the last heartbeat was sent, and reportedRevision
	// the control revision in it.
	lastHeartbeat    atomic.Int64
	reportedRevision atomic.Uint64
	// lastEcho is when the last answered heartbeat was sent.
	lastEcho atomic.Int64
	// leavingConfirmed is set once the entry has answered a heartbeat that
	// says that the agent is leaving.
	leavingConfirmed atomic.Bool
	// leavingSentAt is when the first such heartbeat was sent; zero before.
	leavingSentAt atomic.Int64
}

func newStream(address string, now time.Duration) *stream {
	st := &stream{address: address, outbox: newOutbox()}
	st.lastReceived.Store(int64(now))
	return st
}

// sinceReceived returns the time since the last frame from the entry.
func (st *stream) sinceReceived(now time.Duration) time.Duration {
	return now - time.Duration(st.lastReceived.Load())
}

// recordEcho records that the entry has answered the heartbeat sent at sentAt.
func (st *stream) recordEcho(sentAt int64) {
	st.lastEcho.Store(max(sentAt, st.lastEcho.Load()))
	leavingSentAt := st.leavingSentAt.Load()
	if leavingSentAt != 0 && sentAt >= leavingSentAt {
		st.leavingConfirmed.Store(true)
	}
}

// confirmed reports whether the entry has received all queued outcomes: that is
// so once it has answered a heartbeat that was sent after them.
func (st *stream) confirmed() bool {
	return st.outbox.empty() && st.lastEcho.Load() > st.lastSent.Load()
}

// attach opens a stream to an entry and serves it until it fails, the entry
// stops sending, or ctx is done.
func (a *Agent) attach(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	rpc := a.dispatchClient(address).Attach(ctx)
	st := newStream(address, a.now())
	a.streams.add(st)
	defer a.removeStream(st)
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		cancel(a.write(ctx, rpc, st))
		// The transport only reacts to the end of ctx once the request body
		// has ended.
		_ = rpc.CloseRequest()
	}()
	err := a.read(ctx, rpc, st)
	cancel(err)
	<-writerDone
	_ = rpc.CloseResponse()
	return context.Cause(ctx)
}

// write is the only goroutine that sends on the stream. It returns the reason
// why it stopped.
func (a *Agent) write(ctx context.Context, rpc *entryStream, st *stream) error {
	if err := rpc.Send(&pb.AgentFrame{Hello: a.hello(), Heartbeat: a.heartbeat(st)}); err != nil {
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
		if err := a.flush(rpc, st); err != nil {
			return err
		}
	}
}

// standbyHeartbeatFactor multiplies the heartbeat interval on a stream to an
// entry that does not own the cell.
const standbyHeartbeatFactor = 3

// heartbeatDue reports, at a tick, whether a heartbeat must be sent by itself.
// It need not be if one was sent with outcomes since the last tick.
func (a *Agent) heartbeatDue(st *stream) bool {
	interval := a.settings.Heartbeat.Std()
	if a.delivery.ownerStream() != st && !a.gate.State(a.now()).Leaving {
		interval *= standbyHeartbeatFactor
	}
	return st.sinceHeartbeat(a.now()) > interval-a.settings.Heartbeat.Std()/2
}

// piggybackHeartbeat reports whether to send a heartbeat along with outcomes,
// which takes no additional message.
func (a *Agent) piggybackHeartbeat(st *stream, b batch) bool {
	return len(b.outcomes) > 0 && st.sinceHeartbeat(a.now()) > a.settings.Heartbeat.Std()/2
}

func (st *stream) sinceHeartbeat(now time.Duration) time.Duration {
	return now - time.Duration(st.lastHeartbeat.Load())
}

// flush sends everything that is queued.
func (a *Agent) flush(rpc *entryStream, st *stream) error {
	for {
		b, ok := st.outbox.next()
		if !ok {
			return nil
		}
		frame := &pb.AgentFrame{Outcomes: b.outcomes, FenceAck: b.ack}
		b.heartbeat = b.heartbeat || a.piggybackHeartbeat(st, b)
		if b.heartbeat {
			frame.Heartbeat = a.heartbeat(st)
		}
		if err := rpc.Send(frame); err != nil {
			return err
		}
		if b.ack != nil || len(b.outcomes) > 0 {
			st.lastSent.Store(int64(a.now()))
		}
		st.outbox.markSent()
		a.countSent(b)
	}
}

// read receives and handles the entry's frames.
func (a *Agent) read(ctx context.Context, rpc *entryStream, st *stream) error {
	for {
		frame, err := rpc.Receive()
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
