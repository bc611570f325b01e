package faultinject

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

// Scenario is a load under random faults, with what must hold all the while and
// after it.
type Scenario struct {
	Callers *caller.Callers
	Checker *platformtest.Checker
	// Operator writes to the store that the system uses.
	Operator *platform.Store
	Rand     *rand.Rand
	Timing   Timing
	// ChooseFault draws a fault.
	ChooseFault func() Fault
	// Duration is how long faults are injected.
	Duration time.Duration
	// RecoveryTimeout is how long after the last fault jobs must be served
	// again.
	RecoveryTimeout time.Duration
	// EvacuatedDomain is a failure domain that is taken out of service at the end,
	// EvacuateWithin how long it may still get starts.
	EvacuatedDomain   string
	EvacuationTimeout time.Duration
}

// Run runs and checks, and logs the faults of a test that has failed.
func (r *Scenario) Run(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), r.Duration)
	defer cancel()
	var all []*caller.JobResult
	var faults []string
	var both sync.WaitGroup
	both.Go(func() { all = r.Callers.SendJobs(ctx, caller.FirstJobNumber) })
	both.Go(func() { faults = Inject(ctx, r.Rand, r.Timing, r.ChooseFault) })
	both.Wait()
	caller.CheckResults(t, r.Checker, all)
	r.Callers.CheckRecovery(t, r.RecoveryTimeout)
	r.Callers.CheckEvacuation(t, r.Operator, r.EvacuatedDomain, r.EvacuationTimeout, r.Checker)
	for _, f := range r.Checker.Violations() {
		t.Error(f)
	}
	if t.Failed() {
		t.Logf("faults injected:\n%s", strings.Join(faults, "\n"))
	}
}
