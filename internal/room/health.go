package room

import "time"

const (
	// suspectJobs is how many different jobs must fail in a row before an
	// endpoint is suspected; one job may fail by its own fault.
	suspectJobs = 3
	// suspectSpeed is the speed below which an endpoint is suspected.
	suspectSpeed = 0.35
	// firstRest and longestRest bound how long a suspected endpoint gets no
	// work.
	firstRest   = 800 * time.Millisecond
	longestRest = 4 * time.Second
	// trialRuns is how many runs an endpoint gets after its rest before one
	// of them is done.
	trialRuns = 2
)

// Health tells whether an endpoint should get work. It rests after failures
// of several jobs in a row or when it stands still, and then has to prove
// itself with few runs.
type Health struct {
	failed    map[string]bool
	rest      time.Duration
	restUntil time.Duration
	trial     bool
}

// NewHealth returns the health of an endpoint without a history.
func NewHealth() *Health { return &Health{failed: map[string]bool{}, rest: firstRest} }

// Done notes a run that ended well.
func (h *Health) Done() {
	h.failed = map[string]bool{}
	if h.trial {
		h.trial = false
		h.rest = firstRest
	}
}

// Failed notes a run that failed or was refused for no known reason. It
// returns true when the endpoint becomes suspected by it.
func (h *Health) Failed(job string, now time.Duration) bool {
	h.failed[job] = true
	if len(h.failed) < suspectJobs && !h.trial {
		return false
	}
	return h.suspect(now)
}

// Slow notes that the endpoint is slow. It returns true when the endpoint
// becomes suspected by it.
func (h *Health) Slow(now time.Duration) bool { return h.suspect(now) }

func (h *Health) suspect(now time.Duration) bool {
	if h.Resting(now) {
		return false
	}
	h.failed = map[string]bool{}
	h.restUntil = now + h.rest
	h.rest = min(2*h.rest, longestRest)
	h.trial = true
	return true
}

// Resting tells whether the endpoint gets no work.
func (h *Health) Resting(now time.Duration) bool { return now < h.restUntil }

// MaxRuns is how many runs the endpoint may have at once, zero for no bound
// but its room.
func (h *Health) MaxRuns() int {
	if h.trial {
		return trialRuns
	}
	return 0
}
