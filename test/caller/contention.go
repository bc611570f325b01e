package caller

import (
	"context"
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform"
)

const (
	// OverloadInterval is an interval between jobs at which the route of the longer
	// tasks alone has more demand than five endpoints can serve.
	OverloadInterval = 15 * time.Millisecond
	// SlowSpeed is a speed at which an endpoint is suspended for slowness and can
	// still complete short jobs before their late bound.
	SlowSpeed = 0.3
	// swapRetryInterval is the time between two attempts to change the
	// configuration while the store has faults.
	swapRetryInterval = 100 * time.Millisecond
)

// UnevenSpeed returns the speed of an endpoint in a system of uneven endpoints. At the
// slowest, the longest task ends after its caller has stopped waiting, so it has to run
// at a faster one.
func UnevenSpeed(i int) float64 { return []float64{1, 0.6, 1.6}[i%3] }

// UnevenTasks returns how many of the callers' tasks the endpoint has capacity for.
func UnevenTasks(i int) int64 { return []int64{8, 12}[i%2] }

// Speed is the speed of an endpoint, which can change. The zero value is speed 1.
type Speed struct{ bits atomic.Uint64 }

// Set sets the speed of the runs that start from now on.
func (s *Speed) Set(speed float64) { s.bits.Store(math.Float64bits(speed)) }

// RunDuration returns how long a run takes at this speed.
func (s *Speed) RunDuration(run workload.RunID) time.Duration {
	duration, speed := RunDuration(run), math.Float64frombits(s.bits.Load())
	if speed == 0 {
		return duration
	}
	return time.Duration(float64(duration) / speed)
}

// SetPriorities writes a configuration that gives the two routes these
// priorities. It retries until ctx ends, since the store may have faults.
func SetPriorities(ctx context.Context, operator *platform.Store, steady, quick int) error {
	config := fmt.Sprintf(configFormat, steady, quick)
	for {
		entry, err := operator.Get(ctx, platform.KeyConfig)
		if err == nil {
			_, err = operator.CompareAndSwap(ctx, platform.KeyConfig, entry.Revision, []byte(config), 0)
		}
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(swapRetryInterval):
		}
	}
}

// configFormat is a configuration with the priorities of the two routes left open.
const configFormat = `{"version":1,"routes":[{"name":"steady","hostname":"` + host + `","prefix":"` + steadyPrefix + `","service":"` + Service + `",
	"priority":%d,"stretch":1.6,"target_latency_ms":60,"max_attempts":3},{"name":"quick","hostname":"` + host + `","prefix":"` + quickPrefix + `","service":"` + Service + `",
	"priority":%d,"stretch":1.6,"target_latency_ms":60,"max_attempts":3}],"services":[{"name":"` + Service + `"}]}`
