package schedtest

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/sched"
)

// loadResult sums up the results of one load over several seeds.
type loadResult struct {
	jobs, refused, expired int
	// goodput is in multiples of the fleet's capacity.
	goodput float64
}

func runLoad(t *testing.T, cfg sched.Config, load float64, timeout time.Duration) loadResult {
	const length, seeds = 120 * time.Second, 4
	var r loadResult
	for seed := uint64(1); seed <= seeds; seed++ {
		workload := mixedWorkload(load, length)
		workload.Timeout = timeout
		res := newCheckedReplay(t, cfg, oneTeam, workload.Jobs(seed)).Run()
		for i := range res.Outcomes {
			r.jobs++
			if res.Outcomes[i].Refused {
				r.refused++
			}
			if res.Outcomes[i].Expired {
				r.expired++
			}
		}
		r.goodput += res.Goodput(0, length).Seconds() / length.Seconds() / fleetSlots / seeds
	}
	return r
}

// TestOverloadKeepsGoodput guards against goodput collapsing, or many admitted
// jobs expiring, when up to four times the fleet's capacity is requested.
func TestOverloadKeepsGoodput(t *testing.T) {
	for _, timeout := range []time.Duration{10 * time.Second, 30 * time.Second} {
		peak := 0.0
		byLoad := map[float64]loadResult{}
		for _, load := range []float64{0.8, 0.9, 1, 1.2, 2, 4} {
			r := runLoad(t, sched.DefaultConfig(), load, timeout)
			byLoad[load] = r
			peak = max(peak, r.goodput)
			t.Logf("timeout %v, load %.1f: goodput %.3f, of %d jobs %.3f refused, %.3f expired",
				timeout, load, r.goodput, r.jobs, float64(r.refused)/float64(r.jobs), float64(r.expired)/float64(r.jobs))
		}
		for _, load := range []float64{2, 4} {
			must.GreaterEq(t, 0.95*peak, byLoad[load].goodput)
			must.Less(t, byLoad[load].jobs/50, byLoad[load].expired)
		}
	}
}
