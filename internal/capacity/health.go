package capacity

import "time"

const (
	// failedJobsThreshold is how many different jobs must fail in a row before
	// an endpoint is suspended; the failures of a single job may be its own
	// fault.
	failedJobsThreshold = 3
	// slowThreshold is the speed below which an endpoint is suspended.
	slowThreshold = 0.35
	// minSuspension and maxSuspension bound how long a suspended endpoint gets
	// no work.
	minSuspension = 800 * time.Millisecond
	maxSuspension = 4 * time.Second
	// maxProbeRuns bounds the concurrent runs of an endpoint between the end of
	// its suspension and its first successful run.
	maxProbeRuns = 2
)

// Health decides whether an endpoint should get work. An endpoint is suspended
// after failures of several jobs in a row or when it is slow, and then probed
// with few runs until one succeeds. While it is suspended for slowness alone, it
// takes overflow runs. They are expected to be slow and are no probes: they
// neither end nor prolong the suspension, unless several jobs fail.
type Health struct {
	failedJobs     map[string]bool
	nextSuspension time.Duration
	suspendedUntil time.Duration
	probing        bool
	// slow is set if slowness alone caused the last suspension.
	slow bool
}

// NewHealth returns the health of an endpoint without a history.
func NewHealth() *Health {
	return &Health{failedJobs: map[string]bool{}, nextSuspension: minSuspension}
}

// RunDone records a successful run.
func (h *Health) RunDone() {
	h.failedJobs = map[string]bool{}
	if h.probing {
		h.probing = false
		h.nextSuspension = minSuspension
	}
}

// OverflowDone records a successful overflow run.
func (h *Health) OverflowDone() { h.failedJobs = map[string]bool{} }

// RunFailed records a run that failed, or was refused for an unknown reason. It
// reports whether this suspends the endpoint. A run that ends during a suspension
// is no probe.
func (h *Health) RunFailed(job string, now time.Duration) bool {
	return h.recordFailure(job, h.probing && !h.Suspended(now), now)
}

// OverflowFailed records an overflow run that failed, or was refused for an unknown
// reason. It reports whether this suspends the endpoint.
func (h *Health) OverflowFailed(job string, now time.Duration) bool {
	return h.recordFailure(job, false, now)
}

func (h *Health) recordFailure(job string, probe bool, now time.Duration) bool {
	h.failedJobs[job] = true
	if len(h.failedJobs) < failedJobsThreshold && !probe {
		return false
	}
	if h.Suspended(now) && !h.slow {
		return false
	}
	h.suspend(now, false)
	return true
}

// MarkSlow records that the endpoint is slow. It reports whether this suspends
// the endpoint.
func (h *Health) MarkSlow(now time.Duration) bool {
	if h.Suspended(now) {
		return false
	}
	h.suspend(now, true)
	return true
}

// suspend suspends the endpoint. A suspension for failures replaces one for
// slowness and doesn't shorten it.
func (h *Health) suspend(now time.Duration, slow bool) {
	h.failedJobs = map[string]bool{}
	h.suspendedUntil = max(h.suspendedUntil, now+h.nextSuspension)
	h.nextSuspension = min(2*h.nextSuspension, maxSuspension)
	h.probing = true
	h.slow = slow
}

// Suspended reports whether the endpoint gets no work other than overflow runs at
// present.
func (h *Health) Suspended(now time.Duration) bool { return now < h.suspendedUntil }

// SuspendedAsSlow reports whether the endpoint is suspended for slowness alone, so
// that it takes overflow runs.
func (h *Health) SuspendedAsSlow(now time.Duration) bool { return h.slow && h.Suspended(now) }

// MaxRuns returns the bound on concurrent runs while the endpoint is probed,
// zero for no bound other than its capacity.
func (h *Health) MaxRuns() int {
	if h.probing {
		return maxProbeRuns
	}
	return 0
}
