package runner

import (
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/runref"
	"github.com/pomelosill/pomelosill/internal/workload"
)

// newTestRunner is a runner that serves nothing and has no endpoint.
func newTestRunner(t *testing.T) *Runner {
	s := DefaultSettings()
	s.Name = "r"
	r, err := New(network.TCP, &s, zap.NewNop())
	must.NoError(t, err)
	r.baseCtx = t.Context()
	return r
}

// A dispatcher that has connected again was told which runs are known, and may
// have placed the others elsewhere. An order that its former stream still
// hands on must not be carried out.
func TestFramesOfAReplacedStreamAreDropped(t *testing.T) {
	r := newTestRunner(t)
	first := &pb.DispatcherFrame{Dispatcher: "d", Incarnation: "1"}
	l, old, ended := r.attach(first, func() {})
	close(ended)
	again, present, _ := r.attach(first, func() {})
	must.True(t, l == again, must.Sprint("the same dispatcher"))
	order := &pb.DispatcherFrame{Starts: []*pb.RunOrder{{Run: &pb.RunRef{Task: "j.0.0.0", Attempt: 1}, Number: 1}}}

	r.handleFrame(l, old, order)
	must.Eq(t, 0, l.lastOrder)
	must.False(t, hasEvents(present))
	r.handleFrame(l, present, order)
	must.Eq(t, 1, l.lastOrder)
	must.True(t, hasEvents(present))
}

// hasEvents tells whether an event waits to be sent.
func hasEvents(out *frameOutbox) bool {
	items, _ := out.TryTakeAll()
	for _, f := range items {
		if len(f.GetEvents()) > 0 {
			return true
		}
	}
	return false
}

// The first frame of a new connection may have been held up by a cut for as
// long as the lease lasts. If it prolonged the lease, runs could go on for
// almost two leases after the last echo.
func TestConnectingDoesNotProlongTheLease(t *testing.T) {
	r := newTestRunner(t)
	first := &pb.DispatcherFrame{Dispatcher: "d", Incarnation: "1"}
	l, _, ended := r.attach(first, func() {})
	close(ended)
	granted := l.leaseEnd
	must.Greater(t, clock.SinceBoot(), granted)

	_, _, ended = r.attach(first, func() {})
	close(ended)
	must.Eq(t, granted, l.leaseEnd, must.Sprint("before the lease has lapsed"))

	l.leaseEnd = clock.SinceBoot() - 1
	_, _, ended = r.attach(first, func() {})
	close(ended)
	must.Greater(t, clock.SinceBoot(), l.leaseEnd, must.Sprint("after it, when all runs are stopped"))

	again, _, _ := r.attach(&pb.DispatcherFrame{Dispatcher: "d", Incarnation: "2"}, func() {})
	must.Greater(t, clock.SinceBoot(), again.leaseEnd, must.Sprint("a new incarnation, which has no runs"))
}

// The dispatcher counts runs as lost once its lease has lapsed, and may have
// placed them elsewhere: orders that come late must not be carried out.
func TestOrdersAfterTheLeaseAreRefused(t *testing.T) {
	r := newTestRunner(t)
	l, out, _ := r.attach(&pb.DispatcherFrame{Dispatcher: "d", Incarnation: "1"}, func() {})
	out.TryTakeAll()
	l.leaseEnd = clock.SinceBoot() - 1
	r.handleFrame(l, out, &pb.DispatcherFrame{Starts: []*pb.RunOrder{{Run: &pb.RunRef{Task: "j.0.0.0", Attempt: 1}, Number: 1}}})
	items, _ := out.TryTakeAll()
	must.Len(t, 1, items)
	must.Len(t, 1, items[0].GetEvents())
	must.Eq(t, pb.RunEnd_RUN_END_REFUSED, items[0].GetEvents()[0].GetEnd())
	must.Eq(t, uint32(result.LeaseLapsed), items[0].GetEvents()[0].GetCode())
	must.Eq(t, 1, l.lastOrder)
}

// An event that waits for a connection to be written when it ends is neither
// lost nor forgotten among the runs that the next one is told of.
func TestUnsentEventsAreKept(t *testing.T) {
	r := newTestRunner(t)
	first := &pb.DispatcherFrame{Dispatcher: "d", Incarnation: "1"}
	l, out, ended := r.attach(first, func() {})
	out.TryTakeAll()
	run := workload.RunID{Task: "j.0.0.0", Attempt: 1}
	r.sendEvent(l.owner(), newRunEvent(run, endDone, result.OK, 0))
	r.detach(l, out)
	close(ended)

	_, out, _ = r.attach(first, func() {})
	items, _ := out.TryTakeAll()
	f := &pb.RunnerFrame{}
	for _, it := range items {
		mergeFrame(f, it)
	}
	must.Len(t, 1, f.GetHeld())
	must.Len(t, 1, f.GetEvents())
	must.Eq(t, run, runref.Decode(f.GetEvents()[0].GetRun()))
}
