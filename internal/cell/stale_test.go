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
	b := newBench(t, 1, Members{})
	b.cell.cfg.Fresh = func(time.Time) bool { return isFresh }
	b.cell.Accepted(b.now)
	l := b.attach("e-1", "i1")
	isFresh = false
	b.tick(time.Second)
	b.submit(b.id(0), 1, 7)
	must.Len(t, 0, l.takeStarts())
	isFresh = true
	b.tick(time.Second)
	must.Len(t, 0, l.takeStarts())
	b.cell.Stamped("e-1", l, b.now)
	must.Len(t, 1, l.takeStarts())
}
