package cell

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/sched"
)

// TestNoStartIsClaimedThatNobodySaw stops a job whose starts were sent to an
// agent that never spoke again, in either order of the two: nothing is known
// of a start, so the answer must not claim one.
func TestNoStartIsClaimedThatNobodySaw(t *testing.T) {
	lose := func(b *fixture, l *fakeLink) { b.cell.Detach("e-1", l, b.now) }
	pass := func(b *fixture, _ *fakeLink, _ []byte) { b.tick(21 * time.Second) }
	cancel := func(b *fixture, _ *fakeLink, id []byte) { b.cell.Cancel(sched.Key(id), b.now) }
	cases := []struct {
		name string
		stop func(b *fixture, l *fakeLink, id []byte)
		lose func(b *fixture, l *fakeLink)
	}{
		{"deadline, then the agent is lost", pass, lose},
		{"deadline, and the agent keeps its stream", pass, func(*fixture, *fakeLink) {}},
		{"cancelled, then the agent is lost", cancel, lose},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(t, 1, AgentList{})
			b.cell.AcceptOwnership(b.now)
			l := b.attach("e-1", "i1")
			id := b.newID(0)
			got := b.submit(id, 2, 7)
			must.Len(t, 2, l.drainStarts())
			c.stop(b, l, id)
			c.lose(b, l)
			b.tick(6 * time.Second)
			must.Eq(t, []result.Code{result.OutcomeUnknown}, answerCodes(got))
		})
	}
}

// TestKnownStartIsNamed has one task that is known to have started beside one
// that is unknown.
func TestKnownStartIsNamed(t *testing.T) {
	b := newFixture(t, 1, AgentList{})
	b.cell.AcceptOwnership(b.now)
	l := b.attach("e-1", "i1")
	got := b.submit(b.newID(0), 2, 7)
	starts := l.drainStarts()
	must.Len(t, 2, starts)
	b.reportOutcomes(l, starts[:1], result.OK)
	b.tick(21 * time.Second)
	b.cell.Detach("e-1", l, b.now)
	b.tick(6 * time.Second)
	must.Eq(t, []result.Code{result.DeadlineAfterStart}, answerCodes(got))
}
