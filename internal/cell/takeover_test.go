package cell

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/sched"
)

// newTakeoverFixture is a cell of a second owner whose one agent reports records.
func newTakeoverFixture(t *testing.T, records ...*pb.Outcome) (*fixture, *fakeLink) {
	b := newFixture(t, 2, AgentList{Agents: []ListedAgent{{Endpoint: "e-1", Incarnation: "i1"}}})
	b.cell.AcceptOwnership(b.now)
	return b, b.attach("e-1", "i1", records...)
}

// A task that was running when its record was taken may turn out not to have
// started. A job that comes later must start it, not wait for it.
func TestAbortedRecordIsForgotten(t *testing.T) {
	for name, others := range map[string]int{"the only task": 0, "one of two": 1} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, 2, AgentList{})
			id := b.newID(time.Second)
			records := []*pb.Outcome{outcomeOf(id, 0, true)}
			if others > 0 {
				records = append(records, outcomeOf(id, 1, false))
			}
			b, l := newTakeoverFixture(t, records...)
			unsent := outcomeOf(id, 0, false)
			unsent.Code = uint32(result.EndpointUnreachable)
			b.cell.HandleOutcomes("e-1", l, []*pb.Outcome{unsent}, b.now)
			got := b.submit(id, 1+others, 7)
			b.tick(time.Second)
			starts := l.drainStarts()
			must.Len(t, 1, starts)
			b.reportOutcomes(l, starts, result.OK)
			must.Eq(t, []result.Code{result.OK}, answerCodes(got))
			must.Eq(t, 0, b.cell.State().Counters.InvariantFailures)
		})
	}
}

// Another job under the id of one whose records are held must not take them
// over, and its end must not be looked for in the other's tasks.
func TestRecordsOfAnotherJobConflict(t *testing.T) {
	b := newFixture(t, 2, AgentList{})
	id := b.newID(time.Second)
	b, l := newTakeoverFixture(t, outcomeOf(id, 2, true))
	must.Eq(t, []result.Code{result.IDConflict}, answerCodes(b.submit(id, 1, 8)))
	got := b.submit(id, 3, 7)
	b.cell.HandleOutcomes("e-1", l, []*pb.Outcome{outcomeOf(id, 2, false)}, b.now)
	b.reportOutcomes(l, l.drainStarts(), result.OK)
	must.Eq(t, []result.Code{result.OK}, answerCodes(got))
}

// An agent that went together with the owner must not keep every later
// takeover waiting, nor make it doubt ids that are much younger.
func TestMemberThatNeverCameBackDeparts(t *testing.T) {
	b := newFixture(t, 2, AgentList{Agents: []ListedAgent{{Endpoint: "e-1", Incarnation: "i1"}, {Endpoint: "e-2", Incarnation: "i2"}}})
	b.cell.AcceptOwnership(b.now)
	b.attach("e-1", "i1")
	b.tick(freshness)
	must.True(t, b.cell.AgentListToStore(b.now).Agents[1].DepartedAt.IsZero())
	b.tick(time.Millisecond)
	b.tick(5 * time.Second)
	departed := b.now
	m := b.cell.AgentListToStore(b.now)
	must.True(t, m.Agents[0].DepartedAt.IsZero())
	must.True(t, departed.Equal(m.Agents[1].DepartedAt))

	third := newFixture(t, 3, m)
	third.now = departed.Add(time.Minute)
	third.cell.AcceptOwnership(third.now)
	l := third.attach("e-1", "i1")
	must.Len(t, 0, *third.submit(third.newID(time.Second), 1, 7))
	must.Len(t, 1, l.drainStarts())
	must.Eq(t, []result.Code{result.OutcomeUnknown}, answerCodes(third.submit(third.newID(2*time.Minute), 1, 7)))
}

// A cancellation that comes while the cell is not serving yet must not be lost.
func TestCancelWhileFencing(t *testing.T) {
	for name, running := range map[string]bool{"nothing started": false, "one task runs": true} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, 2, AgentList{Agents: []ListedAgent{{Endpoint: "e-1", Incarnation: "i1"}}})
			id := b.newID(time.Second)
			got := b.submit(id, 2, 7)
			must.True(t, b.cell.Cancel(sched.Key(id), b.now))
			must.Len(t, 0, *got)
			b.cell.AcceptOwnership(b.now)
			var records []*pb.Outcome
			if running {
				records = append(records, outcomeOf(id, 0, true))
			}
			l := b.attach("e-1", "i1", records...)
			must.Len(t, 0, l.drainStarts())
			if !running {
				must.Eq(t, []result.Code{result.Cancelled}, answerCodes(got))
				return
			}
			must.Len(t, 1, l.cancels)
			ended := outcomeOf(id, 0, false)
			ended.Code = uint32(result.CancelledAfterStart)
			b.cell.HandleOutcomes("e-1", l, []*pb.Outcome{ended}, b.now)
			must.Eq(t, []result.Code{result.CancelledAfterStart}, answerCodes(got))
		})
	}
}

// The clocks of two owners differ: an id that the old one took may lie ahead
// of the new one's clock. What was started must not be refused as "not run".
func TestIDAheadOfTheNewOwnersClock(t *testing.T) {
	ahead := -clockSkew - clockSkew/2
	for name, c := range map[string]struct {
		started bool
		missing bool
		want    []result.Code
	}{
		"started before":      {true, false, []result.Code{result.OK}},
		"never started":       {false, false, []result.Code{result.IDFromFuture}},
		"an agent is missing": {false, true, []result.Code{result.OutcomeUnknown}},
	} {
		t.Run(name, func(t *testing.T) {
			old := AgentList{Agents: []ListedAgent{{Endpoint: "e-1", Incarnation: "i1"}}}
			if c.missing {
				old.Agents = append(old.Agents, ListedAgent{Endpoint: "e-2", Incarnation: "i2"})
			}
			b := newFixture(t, 2, old)
			b.cell.AcceptOwnership(b.now)
			b.tick(freshness + time.Millisecond)
			id := b.newID(ahead)
			var records []*pb.Outcome
			if c.started {
				records = append(records, outcomeOf(id, 0, false))
			}
			b.attach("e-1", "i1", records...)
			must.Eq(t, c.want, answerCodes(b.submit(id, 1, 7)))
		})
	}
}

// A job that is another by its body must not get the answers of the one that
// was started under its id, nor add its own tasks to it.
func TestRecordsOfAnotherBodyConflict(t *testing.T) {
	b := newFixture(t, 1, AgentList{})
	b.cell.AcceptOwnership(b.now)
	l := b.attach("e-1", "i1")
	id := b.newID(time.Second)
	b.submit(id, 2, 7)
	starts := l.drainStarts()
	must.Len(t, 2, starts)
	record := outcomeOf(id, 0, false)
	record.Digest = starts[0].GetDigest()

	b, l = newTakeoverFixture(t, record)
	must.Eq(t, []result.Code{result.IDConflict}, answerCodes(b.submit(id, 2, 8)))
	must.Len(t, 0, l.drainStarts())
	got := b.submit(id, 2, 7)
	b.reportOutcomes(l, l.drainStarts(), result.OK)
	must.Eq(t, []result.Code{result.OK}, answerCodes(got))
}

// The time that a submission waits for the takeover counts towards its
// deadline.
func TestWaitForTheTakeoverCounts(t *testing.T) {
	b := newFixture(t, 2, AgentList{Agents: []ListedAgent{{Endpoint: "e-1", Incarnation: "i1"}}})
	got := b.submit(b.newID(0), 1, 7)
	b.tick(15 * time.Second)
	b.cell.AcceptOwnership(b.now)
	b.attach("e-1", "i1")
	must.Eq(t, 5000, b.cell.Jobs(b.now)[0].RemainingMS)
	must.Len(t, 0, *got)
}
