package handover

import "time"

const (
	// unreadyFraction is the fraction of forwarded jobs from which on new connections
	// are better made elsewhere, and unreadyDelay how long it must last.
	unreadyFraction = 0.5
	unreadyDelay    = time.Second
	// maxUnready is how long a process reports not ready in any unreadyWindow. A load
	// balancer uses all dispatchers of a failure domain if fewer than half are ready, and
	// one that is often not ready is taken for broken by its operators.
	maxUnready    = unreadyWindow / 10
	unreadyWindow = 30 * time.Second
)

// Readiness decides when a process that forwards many jobs reports not ready. It
// addresses a failure domain with few starved dispatchers: callers keep connections
// and open new ones, which are better made to the others. The periods begin at least
// unreadyWindow apart and last at most maxUnready, which bounds their part of any window.
type Readiness struct {
	// aboveSince is since when the fraction is high, and above whether it is.
	above      bool
	aboveSince time.Duration
	// unready is set during a period, which began at periodStart; hadPeriod is set from
	// the first period on.
	unready, hadPeriod bool
	periodStart        time.Duration
}

// Update records the fraction at a tick.
func (r *Readiness) Update(fraction float64, now time.Duration) {
	if fraction < unreadyFraction {
		r.above, r.unready = false, false
		return
	}
	if !r.above {
		r.above, r.aboveSince = true, now
	}
	r.unready = r.unready && now-r.periodStart < maxUnready
	due := now-r.aboveSince >= unreadyDelay && (!r.hadPeriod || now-r.periodStart >= unreadyWindow)
	if !r.unready && due {
		r.unready, r.hadPeriod, r.periodStart = true, true, now
	}
}

// Unready reports whether the process is to report not ready. It also holds between
// ticks, which may be late.
func (r *Readiness) Unready(now time.Duration) bool {
	return r.unready && now-r.periodStart < maxUnready
}
