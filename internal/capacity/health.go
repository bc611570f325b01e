package capacity

import "time"

const (
	// failedJobsThreshold is how many different jobs must fail in a row before an
	// endpoint is suspected; one job may fail by its own fault.
	failedJobsThreshold = 3
	// slowThreshold is the speed below which an endpoint is suspected.
	slowThreshold = 0.35
	// minSuspension and longestRest bound how long a suspected endpoint gets no
	// work.
	minSuspension = 800 * time.Millisecond
	maxSuspension = 4 * time.Second
	// maxProbeRuns is how many runs an endpoint gets after its rest before one
	// of them is done.
	maxProbeRuns = 2
)

// Health tells whether an endpoint should get work. It rests after failures
// of several jobs in a row or when it stands still, and then has to prove
// itself with few runs.
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

// RunDone notes a run that ended well.
func (h *Health) RunDone() {
	h.failedJobs = map[string]bool{}
	if h.probing {
		h.probing = false
		h.nextSuspension = minSuspension
	}
}

// RunFailed notes a run that failed or was refused for no known reason. It
// returns true when the endpoint becomes suspected by it.
func (h *Health) RunFailed(job string, now time.Duration) bool {
	h.failedJobs[job] = true
	if len(h.failedJobs) < failedJobsThreshold && !h.probing {
		return false
	}
	return h.suspend(now)
}

// MarkSlow notes that the endpoint is slow. It returns true when the endpoint
// becomes suspected by it.
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

// Suspended tells whether the endpoint gets no work.
func (h *Health) Suspended(now time.Duration) bool { return now < h.suspendedUntil }

// MaxRuns is how many runs the endpoint may have at once, zero for no bound
// but its room.
func (h *Health) MaxRuns() int {
	if h.probing {
		return maxProbeRuns
	}
	return 0
}
