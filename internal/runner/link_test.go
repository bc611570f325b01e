package runner

import (
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

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
