package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/workload"
)

// ForwardAll makes a starved dispatcher forward every job that may be forwarded, not only
// the fraction that it has reached. It must be called before Run.
func (d *Dispatcher) ForwardAll() { d.handover.random = func() float64 { return 0 } }

// admit admits a job without a caller's connection, or returns the running job with the
// same ID.
func (d *Dispatcher) admit(spec *workload.Job, route *policy.Route, caller string, now, deadline time.Duration) (*job, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	j, arrived, err := d.arrive(&submission{spec: spec, route: route, caller: caller, deadline: deadline}, now)
	if !arrived || err != nil {
		return j, err
	}
	return d.admitNew(j, now)
}

// mustConnect sets up the runner's state for a new connection.
func mustConnect(t testing.TB, d *Dispatcher, r *runner, first *pb.RunnerFrame, cancel context.CancelCauseFunc) {
	t.Helper()
	_, err := d.onConnected(t.Context(), r, first, cancel)
	must.NoError(t, err)
}
