package dispatch

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/lease"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/runref"
	"github.com/pomelosill/pomelosill/internal/stream"
)

// newDispatcherWithRun returns a dispatcher with a run at its runner.
func newDispatcherWithRun(t *testing.T) (*Dispatcher, *runner, *task) {
	d, r := newServingDispatcher(t)
	run := d.admitTestJob(t, "j").tasks[0][0]
	run.attempt, run.state = 1, taskPlaced
	r.runs[run.runID()] = run
	return d, r, run
}

// A runner keeps the ends that it could not send, and sends them with the first
// frame of the next connection. The job must not wait for them until it expires.
func TestEndsInTheFirstFrameAreApplied(t *testing.T) {
	d, r, run := newDispatcherWithRun(t)
	d.onDisconnected(r, r.outbox)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ref := runref.Encode(run.runID())
	server := stream.Serve(l, func(c *stream.Conn) {
		_ = c.Receive(&pb.DispatcherFrame{})
		_ = c.Send(&pb.RunnerFrame{
			Runner: "r-0", Incarnation: "1", Beat: &pb.RunnerBeat{SentNs: int64(clock.SinceBoot())}, Held: []*pb.RunRef{ref},
			Events: []*pb.RunEvent{{Run: ref, End: pb.RunEnd_RUN_END_DONE}},
		})
		_ = c.Receive(&pb.DispatcherFrame{})
		time.Sleep(time.Second)
	}, zap.NewNop())
	defer server.Close()
	go func() { _ = d.serveRunnerConnection(t.Context(), r, l.Addr().String()) }()
	select {
	case a := <-run.job.answer:
		must.Eq(t, result.OK, a.Code)
	case <-time.After(500 * time.Millisecond):
		t.Error("the end of the run was not applied")
	}
}

// A runner that was replaced has not stopped its predecessor's runs yet, and doesn't
// list them, when its first connection breaks: they must not be started elsewhere.
func TestRunsOfAReplacedRunnerAreKeptThroughAReconnect(t *testing.T) {
	d, r, run := newDispatcherWithRun(t)
	for range 2 {
		d.onDisconnected(r, r.outbox)
		mustConnect(t, d, r, &pb.RunnerFrame{Incarnation: "2"}, func(error) {})
		must.MapLen(t, 1, r.runs)
	}
	d.onFrame(r, r.outbox, &pb.RunnerFrame{State: &pb.RunnerState{Ready: true}})
	must.MapEmpty(t, r.runs, must.Sprint("they have been stopped"))
	must.Eq(t, taskQueued, run.state)
}

// A runner that is replaced at another address has another endpoint. Its predecessor may
// still be alive, with its runs: they must not be started elsewhere before their leases
// have expired, and none of the new process's runs may be taken for one of them.
func TestRunsOfAMovedRunnerAreKeptUntilTheirLeaseEnds(t *testing.T) {
	d, r, run := newDispatcherWithRun(t)
	lastHeartbeat := clock.SinceBoot()
	r.heartbeatReceivedAt = lastHeartbeat
	for _, address := range []string{"a:1", "b:1"} {
		d.onDisconnected(r, r.outbox)
		d.checkMoved(t.Context(), r, address, address)
		mustConnect(t, d, r, &pb.RunnerFrame{Incarnation: address}, func(error) {})
	}
	d.onFrame(r, r.outbox, readyFrame())
	must.MapLen(t, 1, r.runs)
	must.Eq(t, 1, run.attempt)
	must.False(t, r.usable(r.lastFrameAt))
	leaseEnd := lastHeartbeat + lease.RunnerLossTimeout(d.settings.LeaseMax.Std())
	d.endInheritedRuns(r, leaseEnd-1)
	must.MapLen(t, 1, r.runs)
	d.endInheritedRuns(r, leaseEnd)
	must.MapEmpty(t, r.runs)
	must.Eq(t, taskQueued, run.state)
	must.True(t, r.usable(r.lastFrameAt))
}

// The first frame on the connection to a runner's former address may be read after the one to
// its next address is in use. It must not take its place: the frames of the runner that has
// the dispatcher's runs would be ignored, and the runs count as those of an earlier process.
func TestEndedConnectionDoesNotReplaceTheNextOne(t *testing.T) {
	d, r, run := newDispatcherWithRun(t)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	before := r.outbox
	d.checkMoved(ended, r, "former", "a:9")
	_, err := d.onConnected(ended, r, &pb.RunnerFrame{Incarnation: "former"}, func(error) {})
	must.ErrorIs(t, err, context.Canceled)
	must.True(t, r.outbox == before)
	d.onFrame(r, r.outbox, readyFrame())
	must.MapLen(t, 1, r.runs)
	must.Eq(t, taskPlaced, run.state)
}
