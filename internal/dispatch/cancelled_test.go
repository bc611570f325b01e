package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A cancelled job must be remembered for longer than its request may lie unread, and the
// memory must not grow without bound.
func TestCancelledJobsAreRememberedForAWhile(t *testing.T) {
	var m cancelMemory
	first := jobPath{"h", "/p/1"}
	m.add(first, time.Hour)
	must.True(t, m.has(first))
	must.False(t, m.has(jobPath{"other", "/p/1"}))
	m.add(jobPath{"h", "/p/2"}, time.Hour+cancelRetention)
	must.True(t, m.has(first))
	m.add(jobPath{"h", "/p/3"}, time.Hour+cancelRetention+1)
	must.True(t, m.has(first))
	m.add(jobPath{"h", "/p/4"}, time.Hour+2*cancelRetention+2)
	must.False(t, m.has(first))
	for i := range 3 * maxCancelled {
		m.add(jobPath{"h", fmt.Sprint(i)}, 2*time.Hour)
	}
	must.LessEq(t, 2*maxCancelled, len(m.recent)+len(m.former))
}
