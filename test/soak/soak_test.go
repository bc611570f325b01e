package soak

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/test/fleet"
	"github.com/pomelosill/pomelosill/test/trouble"
)

var (
	seeds = flag.Int("seeds", 2, "how many seeds to run")
	from  = flag.Uint64("from", 1, "the first seed")
	lasts = flag.Duration("lasts", 8*time.Second, "how long faults are injected under each seed")
)

// failedSeeds once failed: 104, 107, 109 and 122 with a task twice at once, as
// runs that a reborn endpoint had taken were given up with its former life, or
// a refusal was believed after a try without an answer.
var failedSeeds = []uint64{104, 107, 109, 122}

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(fleet.Main(m))
}

const (
	readyWithin = 20 * time.Second
	// recoverWithin is how long after the last fault jobs must be served
	// again.
	recoverWithin = 12 * time.Second
	// evacuateWithin is how long a failure domain may still get starts.
	evacuateWithin = 5 * time.Second
)

func TestSoak(t *testing.T) { trouble.Seeds(t, failedSeeds, *from, *seeds, soak) }

func soak(t *testing.T, seed uint64) {
	w := newWorld(t, seed)
	must.True(t, w.allReady(readyWithin), must.Sprint("never ready"))
	run := trouble.Run{
		Callers: w.callers(), Judge: w.judge, Operator: w.client, Rng: w.rng, Times: times, Choose: w.choose,
		Lasts: *lasts, RecoverWithin: recoverWithin, Evacuate: domainOf(0), EvacuateWithin: evacuateWithin,
	}
	run.Do(t)
}
