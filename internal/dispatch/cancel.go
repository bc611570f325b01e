package dispatch

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/directory"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/platform"
)

// handleCancel cancels a job. The route of an open job need not be in the present
// configuration: the job was admitted by an earlier one, and its tasks run on. matchErr is
// the error with which a job on this path would be refused now. The answer to the caller is
// then that there is no such job (any more), because success would mean that the route is
// still served.
func (d *Dispatcher) handleCancel(w http.ResponseWriter, r *http.Request, s *submission, matchErr error) {
	cancelled, err := d.cancelAnywhere(r.Context(), s.host, s.path)
	switch {
	case err != nil:
		d.refuse(w, r, "", err)
	case cancelled && matchErr == nil:
		w.WriteHeader(http.StatusOK)
	case cancelled, matchErr == nil:
		w.WriteHeader(http.StatusGone)
	default:
		d.refuse(w, r, "", matchErr)
	}
}

const (
	// cancelCallTimeout bounds the call by which another dispatcher is asked to cancel a job.
	cancelCallTimeout = 400 * time.Millisecond
	// maxPeerCancels bounds the jobs for which other dispatchers are asked at the same time:
	// each costs a call to all of them.
	maxPeerCancels = 32
)

// cancelAnywhere cancels the job at a path, here or at another dispatcher, and reports whether
// it was open. Only the dispatcher that has admitted a job knows it, so all are asked, also one
// that has registered so recently that no watch has told of it. The error means that the job was
// not found, but may be open where there was no answer, or that too many jobs are being cancelled.
func (d *Dispatcher) cancelAnywhere(ctx context.Context, host, path string) (bool, error) {
	if d.cancelOpen(host, path) {
		return true, nil
	}
	id, ok := platform.JobID(path)
	if !ok {
		return false, nil
	}
	select {
	case d.peerCancels <- struct{}{}:
		defer func() { <-d.peerCancels }()
	default:
		return false, result.Errorf(result.Overloaded, "job %s is not cancelled: too many others are", id)
	}
	silent := 0
	peers, err := d.listedDispatchers(ctx)
	if err != nil {
		d.log.Info("job: not all dispatchers that may have it are known", zap.String("path", path), zap.Error(err))
		silent++
	}
	outcomes := d.cancelAtPeers(ctx, peers, &pb.CancelRequest{Host: host, Path: path})
	for outcome := range outcomes {
		switch outcome {
		case cancelFound:
			return true, nil
		case cancelUnanswered:
			silent++
		}
	}
	if silent > 0 {
		return false, result.Errorf(result.StillRunning, "job %s may be open at %d dispatchers that did not answer or are not known", id, silent)
	}
	return false, nil
}

// cancelOutcome says what is known of a job after a dispatcher was asked to cancel it.
type cancelOutcome int

const (
	// cancelNotFound means that the job is not open there.
	cancelNotFound cancelOutcome = iota
	// cancelFound means that it was, and has been cancelled.
	cancelFound
	// cancelUnanswered means that it may be.
	cancelUnanswered
)

// cancelAtPeers asks all of the dispatchers but this one at the same time. The channel has an
// outcome for each and is closed then.
func (d *Dispatcher) cancelAtPeers(ctx context.Context, peers []directory.Node, m *pb.CancelRequest) <-chan cancelOutcome {
	outcomes := make(chan cancelOutcome, len(peers))
	var calls sync.WaitGroup
	for _, n := range peers {
		if n.Name != d.settings.Name {
			calls.Go(func() { outcomes <- d.cancelAtPeer(ctx, n, m) })
		}
	}
	go func() {
		calls.Wait()
		close(outcomes)
	}()
	return outcomes
}

func (d *Dispatcher) cancelAtPeer(ctx context.Context, n directory.Node, m *pb.CancelRequest) cancelOutcome {
	ctx, cancel := context.WithTimeout(ctx, cancelCallTimeout)
	defer cancel()
	reply, err := newPeerServiceClient(d.forwardClient, n.Address).Cancel(ctx, connect.NewRequest(m))
	switch {
	case err == nil && reply.Msg.GetFound():
		return cancelFound
	case err == nil, errors.Is(err, syscall.ECONNREFUSED):
		// A process that has ended has no open jobs.
		return cancelNotFound
	}
	d.log.Info("job: a dispatcher that was asked to cancel it did not answer", zap.String("path", m.GetPath()), zap.String("peer", n.Name), zap.Error(err))
	return cancelUnanswered
}

// Cancel cancels a job that is open here. It implements PeerService.
func (d *Dispatcher) Cancel(_ context.Context, request *connect.Request[pb.CancelRequest]) (*connect.Response[pb.CancelReply], error) {
	found := d.cancelOpen(request.Msg.GetHost(), request.Msg.GetPath())
	return connect.NewResponse(&pb.CancelReply{Found: found}), nil
}

// cancelOpen cancels the job at a path if it runs here or was forwarded from here, and
// reports whether it does. If not, it isn't started here for a while.
func (d *Dispatcher) cancelOpen(host, path string) bool {
	id, ok := platform.JobID(path)
	if !ok {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	// The job's request may have been sent before and not been read yet, here or at
	// another dispatcher that is asked.
	d.cancelled.add(jobPath{host, path}, clock.SinceBoot())
	if f := d.handover.forwarded[id]; f != nil && f.job.route.LeadsTo(host, path, id) {
		d.log.Info("job: cancelled", zap.String("job", id), zap.String("peer", f.peer.Name))
		d.endForwarded(f, platform.Answer{Code: result.CancelledAfterStart})
		return true
	}
	j := d.jobs[id]
	if j == nil || !j.route.LeadsTo(host, path, id) {
		return false
	}
	d.log.Info("job: cancelled", zap.String("job", id))
	code := result.Cancelled
	if j.started() {
		code = result.CancelledAfterStart
	}
	d.finish(j, platform.Answer{Code: code})
	return true
}
