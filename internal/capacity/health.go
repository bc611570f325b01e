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
// with few runs until one succeeds.
type Health struct {
	failedJobs     map[string]bool
	nextSuspension time.Duration
	suspendedUntil time.Duration
	probing        bool
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

// RunFailed records a run that failed, or was refused for an unknown reason. It
// reports whether this suspends the endpoint.
func (h *Health) RunFailed(job string, now time.Duration) bool {
	h.failedJobs[job] = true
	if len(h.failedJobs) < failedJobsThreshold && !h.probing {
		return false
	}
	return h.suspend(now)
}

// MarkSlow records that the endpoint is slow. It reports whether this suspends
// the endpoint.
func (h *Health) MarkSlow(now time.Duration) bool { return h.suspend(now) }

func (h *Health) suspend(now time.Duration) bool {
	if h.Suspended(now) {
		return false
	}
	h.failedJobs = map[string]bool{}
	h.suspendedUntil = now + h.nextSuspension
	h.nextSuspension = min(2*h.nextSuspension, maxSuspension)
	h.probing = true
	return true
}

// Suspended reports whether the endpoint gets no work at present.
func (h *Health) Suspended(now time.Duration) bool { return now < h.suspendedUntil }

// MaxRuns returns the bound on concurrent runs while the endpoint is probed,
// zero for no bound other than its capacity.
func (h *Health) MaxRuns() int {
	if h.probing {
		return maxProbeRuns
	}
	return 0
}
