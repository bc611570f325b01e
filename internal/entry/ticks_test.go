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
// deadline has passed.
func TestTicksAfterAPauseHaveTheCurrentTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		ticks := 0
		runTicks(ctx, cellTickInterval, func(now time.Time) {
			must.Eq(t, 0, time.Since(now))
			ticks++
			if ticks == 1 {
				time.Sleep(5 * time.Second)
				return
			}
			cancel()
		})
		must.Eq(t, 2, ticks)
	})
}
