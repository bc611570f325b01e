package faultinject

import (
	"context"
	"testing"
	"time"

	"github.com/pomelosill/pomelosill/platform"
	"github.com/pomelosill/pomelosill/test/caller"
)

// Contention changes a system under a load: the first of two routes has more demand
// than the endpoints can serve, and the second has priority over it until the
// priorities are swapped.
type Contention struct {
	Operator *platform.Store
	// Slowed is an endpoint that is slow in the second and in the last quarter of
	// the load; Speed is its speed otherwise.
	Slowed *caller.Speed
	Speed  float64
	// Duration is how long the load lasts.
	Duration time.Duration
}

// Prioritize gives the two routes different priorities.
func (c *Contention) Prioritize(t *testing.T) {
	if err := caller.SetPriorities(t.Context(), c.Operator, 1, 0); err != nil {
		t.Errorf("set priorities: %v", err)
	}
}

// Run makes the endpoint slow twice, and swaps the priorities between the two. It
// returns when the load ends.
func (c *Contention) Run(t *testing.T) {
	quarter := c.Duration / 4
	time.Sleep(quarter)
	c.Slowed.Set(caller.SlowSpeed)
	time.Sleep(quarter)
	c.Slowed.Set(c.Speed)
	ctx, cancel := context.WithTimeout(t.Context(), quarter)
	defer cancel()
	end := time.Now().Add(quarter)
	// An outage of the store may last until the load ends, and prevent the swap.
	if err := caller.SetPriorities(ctx, c.Operator, 0, 1); err != nil {
		t.Logf("swap of priorities not confirmed: %v", err)
	}
	time.Sleep(time.Until(end))
	c.Slowed.Set(caller.SlowSpeed)
	time.Sleep(quarter)
	c.Slowed.Set(c.Speed)
}
