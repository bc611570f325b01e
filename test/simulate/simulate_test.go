package simulate

import (
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelosill/pomelosill/test/trouble"
)

var (
	seeds = flag.Int("seeds", 20, "how many seeds to run")
	from  = flag.Uint64("from", 1, "the first seed")
	lasts = flag.Duration("lasts", 10*time.Second, "how long faults are injected under each seed")
	logs  = flag.Bool("logs", false, "print the processes' logs of a seed that fails")
)

// failedSeeds once failed: 1022, in some runs, with a task twice at once, as an
// order that a cut held up reached the next life of the endpoint.
var failedSeeds = []uint64{1022}

const (
	readyWithin = 10 * time.Second
	// recoverWithin is how long after the last fault jobs must be served
	// again.
	recoverWithin = 8 * time.Second
	// evacuateWithin is how long a failure domain may still get starts.
	evacuateWithin = 2 * time.Second
)

func TestSimulated(t *testing.T) {
	trouble.Seeds(t, failedSeeds, *from, *seeds, func(t *testing.T, seed uint64) {
		synctest.Test(t, func(t *testing.T) { simulate(t, seed) })
	})
}

func simulate(t *testing.T, seed uint64) {
	w := newWorld(t, seed)
	defer w.close()
	run := trouble.Run{
		Callers: w.callers(), Judge: w.judge, Operator: w.client, Rng: w.rng, Times: times, Choose: w.choose,
		Lasts: *lasts, RecoverWithin: recoverWithin, Evacuate: domainOf(0), EvacuateWithin: evacuateWithin,
	}
	if w.allReady(readyWithin) {
		run.Do(t)
	} else {
		t.Error("never ready")
	}
	if t.Failed() && *logs {
		t.Log(w.log.String())
	}
}
