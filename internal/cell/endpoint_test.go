package cell

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/result"
)

func TestReattachedAgentStartsNoTaskTwice(t *testing.T) {
	f, l := newServingFixture(t)
	id := f.newID(0)
	got := f.submit(id, 2, 7)
	must.Len(t, 2, l.drainStarts())
	f.cell.Detach("e-1", l, f.now)
	f.tick(time.Second)
	l2 := f.attach("e-1", "i1", outcomeOf(id, 0, true))
	f.tick(time.Second)
	again := l2.drainStarts()
	must.Len(t, 1, again)
	must.Eq(t, 1, again[0].GetTask().GetIndex())
	f.reportOutcomes(l, again, result.OK)
	must.Len(t, 0, *got)
	f.cell.Detach("e-1", l2, f.now)
	f.tick(6 * time.Second)
	must.Eq(t, []result.Code{result.OutcomeUnknown}, answerCodes(got))
}

// An agent that lost its stream just before the owner was paused could not attach
// meanwhile. Its running tasks must not be given up when the owner goes on.
func TestAgentIsNotLostInAPauseOfTheOwner(t *testing.T) {
	f, l := newServingFixture(t)
	id := f.newID(0)
	got := f.submit(id, 1, 7)
	f.cell.Detach("e-1", l, f.now)
	f.now = f.now.Add(15 * time.Second)
	f.cell.ExcludePause(15*time.Second, f.now)
	f.tick(time.Second)
	must.SliceEmpty(t, *got)
	f.attach("e-1", "i1", outcomeOf(id, 0, false))
	must.Eq(t, []result.Code{result.OK}, answerCodes(got))
}

func TestAgentRestartMakesOutcomesUnknown(t *testing.T) {
	f, l := newServingFixture(t)
	got := f.submit(f.newID(0), 1, 7)
	must.Len(t, 1, l.drainStarts())
	f.attach("e-1", "i2")
	must.Eq(t, []result.Code{result.OutcomeUnknown}, answerCodes(got))
	list := f.cell.AgentListToStore(f.now)
	must.Len(t, 2, list.Agents)
	must.False(t, list.Agents[0].DepartedAt.IsZero())
}

func TestLateAndDuplicateOutcomesAreIgnored(t *testing.T) {
	f, l := newServingFixture(t)
	got := f.submit(f.newID(0), 2, 7)
	starts := l.drainStarts()
	f.reportOutcomes(l, starts[1:], result.OK)
	f.reportOutcomes(l, starts[1:], result.TaskFailed)
	f.reportOutcomes(l, starts[:1], result.OK)
	f.reportOutcomes(l, starts, result.TaskFailed)
	must.Eq(t, []result.Code{result.OK}, answerCodes(got))
	must.Eq(t, 3, f.cell.State().Counters.DuplicateOutcomes)
	must.Eq(t, 0, f.cell.State().Counters.InvariantFailures)
}

// A process of an agent that has been replaced, for example because it was paused,
// may come back and attach again. It must not displace its successor, whose tasks
// would count as unknown.
func TestReplacedAgentDoesNotDisplaceItsSuccessor(t *testing.T) {
	f := newFixture(t, 1, AgentList{})
	f.cell.AcceptOwnership(f.now)
	f.attach("e-1", "i1")
	l := f.attach("e-1", "i2")
	got := f.submit(f.newID(0), 1, 7)
	starts := l.drainStarts()
	must.Len(t, 1, starts)
	f.attach("e-1", "i1")
	must.SliceEmpty(t, *got)
	f.reportOutcomes(l, starts, result.OK)
	must.Eq(t, []result.Code{result.OK}, answerCodes(got))
	f.cell.Detach("e-1", l, f.now)
	back := f.attach("e-1", "i1")
	f.submit(f.newID(0), 1, 7)
	must.Len(t, 1, back.drainStarts())
}
