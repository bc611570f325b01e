// Package faultinject injects random faults that a seed chooses. The soak test
// injects them into operating system processes, the simulation into simulated
// ones.
package faultinject

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/pomelosill/pomelosill/internal/standin/kvstore"
	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform/platformtest"
)

// Fault is a fault that can be started and ended.
type Fault struct {
	Name  string
	Begin func()
	End   func()
}

// NewFault returns a fault with the given functions.
func NewFault(name string, begin, end func()) Fault { return Fault{Name: name, Begin: begin, End: end} }

// NoOp is the End function of a fault that ends by itself.
func NoOp() {}

// Timing bounds the time between two faults and the duration of a fault.
type Timing struct {
	MinGap, MaxGap           time.Duration
	MinDuration, MaxDuration time.Duration
}

func randomDuration(rng *rand.Rand, lo, hi time.Duration) time.Duration {
	return lo + time.Duration(rng.Int64N(int64(hi-lo)))
}

// Inject injects faults until ctx ends, waits until all of them have ended, and
// returns a line of text for each.
func Inject(ctx context.Context, rng *rand.Rand, t Timing, choose func() Fault) []string {
	var lines []string
	var wg sync.WaitGroup
	start := time.Now()
	for ctx.Err() == nil {
		f := choose()
		duration := randomDuration(rng, t.MinDuration, t.MaxDuration)
		lines = append(lines, fmt.Sprintf("%7.3f s, for %s: %s", time.Since(start).Seconds(), duration.Round(time.Millisecond), f.Name))
		f.Begin()
		wg.Go(func() {
			time.Sleep(duration)
			f.End()
		})
		time.Sleep(randomDuration(rng, t.MinGap, t.MaxGap))
	}
	wg.Wait()
	return lines
}

// StoreFault draws a fault of the store.
func StoreFault(rng *rand.Rand, s *kvstore.Server) Fault {
	kinds := []kvstore.Fault{
		{Kind: kvstore.Outage}, {Kind: kvstore.Unavailable}, {Kind: kvstore.LoseAnswers},
		{Kind: kvstore.Delay, DelayMS: 300}, {Kind: kvstore.StaleWatch},
	}
	f := kinds[rng.IntN(len(kinds))]
	return NewFault("store: "+string(f.Kind), func() { s.SetFaults(f) }, func() { s.SetFaults() })
}

// EndpointFault draws a fault of a runner's endpoint. The endpoint's
// ChooseFault must be the Choose method of the injector.
func EndpointFault(rng *rand.Rand, runner string, e *platformtest.Endpoint, injector *platformtest.FaultInjector) Fault {
	stopFault := func() { injector.Set(platformtest.FaultNone, 0) }
	switch rng.IntN(5) {
	case 0:
		return NewFault("restart endpoint of "+runner, e.Restart, NoOp)
	case 1:
		return NewFault("stall endpoint of "+runner, func() { e.Stall(true) }, func() { e.Stall(false) })
	case 2:
		return NewFault("delay calls to endpoint of "+runner, func() { injector.Set(platformtest.FaultDelayed, 0.3) }, stopFault)
	case 3:
		return NewFault("lose answers of endpoint of "+runner, func() { injector.Set(platformtest.FaultLostAnswer, 0.3) }, stopFault)
	}
	return NewFault("overload endpoint of "+runner, func() { injector.Set(platformtest.FaultOverloaded, 0.7) }, stopFault)
}

// CapacityFault draws a change of an endpoint's capacity, which is that of full
// otherwise: it shrinks for a while, or is smaller after a restart.
func CapacityFault(rng *rand.Rand, runner string, e *platformtest.Endpoint, full workload.Resources) Fault {
	smaller := full
	smaller.MilliCPU = full.MilliCPU / (2 + rng.Int64N(3))
	grow := func() { e.SetCapacity(full) }
	if rng.IntN(2) == 0 {
		return NewFault("restart endpoint of "+runner+" with less capacity", func() { e.RestartWithCapacity(smaller) }, grow)
	}
	return NewFault("shrink endpoint of "+runner, func() { e.SetCapacity(smaller) }, grow)
}

// InjectsCrashes reports whether a seed includes jobs that crash the endpoints
// that start them, and capacities that change.
func InjectsCrashes(seed uint64) bool { return seed%3 == 0 }

// RunSeeds runs a test with the seeds that have failed before and with n
// others.
func RunSeeds(t *testing.T, failed []uint64, from uint64, n int, run func(t *testing.T, seed uint64)) {
	seeds := append([]uint64(nil), failed...)
	for i := range n {
		seeds = append(seeds, from+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { run(t, seed) })
	}
}
