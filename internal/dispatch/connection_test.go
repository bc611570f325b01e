package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/test/fleet"
)

// connect adds a caller's connection to the job. The function disconnects the caller and
// returns once the end has arrived; nobody has read it.
func (j *job) connect(t *testing.T) (disconnect func()) {
	client, conn := fleet.ConnPair(t)
	// Test jobs begin with a caller that never leaves.
	j.connections = slices.DeleteFunc(j.connections, func(c callerConn) bool { return c.conn == nil })
	j.addConnection(&submission{connection: callerConn{done: t.Context().Done(), conn: conn}, openAt: clock.SinceBoot()})
	return func() {
		_ = client.Close()
		for end := time.Now().Add(5 * time.Second); !network.PeerClosed(conn); time.Sleep(time.Millisecond) {
			must.True(t, time.Now().Before(end))
		}
	}
}

// A dispatcher that is short of processor time reads the end of a caller's connection late.
// If it ordered the job's tasks until then, they would run twice: the caller may have sent
// the job to another dispatcher.
func TestWaitingJobWithoutCallerIsNotStarted(t *testing.T) {
	d, r := newServingDispatcher(t)
	left, waits, joined := d.enqueueTestJob("1", "r"), d.enqueueTestJob("2", "r"), d.enqueueTestJob("3", "r")
	disconnect := left.connect(t)
	waits.connect(t)
	first := joined.connect(t)
	joined.connect(t)
	disconnect()
	first()
	d.onFrame(r, r.outbox, readyFrame())
	must.True(t, left.answered)
	must.Eq(t, taskQueued, left.tasks[0][0].state)
	must.Eq(t, taskPlaced, waits.tasks[0][0].state)
	must.Eq(t, taskPlaced, joined.tasks[0][0].state, must.Sprint("one of two callers waits"))
	must.MapLen(t, 2, r.runs)
}

// An echoed heartbeat extends the lease of the dispatcher's runs. It must not extend that of
// a job whose caller has left.
func TestLeaseIsNotExtendedWithoutCaller(t *testing.T) {
	d, r, run := newDispatcherWithRun(t)
	disconnect := run.job.connect(t)
	d.onFrame(r, r.outbox, readyFrame())
	must.False(t, run.job.answered)
	disconnect()
	r.lastEchoAt = 0
	d.onFrame(r, r.outbox, readyFrame())
	must.True(t, run.job.answered)
	must.True(t, r.stopping[run.runID()])
}

// Orders that waited to be sent while the process was suspended must not be sent with the
// echo of a heartbeat that arrived after it: the runner would accept them.
func TestOrdersKeepTheirEcho(t *testing.T) {
	beat := func(echo int64) *pb.DispatcherBeat { return &pb.DispatcherBeat{EchoNs: echo} }
	f := mergeFrames([]*pb.DispatcherFrame{
		{Beat: beat(1)}, {Beat: beat(2), Starts: []*pb.RunOrder{{}}}, {Beat: beat(3), Starts: []*pb.RunOrder{{}}}, {Beat: beat(4)},
	})
	must.Eq(t, 2, f.GetBeat().GetEchoNs())
	must.Len(t, 2, f.GetStarts())
	must.Eq(t, 4, mergeFrames([]*pb.DispatcherFrame{{Beat: beat(1)}, {Stops: []*pb.RunRef{{}}}, {Beat: beat(4)}}).GetBeat().GetEchoNs())
}
