// Package trouble injects random faults that a seed chooses, into processes
// and into a simulation alike.
package trouble

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	standin "github.com/pomelosill/pomelosill/internal/standin/platform"
	"github.com/pomelosill/pomelosill/platform/platformtest"
)

// Fault begins and, later, ends.
type Fault struct {
	Name  string
	Begin func()
	End   func()
}

// New returns a fault.
func New(name string, begin, end func()) Fault { return Fault{Name: name, Begin: begin, End: end} }

// Nothing is the end of a fault that has none.
func Nothing() {}

// Times bound the time between two faults, and how long one lasts.
type Times struct {
	ShortestGap, LongestGap   time.Duration
	ShortestLast, LongestLast time.Duration
}

func between(rng *rand.Rand, a, b time.Duration) time.Duration {
	return a + time.Duration(rng.Int64N(int64(b-a)))
}

// Inject injects faults until ctx ends, waits for the end of each, and
// returns a line about each.
func Inject(ctx context.Context, rng *rand.Rand, t Times, choose func() Fault) []string {
	var lines []string
	var lasting sync.WaitGroup
	began := time.Now()
	for ctx.Err() == nil {
		f := choose()
		lasts := between(rng, t.ShortestLast, t.LongestLast)
		lines = append(lines, fmt.Sprintf("%7.3f s, for %s: %s", time.Since(began).Seconds(), lasts.Round(time.Millisecond), f.Name))
		f.Begin()
		lasting.Go(func() {
			time.Sleep(lasts)
			f.End()
		})
		time.Sleep(between(rng, t.ShortestGap, t.LongestGap))
	}
	lasting.Wait()
	return lines
}

// OfStore draws a fault of the store.
func OfStore(rng *rand.Rand, s *standin.Server) Fault {
	kinds := []standin.Fault{
		{Kind: standin.Outage}, {Kind: standin.Unavailable}, {Kind: standin.LoseAnswers},
		{Kind: standin.Delay, DelayMS: 300}, {Kind: standin.StaleWatch},
	}
	f := kinds[rng.IntN(len(kinds))]
	return New("store: "+string(f.Kind), func() { s.SetFaults(f) }, func() { s.SetFaults() })
}

// OfEndpoint draws a fault of the endpoint beside the runner. Its calls must
// be those of the chance.
func OfEndpoint(rng *rand.Rand, runner string, e *platformtest.Endpoint, c *platformtest.Chance) Fault {
	sound := func() { c.Set(platformtest.None, 0) }
	switch rng.IntN(5) {
	case 0:
		return New("reborn endpoint of "+runner, e.Rebirth, Nothing)
	case 1:
		return New("stalled endpoint of "+runner, func() { e.Stall(true) }, func() { e.Stall(false) })
	case 2:
		return New("late orders of "+runner, func() { c.Set(platformtest.Late, 0.3) }, sound)
	case 3:
		return New("lost answers of "+runner, func() { c.Set(platformtest.Lost, 0.3) }, sound)
	}
	return New("refusing endpoint of "+runner, func() { c.Set(platformtest.Shed, 0.7) }, sound)
}

// Seeds runs a test under the seeds that once failed and n others.
func Seeds(t *testing.T, failed []uint64, from uint64, n int, run func(t *testing.T, seed uint64)) {
	seeds := append([]uint64(nil), failed...)
	for i := range n {
		seeds = append(seeds, from+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { run(t, seed) })
	}
}
