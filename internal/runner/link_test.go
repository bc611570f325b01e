package runner

import (
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
)

// A dispatcher that has connected again was told which runs are known, and may
// have placed the others elsewhere. An order that its former stream still
// hands on must not be carried out.
func TestFramesOfAReplacedStreamAreDropped(t *testing.T) {
	s := DefaultSettings()
	r, err := New(&s, zap.NewNop())
	must.NoError(t, err)
	r.base = t.Context()
	first := &pb.DispatcherFrame{Dispatcher: "d", Incarnation: "1"}
	l, old, ended := r.attach(first, func() {})
	close(ended)
	again, present, _ := r.attach(first, func() {})
	must.True(t, l == again, must.Sprint("the same dispatcher"))
	order := &pb.DispatcherFrame{Starts: []*pb.RunOrder{{Run: &pb.RunRef{Task: "j.0.0.0", Attempt: 1}, Number: 1}}}

	r.take(l, old, order)
	must.Eq(t, 0, l.handled)
	must.False(t, answered(present))
	r.take(l, present, order)
	must.Eq(t, 1, l.handled)
	must.True(t, answered(present))
}

// answered tells whether an event waits to be sent.
func answered(out *frames) bool {
	items, _ := out.TakeNow()
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
	s := DefaultSettings()
	r, err := New(&s, zap.NewNop())
	must.NoError(t, err)
	r.base = t.Context()
	first := &pb.DispatcherFrame{Dispatcher: "d", Incarnation: "1"}
	l, _, ended := r.attach(first, func() {})
	close(ended)
	granted := l.leaseEnd
	must.Greater(t, clock.Boot(), granted)

	_, _, ended = r.attach(first, func() {})
	close(ended)
	must.Eq(t, granted, l.leaseEnd, must.Sprint("before the lease has lapsed"))

	l.leaseEnd = clock.Boot() - 1
	_, _, ended = r.attach(first, func() {})
	close(ended)
	must.Greater(t, clock.Boot(), l.leaseEnd, must.Sprint("after it, when all runs are stopped"))

	again, _, _ := r.attach(&pb.DispatcherFrame{Dispatcher: "d", Incarnation: "2"}, func() {})
	must.Greater(t, clock.Boot(), again.leaseEnd, must.Sprint("a new incarnation, which has no runs"))
}
