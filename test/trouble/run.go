package trouble

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pomelosill/pomelosill/platform"
	"github.com/pomelosill/pomelosill/platform/platformtest"
	"github.com/pomelosill/pomelosill/test/caller"
)

// Run is a load under random faults, with what must hold all the while and
// after it.
type Run struct {
	Callers *caller.Callers
	Judge   *platformtest.Judge
	// Operator writes to the store that the system uses.
	Operator *platform.Store
	Rng      *rand.Rand
	Times    Times
	// Choose draws a fault.
	Choose func() Fault
	// Lasts is how long faults are injected.
	Lasts time.Duration
	// RecoverWithin is how long after the last fault jobs must be served
	// again.
	RecoverWithin time.Duration
	// Evacuate is a failure domain that is taken out of service at the end,
	// EvacuateWithin how long it may still get starts.
	Evacuate       string
	EvacuateWithin time.Duration
}

// Do runs and checks, and logs the faults of a test that has failed.
func (r *Run) Do(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), r.Lasts)
	defer cancel()
	var all []*caller.Told
	var faults []string
	var both sync.WaitGroup
	both.Go(func() { all = r.Callers.Load(ctx, caller.FirstNumber) })
	both.Go(func() { faults = Inject(ctx, r.Rng, r.Times, r.Choose) })
	both.Wait()
	caller.Check(t, r.Judge, all)
	r.Callers.Recovers(t, r.RecoverWithin)
	r.Callers.Evacuates(t, r.Operator, r.Evacuate, r.EvacuateWithin, r.Judge)
	for _, f := range r.Judge.Faults() {
		t.Error(f)
	}
	if t.Failed() {
		t.Logf("faults injected:\n%s", strings.Join(faults, "\n"))
	}
}
