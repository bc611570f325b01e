// Package failure checks the guarantees of pomelosill with real processes that
// are killed, paused and disconnected; docs/PROOFS.md has a row for each test. At
// the end of every test the oracle checks the whole history; see fleet.New.
package failure

import (
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/test/fleet"
)

const (
	// maxStartAfterLeaving is how long tasks may still start after their failure
	// domain was taken out or their endpoint began to leave.
	maxStartAfterLeaving = 4 * time.Second
	// shortRunTime and longRunTime are run times of tasks.
	shortRunTime = 50 * time.Millisecond
	longRunTime  = time.Second
)

func TestMain(m *testing.M) { os.Exit(fleet.Main(m)) }

// startSmallFleet starts a small fleet and lets the test run in parallel with
// others.
func startSmallFleet(t *testing.T) *fleet.Fleet {
	t.Helper()
	t.Parallel()
	return fleet.Start(t, fleet.SmallConfig())
}

// mustAllSucceed requires that every job of a load was answered OK.
func mustAllSucceed(t *testing.T, outcomes []fleet.Outcome) {
	t.Helper()
	must.SliceNotEmpty(t, outcomes)
	for _, o := range outcomes {
		must.NoError(t, o.Err)
		must.Eq(t, result.OK, o.Answer.Code, must.Sprintf("%s: %s", o.Job.ID, o.Answer.Detail))
	}
}
