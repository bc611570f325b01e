package schedtest

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/sched"
)

// loadResult is what a load led to, summed up over seeds.
type loadResult struct {
	jobs, refused, expired int
	// goodput is in fleets.
	goodput float64
}

func runLoad(t *testing.T, cfg sched.Config, load float64, timeout time.Duration) loadResult {
	const length, seeds = 120 * time.Second, 4
	var o loadResult
	for seed := uint64(1); seed <= seeds; seed++ {
		stream := mixedWorkload(load, length)
		stream.Timeout = timeout
		res := newCheckedReplay(t, cfg, oneTeam, stream.Jobs(seed)).Run()
		for i := range res.Outcomes {
			o.jobs++
			if res.Outcomes[i].Refused {
				o.refused++
			}
			if res.Outcomes[i].Expired {
				o.expired++
			}
		}
		o.goodput += res.Goodput(0, length).Seconds() / length.Seconds() / fleetSlots / seeds
	}
	return o
}

// TestOverload offers up to four times what the fleet can do.
func TestOverload(t *testing.T) {
	for _, timeout := range []time.Duration{10 * time.Second, 30 * time.Second} {
		peak := 0.0
		byLoad := map[float64]loadResult{}
		for _, load := range []float64{0.8, 0.9, 1, 1.2, 2, 4} {
			o := runLoad(t, sched.DefaultConfig(), load, timeout)
			byLoad[load] = o
			peak = max(peak, o.goodput)
			t.Logf("timeout %v, load %.1f: goodput %.3f, of %d jobs %.3f refused, %.3f expired",
				timeout, load, o.goodput, o.jobs, float64(o.refused)/float64(o.jobs), float64(o.expired)/float64(o.jobs))
		}
		for _, load := range []float64{2, 4} {
			must.GreaterEq(t, 0.95*peak, byLoad[load].goodput)
			must.Less(t, byLoad[load].jobs/50, byLoad[load].expired)
		}
	}
}
