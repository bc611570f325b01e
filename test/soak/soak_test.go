package soak

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/platform"
	"github.com/pomelosill/pomelosill/test/caller"
	"github.com/pomelosill/pomelosill/test/fleet"
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
	// afterLoad keeps the numbers of later jobs apart.
	afterLoad = 1 << 32
)

func TestSoak(t *testing.T) {
	run := append([]uint64(nil), failedSeeds...)
	for i := range *seeds {
		run = append(run, *from+uint64(i))
	}
	for _, seed := range run {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soak(t, seed) })
	}
}

func soak(t *testing.T, seed uint64) {
	w := newWorld(t, seed)
	must.True(t, w.allReady(readyWithin), must.Sprint("never ready"))
	ctx, cancel := context.WithTimeout(t.Context(), *lasts)
	defer cancel()
	var all []*caller.Told
	var names []string
	var both sync.WaitGroup
	both.Go(func() { all = w.callers().Load(ctx, 1) })
	both.Go(func() { names = w.faults(ctx) })
	both.Wait()
	w.check(all)
	w.recovers()
	w.evacuates()
	for _, f := range w.judge.Faults() {
		t.Error(f)
	}
	if t.Failed() {
		t.Logf("faults injected:\n%s", strings.Join(names, "\n"))
	}
}

// check compares what callers were told with what the endpoints did.
func (w *world) check(all []*caller.Told) {
	served, refused := caller.Check(w.t, w.judge, all)
	w.t.Logf("%d jobs: %d served, %d refused", len(all), served, refused)
}

// recovers checks that jobs are served again soon after the last fault.
func (w *world) recovers() {
	began := time.Now()
	callers := w.callers()
	inRow := 0
	for number := uint64(afterLoad); inRow < len(w.entries)*2; number++ {
		e := w.entries[int(number)%len(w.entries)]
		if status, _ := callers.Post(e.listen, number); status == http.StatusOK {
			inRow++
		} else {
			inRow = 0
			time.Sleep(50 * time.Millisecond)
		}
		must.Less(w.t, recoverWithin, time.Since(began), must.Sprint("jobs are not served again"))
	}
	w.t.Logf("all dispatchers served again %s after the last fault", time.Since(began).Round(time.Millisecond))
}

// evacuates checks that a failure domain out of service gets no starts.
func (w *world) evacuates() {
	out := domainOf(0)
	_, err := w.client.CompareAndSwap(w.t.Context(), platform.PrefixEvacuate+out, 0, []byte("{}"), 0)
	must.NoError(w.t, err)
	time.Sleep(evacuateWithin)
	before := w.judge.StartsIn(out)
	ctx, cancel := context.WithTimeout(w.t.Context(), time.Second)
	defer cancel()
	w.check(w.callers().Load(ctx, 2*afterLoad))
	must.Eq(w.t, before, w.judge.StartsIn(out), must.Sprint("starts in a failure domain out of service"))
}
