package placement

import "time"

const (
	// maxRunnerWait is how long a task may wait for capacity at a runner.
	maxRunnerWait = 150 * time.Millisecond
	// redirectDelay is how long a task may wait at a runner before it is redirected.
	// A redirect takes some milliseconds, and it meets other dispatchers' tasks again.
	redirectDelay = 10 * time.Millisecond
	// maxRedirects is how often a task is redirected to another endpoint before
	// it waits.
	maxRedirects = 2
)

// RunnerWait returns how long a task may wait at its runner if there is no
// capacity for it. A dispatcher's view of an endpoint that it rarely uses is
// old, and other dispatchers place tasks there meanwhile. A task that is sent
// to an endpoint as free is therefore refused soon if it isn't, and goes to
// another endpoint with the newer view that comes with the refusal, instead of
// waiting beside free capacity. Tasks that are sent in order to wait, or that
// were refused before, wait. Under overload, many dispatchers send tasks for the
// same capacity that becomes free: most of those that find it taken would find the
// next taken too.
func RunnerWait(queued bool, refusals int) time.Duration {
	if queued || refusals >= maxRedirects {
		return maxRunnerWait
	}
	return redirectDelay
}
