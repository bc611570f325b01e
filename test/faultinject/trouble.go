// Package trouble injects random faults that a seed chooses, into processes
// and into a simulation alike.
package faultinject

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	standin "github.com/pomelosill/pomelosill/internal/standin/kvstore"
	"github.com/pomelosill/pomelosill/platform/platformtest"
)

// Fault begins and, later, ends.
type Fault struct {
	Name  string
	Begin func()
	End   func()
}

// NewFault returns a fault.
func NewFault(name string, begin, end func()) Fault { return Fault{Name: name, Begin: begin, End: end} }

// NoOp is the end of a fault that has none.
func NoOp() {}

// Timing bound the time between two faults, and how long one lasts.
type Timing struct {
	MinGap, MaxGap           time.Duration
	MinDuration, MaxDuration time.Duration
}

func randomDuration(rng *rand.Rand, a, b time.Duration) time.Duration {
	return a + time.Duration(rng.Int64N(int64(b-a)))
}

// Inject injects faults until ctx ends, waits for the end of each, and
// returns a line about each.
func Inject(ctx context.Context, rng *rand.Rand, t Timing, choose func() Fault) []string {
	var lines []string
	var lasting sync.WaitGroup
	began := time.Now()
	for ctx.Err() == nil {
		f := choose()
		lasts := randomDuration(rng, t.MinDuration, t.MaxDuration)
		lines = append(lines, fmt.Sprintf("%7.3f s, for %s: %s", time.Since(began).Seconds(), lasts.Round(time.Millisecond), f.Name))
		f.Begin()
		lasting.Go(func() {
			time.Sleep(lasts)
			f.End()
		})
		time.Sleep(randomDuration(rng, t.MinGap, t.MaxGap))
	}
	lasting.Wait()
	return lines
}

// StoreFault draws a fault of the store.
func StoreFault(rng *rand.Rand, s *standin.Server) Fault {
	kinds := []standin.Fault{
		{Kind: standin.Outage}, {Kind: standin.Unavailable}, {Kind: standin.LoseAnswers},
		{Kind: standin.Delay, DelayMS: 300}, {Kind: standin.StaleWatch},
	}
	f := kinds[rng.IntN(len(kinds))]
	return NewFault("store: "+string(f.Kind), func() { s.SetFaults(f) }, func() { s.SetFaults() })
}

// EndpointFault draws a fault of the endpoint beside the runner. Its calls must
// be those of the chance.
func EndpointFault(rng *rand.Rand, runner string, e *platformtest.Endpoint, c *platformtest.FaultInjector) Fault {
	sound := func() { c.Set(platformtest.FaultNone, 0) }
	switch rng.IntN(5) {
	case 0:
		return NewFault("reborn endpoint of "+runner, e.Restart, NoOp)
	case 1:
		return NewFault("stalled endpoint of "+runner, func() { e.Stall(true) }, func() { e.Stall(false) })
	case 2:
		return NewFault("late orders of "+runner, func() { c.Set(platformtest.FaultDelayed, 0.3) }, sound)
	case 3:
		return NewFault("lost answers of "+runner, func() { c.Set(platformtest.FaultLostAnswer, 0.3) }, sound)
	}
	return NewFault("refusing endpoint of "+runner, func() { c.Set(platformtest.FaultOverloaded, 0.7) }, sound)
}

// RunSeeds runs a test under the seeds that once failed and n others.
func RunSeeds(t *testing.T, failed []uint64, from uint64, n int, run func(t *testing.T, seed uint64)) {
	seeds := append([]uint64(nil), failed...)
	for i := range n {
		seeds = append(seeds, from+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { run(t, seed) })
	}
}
