package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Callers that are refused together, in a burst, are told different times.
func TestReturnsAreSpread(t *testing.T) {
	bySecond := map[time.Duration]int{}
	for range 300 {
		back := randomRetryAfter()
		must.Between(t, time.Second, back, 4*time.Second)
		bySecond[back.Truncate(time.Second)]++
	}
	must.MapLen(t, 3, bySecond)
	for second, n := range bySecond {
		must.Less(t, 150, n, must.Sprint(second))
	}
}
