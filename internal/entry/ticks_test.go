package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// After a pause a cell must not be given the time at which its tick was due: with
// it, it would start work under a confirmation that has expired, and jobs whose
// deadline has passed. It must be told of the pause, or it would give up the agents
// that could not attach meanwhile.
func TestTicksAfterAPauseHaveTheCurrentTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var pauses []time.Duration
		runTicks(ctx, cellTickInterval, func(now time.Time, pause time.Duration) {
			must.Eq(t, 0, time.Since(now))
			pauses = append(pauses, pause)
			switch len(pauses) {
			case 2:
				time.Sleep(5 * time.Second)
			case 3:
				cancel()
			}
		})
		must.Eq(t, []time.Duration{0, 0, 5*time.Second - cellTickInterval}, pauses)
	})
}
