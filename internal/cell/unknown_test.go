package cell

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/sched"
)

// TestAnswerClaimsNoUnreportedStart guards against an answer that claims a
// start that no agent has reported. A job is stopped whose starts were sent to
// an agent that never answers, whether the agent is then lost or keeps its
// stream.
func TestAnswerClaimsNoUnreportedStart(t *testing.T) {
	loseAgent := func(f *fixture, l *fakeLink) { f.cell.Detach("e-1", l, f.now) }
	passDeadline := func(f *fixture, _ *fakeLink, _ []byte) { f.tick(21 * time.Second) }
	cancel := func(f *fixture, _ *fakeLink, id []byte) { f.cell.Cancel(sched.Key(id), f.now) }
	cases := []struct {
		name string
		stop func(f *fixture, l *fakeLink, id []byte)
		lose func(f *fixture, l *fakeLink)
	}{
		{"deadline, then the agent is lost", passDeadline, loseAgent},
		{"deadline, and the agent keeps its stream", passDeadline, func(*fixture, *fakeLink) {}},
		{"cancelled, then the agent is lost", cancel, loseAgent},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f, l := newServingFixture(t)
			id := f.newID(0)
			got := f.submit(id, 2, 7)
			must.Len(t, 2, l.drainStarts())
			c.stop(f, l, id)
			c.lose(f, l)
			f.tick(6 * time.Second)
			must.Eq(t, []result.Code{result.OutcomeUnknown}, answerCodes(got))
		})
	}
}

// TestAnswerReportsKnownStart guards against an answer that leaves out a known
// start. One task is known to have started and the outcome of the other is
// unknown, so the answer must say that the job has started.
func TestAnswerReportsKnownStart(t *testing.T) {
	f, l := newServingFixture(t)
	got := f.submit(f.newID(0), 2, 7)
	starts := l.drainStarts()
	must.Len(t, 2, starts)
	f.reportOutcomes(l, starts[:1], result.OK)
	f.tick(21 * time.Second)
	f.cell.Detach("e-1", l, f.now)
	f.tick(6 * time.Second)
	must.Eq(t, []result.Code{result.DeadlineAfterStart}, answerCodes(got))
}
