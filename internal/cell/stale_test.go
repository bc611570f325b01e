package cell

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// After a time without a confirmation the agents' stamps are old as well. What
// is sent before the next stamp would only be refused, and jobs fail once the
// retries are used up.
func TestNothingIsSentOnOldStamps(t *testing.T) {
	isFresh := true
	b := newFixture(t, 1, AgentList{})
	b.cell.cfg.IsFresh = func(time.Time) bool { return isFresh }
	b.cell.AcceptOwnership(b.now)
	l := b.attach("e-1", "i1")
	isFresh = false
	b.tick(time.Second)
	b.submit(b.newID(0), 1, 7)
	must.Len(t, 0, l.drainStarts())
	isFresh = true
	b.tick(time.Second)
	must.Len(t, 0, l.drainStarts())
	b.cell.MarkStamped("e-1", l, b.now)
	must.Len(t, 1, l.drainStarts())
}
