package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/directory"
)

// A cancel that reaches another dispatcher is passed to all that the directory lists. A
// dispatcher that is not listed would not be asked, and its job would go on although the cancel
// is acknowledged. So it takes no jobs before the others can find it: its record is in the
// store, be it that of an earlier process at the same address, or another dispatcher has
// called it, as they do with those that they knew before they lost the store.

// listing records whether other dispatchers can find this one.
type listing struct {
	once   sync.Once
	listed chan struct{}
}

func newListing() *listing { return &listing{listed: make(chan struct{})} }

// confirm records that they can.
func (l *listing) confirm() { l.once.Do(func() { close(l.listed) }) }

// confirmed reports whether they can.
func (l *listing) confirmed() bool {
	select {
	case <-l.listed:
		return true
	default:
		return false
	}
}

// awaitListed reports whether other dispatchers can find this one. A dispatcher that has just
// started waits for it, at most until firstPolicyTimeout after its start.
func (d *Dispatcher) awaitListed(ctx context.Context) bool {
	remaining := d.startedAt + firstPolicyTimeout - clock.SinceBoot()
	if d.listing.confirmed() || remaining <= 0 {
		return d.listing.confirmed()
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-d.listing.listed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return d.listing.confirmed()
}

// checkListing looks for this dispatcher in the directory, after a change of the store.
func (d *Dispatcher) checkListing() {
	if d.listing.confirmed() {
		return
	}
	for _, n := range d.directory.Registered(directory.Dispatcher) {
		if n.Name == d.settings.Name && n.Address == d.settings.Peer {
			d.listing.confirm()
		}
	}
}
