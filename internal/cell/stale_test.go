package cell

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestNoStartIsSentOnStaleStamps guards against sending tasks before the agents
// have new stamps after a time without a confirmation. The agents would refuse
// them because their stamps are too old as well, and jobs would fail once their
// retries are used up.
func TestNoStartIsSentOnStaleStamps(t *testing.T) {
	isFresh := true
	f := newFixture(t, 1, AgentList{})
	f.cell.cfg.IsFresh = func(time.Time) bool { return isFresh }
	f.cell.AcceptOwnership(f.now)
	l := f.attach("e-1", "i1")
	isFresh = false
	f.tick(time.Second)
	f.submit(f.newID(0), 1, 7)
	must.Len(t, 0, l.drainStarts())
	isFresh = true
	f.tick(time.Second)
	must.Len(t, 0, l.drainStarts())
	f.cell.MarkStamped("e-1", l, f.now)
	must.Len(t, 1, l.drainStarts())
}
