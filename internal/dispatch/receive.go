package dispatch

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/platform"
)

// senderPingTimeout is how long the connection of a dispatcher that has forwarded jobs may be
// silent before a ping is sent, and how long the answer may take. A sender that is frozen or cut
// off is found after twice this time, and its jobs are cancelled: their callers send them again
// elsewhere after 1.3 s, when no run may be left. Runners give up a dispatcher after a similar
// silence.
const senderPingTimeout = 400 * time.Millisecond

// maxForwardedWait bounds how long a forwarded job's caller waits, so that the deadline
// that is computed from it doesn't overflow.
const maxForwardedWait = 24 * time.Hour

// errDeclined means that a forwarded job is not accepted.
var errDeclined = errors.New("forwarded job declined")

// Submit serves a job that another dispatcher has forwarded. It implements PeerService.
func (d *Dispatcher) Submit(ctx context.Context, request *connect.Request[pb.SubmitRequest]) (*connect.Response[pb.SubmitReply], error) {
	m := request.Msg
	if !d.acceptForwarded(m, clock.SinceBoot()) {
		return d.newReply(&pb.SubmitReply{Declined: true}), nil
	}
	defer d.releaseForwarded(m.GetDispatcher())
	j, refusal, err := d.admitForwarded(ctx, m)
	switch {
	case errors.Is(err, errDeclined):
		return d.newReply(&pb.SubmitReply{Declined: true}), nil
	case err != nil:
		return d.newReply(encodeAnswer(refusal)), nil
	}
	a, answered := d.awaitAnswer(ctx, j)
	if !answered {
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
	return d.newReply(encodeAnswer(a)), nil
}

func encodeAnswer(a platform.Answer) *pb.SubmitReply {
	return &pb.SubmitReply{Code: proto.Uint32(uint32(a.Code)), Failed: a.Failed, RetryAfterUs: a.RetryAfter.Microseconds()}
}

// newReply returns a response with the present lag and load.
func (d *Dispatcher) newReply(m *pb.SubmitReply) *connect.Response[pb.SubmitReply] {
	d.mu.Lock()
	defer d.mu.Unlock()
	m.LagUs, m.Load = d.ownReport(clock.SinceBoot())
	return connect.NewResponse(m)
}

// admitForwarded admits a forwarded job like one from a caller, but never forwards it
// again. If it is refused, the answer for the caller is returned with the error.
func (d *Dispatcher) admitForwarded(ctx context.Context, m *pb.SubmitRequest) (*job, platform.Answer, error) {
	s, err := d.decodeForwarded(m)
	now := clock.SinceBoot()
	s.connection, s.openAt = callerConn{done: ctx.Done()}, now
	if err == nil {
		wait := min(m.GetWaitUs(), maxForwardedWait.Microseconds())
		s.deadline = now + time.Duration(wait)*time.Microsecond
		var j *job
		if j, err = d.admitAccepted(s, now); err == nil || errors.Is(err, errDeclined) {
			return j, platform.Answer{}, err
		}
	}
	return nil, d.newRefusal(ctx, m.GetPath(), s.routeName(), err), err
}

// admitAccepted admits a forwarded job, or declines it if it was forwarded from here: if
// each of two dispatchers waited for the other's answer, none would come.
func (d *Dispatcher) admitAccepted(s *submission, now time.Duration) (*job, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.handover.forwarded[s.spec.ID] != nil {
		return nil, errDeclined
	}
	j, arrived, err := d.arrive(s, now)
	if !arrived || err != nil {
		return j, err
	}
	return d.admitNew(j, now)
}

// decodeForwarded returns the submission in a request, as far as it was decoded.
func (d *Dispatcher) decodeForwarded(m *pb.SubmitRequest) (*submission, error) {
	s := &submission{caller: m.GetCaller(), host: m.GetHost(), path: m.GetPath(), body: m.GetBody()}
	if m.GetWaitUs() <= 0 {
		return s, result.Errorf(result.Malformed, "the forwarded job has no time left")
	}
	if err := s.match(d.policy.Current()); err != nil {
		return s, err
	}
	return s, s.decode()
}
