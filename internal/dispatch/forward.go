package dispatch

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/directory"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/platform"
)

const (
	// forwardDialTimeout bounds the time to connect to a peer. The job waits meanwhile and
	// is then admitted here; between failure domains, a connection takes a few
	// milliseconds.
	forwardDialTimeout = 100 * time.Millisecond
	// forwardPingTimeout is both how long a connection to a peer may be silent before a
	// ping is sent, and how long the peer may take to answer it.
	forwardPingTimeout = time.Second
	// forwardIdleTimeout is how long an unused connection to a peer is kept.
	forwardIdleTimeout = 10 * time.Second
	// maxForwardedRetryAfter bounds the delay that a reply asks a caller for.
	maxForwardedRetryAfter = time.Minute
)

// newForwardClient returns a client with one connection for each peer in use.
func newForwardClient(n network.Network) *http.Client {
	dial := network.DialContextFunc(n, forwardDialTimeout)
	t := process.NewTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, &dialError{err}
		}
		return c, nil
	}, forwardPingTimeout)
	t.IdleConnTimeout = forwardIdleTimeout
	return &http.Client{Transport: t}
}

// dialError is the failure to open a connection.
type dialError struct{ err error }

func (e *dialError) Error() string { return e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// forwardedJob is a job that was forwarded to a peer. The dispatcher's lock guards its
// fields until ended is closed; then they don't change any more, except for the
// callers of the local job.
type forwardedJob struct {
	// job is the job as it would be admitted here.
	job    *job
	peer   directory.Node
	cancel context.CancelFunc
	// callerCount is the number of requests that wait for the answer.
	callerCount int
	// ended is closed when one of the three is set: the answer, or, if the job was proved
	// not to have been admitted at the peer, the local job or the error with which it was
	// refused here.
	ended    chan struct{}
	answered bool
	answer   platform.Answer
	local    *job
	err      error
}

// forward starts to forward a job. It is called with the lock held.
func (d *Dispatcher) forward(j *job, s *submission, peer directory.Node, now time.Duration) *forwardedJob {
	wait := j.deadline - now
	ctx, cancel := context.WithTimeout(d.runCtx, wait)
	f := &forwardedJob{job: j, peer: peer, cancel: cancel, callerCount: 1, ended: make(chan struct{})}
	d.handover.forwarded[j.spec.ID] = f
	d.log.Info("job: handed over", zap.String("job", j.spec.ID), zap.String("peer", peer.Name),
		zap.Duration("lag", d.handover.controller.Lag()), zap.Float64("fraction", d.handover.controller.Fraction()))
	request := &pb.SubmitRequest{
		Dispatcher: d.settings.Name, PolicyRevision: s.policyRevision, Host: s.host, Path: s.path, Body: s.body,
		WaitUs: wait.Microseconds(), Caller: s.caller,
	}
	d.forwards.Go(func() {
		defer cancel()
		reply, outcome, err := d.callPeer(ctx, peer.Address, request)
		d.onReply(f, reply, outcome, err)
	})
	return f
}

// forwardOutcome says what is known of a job after it was forwarded.
type forwardOutcome string

const (
	// forwardAnswered means that the peer has answered.
	forwardAnswered forwardOutcome = "answered"
	// forwardDeclined means that the peer has not admitted the job.
	forwardDeclined forwardOutcome = "declined"
	// forwardUnreached means that nothing was sent.
	forwardUnreached forwardOutcome = "unreached"
	// forwardUnknown means that the job may have run.
	forwardUnknown forwardOutcome = "unknown"
)

// callPeer sends a job to a peer.
func (d *Dispatcher) callPeer(ctx context.Context, address string, m *pb.SubmitRequest) (*pb.SubmitReply, forwardOutcome, error) {
	// Without a connection, nothing can have been sent. An error in opening one doesn't
	// prove that alone: a request may be sent again on another connection.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	response, err := newPeerServiceClient(d.forwardClient, address).Submit(ctx, connect.NewRequest(m))
	if err != nil {
		return nil, outcomeOfError(err, connected.Load()), err
	}
	return response.Msg, outcomeOfReply(response.Msg), nil
}

func outcomeOfError(err error, connected bool) forwardOutcome {
	var notConnected *dialError
	switch {
	case !connected && errors.As(err, &notConnected):
		return forwardUnreached
	case connect.CodeOf(err) == connect.CodeUnimplemented:
		// A version that takes no forwarded jobs.
		return forwardDeclined
	}
	return forwardUnknown
}

// outcomeOfReply returns the outcome of a reply, which is unknown if it is malformed. One
// that declines and has a code contradicts itself: the job may have run.
func outcomeOfReply(m *pb.SubmitReply) forwardOutcome {
	switch {
	case m.GetDeclined() && m.Code == nil:
		return forwardDeclined
	case m.GetDeclined(), m.Code == nil, !result.Known(result.Code(m.GetCode())):
		return forwardUnknown
	}
	return forwardAnswered
}

// onReply ends a forwarded job. One that the peer has certainly not admitted is admitted
// here, as if it had just arrived; any other is only answered.
func (d *Dispatcher) onReply(f *forwardedJob, reply *pb.SubmitReply, outcome forwardOutcome, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.SinceBoot()
	if reply != nil {
		d.reportPeer(f.peer.Name, reply.GetLagUs(), reply.GetLoad(), now)
	}
	if f.answered {
		// All callers have disconnected or the job was cancelled, which has ended the call.
		return
	}
	d.metrics.recordHandover(d.runCtx, string(outcome))
	if outcome != forwardAnswered {
		// A call that ends with the caller's time says nothing about the peer.
		if connect.CodeOf(err) != connect.CodeDeadlineExceeded {
			d.handover.peers.Exclude(f.peer.Name, now)
		}
		d.log.Info("job: not answered by the peer", zap.String("job", f.job.spec.ID), zap.String("peer", f.peer.Name),
			zap.String("outcome", string(outcome)), zap.Error(err))
	}
	switch outcome {
	case forwardAnswered:
		retryAfter := min(max(reply.GetRetryAfterUs(), 0), maxForwardedRetryAfter.Microseconds())
		d.endForwarded(f, platform.Answer{
			Code: result.Code(reply.GetCode()), Failed: reply.GetFailed(), RetryAfter: time.Duration(retryAfter) * time.Microsecond,
		})
	case forwardDeclined, forwardUnreached:
		d.admitReturned(f, now)
	default:
		d.endForwarded(f, platform.Answer{Code: result.StillRunning})
	}
}

// endForwarded answers the callers of a forwarded job, and ends the call if that is still in
// progress: the peer then stops the runs. It is called with the lock held.
func (d *Dispatcher) endForwarded(f *forwardedJob, a platform.Answer) {
	if f.answered {
		return
	}
	f.answered, f.answer = true, a
	delete(d.handover.forwarded, f.job.spec.ID)
	d.log.Info("job: forwarded job ended", zap.String("job", f.job.spec.ID), zap.String("peer", f.peer.Name), zap.Stringer("code", a.Code),
		zap.Bool("failed", a.Failed), zap.Duration("took", clock.SinceBoot()-f.job.arrivedAt))
	f.cancel()
	close(f.ended)
}

// admitReturned admits a job that the peer has not admitted. It is called with the lock
// held, so that a resubmission finds either the forwarded or the local job.
func (d *Dispatcher) admitReturned(f *forwardedJob, now time.Duration) {
	f.answered = true
	delete(d.handover.forwarded, f.job.spec.ID)
	f.job.callerCount = f.callerCount
	if d.applyCrashHistory(f.job, now) {
		f.local = f.job
	} else {
		f.local, f.err = d.admitNew(f.job, now)
	}
	close(f.ended)
}

// awaitForwarded waits for a forwarded job on behalf of one caller, and reports whether
// it has ended. Otherwise the caller has disconnected; after the last one, the job is
// cancelled.
func (d *Dispatcher) awaitForwarded(ctx context.Context, f *forwardedJob) bool {
	select {
	case <-f.ended:
		return true
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case f.local != nil:
		d.removeCallerLocked(f.local)
	case !f.answered:
		if f.callerCount--; f.callerCount == 0 {
			d.log.Info("job: cancelled, all callers disconnected", zap.String("job", f.job.spec.ID), zap.String("peer", f.peer.Name))
			d.endForwarded(f, platform.Answer{Code: result.CancelledAfterStart})
		}
	}
	return false
}
