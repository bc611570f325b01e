package lease

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// callerRetryDelay is how long after the loss of its connection a caller sends its job
// again, at the users' platform.
const callerRetryDelay = 1300 * time.Millisecond

// A job that is sent again through another dispatcher must find the runs of
// the first one ended, whether it lost its dispatcher, or runner and
// dispatcher together.
func TestRunsEndBeforeJobsAreSentAgain(t *testing.T) {
	longest := time.Second
	must.Less(t, callerRetryDelay, DispatcherTTL+stopMargin)
	must.Less(t, callerRetryDelay, MaxRemaining(EndpointTTL(longest))+stopMargin)
}

// A dispatcher waits until the runner has stopped the runs, and if it could
// not, until the endpoint has.
func TestLostWaitsForBothLeases(t *testing.T) {
	must.GreaterEq(t, DispatcherTTL+EndpointTTL(time.Second), RunnerLossTimeout(time.Second))
	must.Less(t, 2*time.Second, RunnerLossTimeout(time.Second))
}
