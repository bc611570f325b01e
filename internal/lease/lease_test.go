package lease

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// callerRetryDelay is the time from the loss of its connection until a caller
// of the users' platform resubmits its job.
const callerRetryDelay = 1300 * time.Millisecond

// A job that is resubmitted through another dispatcher must not run twice: the
// runs of the first submission must have ended by then, whether the dispatcher
// failed alone or together with the runner.
func TestRunsEndBeforeCallersResubmit(t *testing.T) {
	maxTTL := time.Second
	must.Less(t, callerRetryDelay, DispatcherTTL+stopMargin)
	must.Less(t, callerRetryDelay, MaxRemaining(EndpointTTL(maxTTL))+stopMargin)
}

// A dispatcher must wait until the runner has stopped the runs and, if the
// runner has failed, until the endpoint's lease has expired.
func TestRunnerLossTimeoutCoversBothLeases(t *testing.T) {
	must.GreaterEq(t, DispatcherTTL+EndpointTTL(time.Second), RunnerLossTimeout(time.Second))
	must.Less(t, 2*time.Second, RunnerLossTimeout(time.Second))
}
