package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Callers that are refused together must be given different times, or they
// would return together.
func TestRetryAfterIsSpread(t *testing.T) {
	countBySecond := map[time.Duration]int{}
	for range 300 {
		delay := randomRetryAfter()
		must.Between(t, time.Second, delay, 4*time.Second)
		countBySecond[delay.Truncate(time.Second)]++
	}
	must.MapLen(t, 3, countBySecond)
	for second, n := range countBySecond {
		must.Less(t, 150, n, must.Sprint(second))
	}
}
