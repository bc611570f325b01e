package simulate

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelosill/pomelosill/test/faultinject"
)

var (
	seedCount     = flag.Int("seeds", 20, "how many seeds to run")
	firstSeed     = flag.Uint64("from", 1, "the first seed")
	faultDuration = flag.Duration("lasts", 10*time.Second, "how long faults are injected under each seed")
	printLogs     = flag.Bool("logs", false, "print the processes' logs of a seed that fails")
)

// failedSeeds once failed: 1022, in some runs, with a task twice at once, as an
// order that a cut held up reached the next life of the endpoint.
var failedSeeds = []uint64{1022}

const (
	readyTimeout = 10 * time.Second
	// recoveryTimeout is how long after the last fault jobs must be served
	// again.
	recoveryTimeout = 8 * time.Second
	// evacuationTimeout is how long a failure domain may still get starts.
	evacuationTimeout = 2 * time.Second
)

func TestSimulated(t *testing.T) {
	faultinject.RunSeeds(t, failedSeeds, *firstSeed, *seedCount, func(t *testing.T, seed uint64) {
		synctest.Test(t, func(t *testing.T) { runSeed(t, seed) })
	})
}

func runSeed(t *testing.T, seed uint64) {
	w := newCluster(t, seed)
	defer w.close()
	run := faultinject.Scenario{
		Callers: w.newCallers(), Checker: w.checker, Operator: w.operator, Rand: w.rng, Timing: faultTiming, ChooseFault: w.chooseFault,
		Duration: *faultDuration, RecoveryTimeout: recoveryTimeout, EvacuatedDomain: domainName(0), EvacuationTimeout: evacuationTimeout,
	}
	if w.allReady(readyTimeout) {
		run.Run(t)
	} else {
		t.Error("never ready")
	}
	if t.Failed() && *printLogs {
		t.Log(w.log.String())
	}
}
