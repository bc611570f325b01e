// Package failure proves the promises with real processes that are killed,
// stopped and cut; docs/PROOFS.md has a row per test. Every test ends with the
// oracle's check of the whole history, see fleet.New.
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
	// maxStartAfterLeaving is the promise's bound on starts after a domain or an
	// endpoint left.
	maxStartAfterLeaving = 4 * time.Second
	// shortRunTime and longRun are run times of tasks.
	shortRunTime = 50 * time.Millisecond
	longRunTime  = time.Second
)

func TestMain(m *testing.M) { os.Exit(fleet.Main(m)) }

// startSmallFleet starts a small fleet beside those of other tests.
func startSmallFleet(t *testing.T) *fleet.Fleet {
	t.Helper()
	t.Parallel()
	return fleet.Start(t, fleet.SmallConfig())
}

// mustAllSucceed checks that every job of a load was answered whole.
func mustAllSucceed(t *testing.T, outcomes []fleet.Outcome) {
	t.Helper()
	must.SliceNotEmpty(t, outcomes)
	for _, o := range outcomes {
		must.NoError(t, o.Err)
		must.Eq(t, result.OK, o.Answer.Code, must.Sprintf("%s: %s", o.Job.ID, o.Answer.Detail))
	}
}
