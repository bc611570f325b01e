package cell

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/sched"
)

// newTakeoverFixture returns the cell of a second owner whose only agent
// reports the given records.
func newTakeoverFixture(t *testing.T, records ...*pb.Outcome) (*fixture, *fakeLink) {
	f := newFixture(t, 2, AgentList{Agents: []ListedAgent{{Endpoint: "e-1", Incarnation: "i1"}}})
	f.cell.AcceptOwnership(f.now)
	return f, f.attach("e-1", "i1", records...)
}

// TestRecordOfUnstartedTaskIsDeleted guards against keeping the record of a
// task that was running when the record was sent but turns out not to have
// started. A job submitted later would wait for it forever instead of starting
// the task.
func TestRecordOfUnstartedTaskIsDeleted(t *testing.T) {
	for name, others := range map[string]int{"the only task": 0, "one of two": 1} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2, AgentList{})
			id := f.newID(time.Second)
			records := []*pb.Outcome{outcomeOf(id, 0, true)}
			if others > 0 {
				records = append(records, outcomeOf(id, 1, false))
			}
			f, l := newTakeoverFixture(t, records...)
			notStarted := outcomeOf(id, 0, false)
			notStarted.Code = uint32(result.EndpointUnreachable)
			f.cell.HandleOutcomes("e-1", l, []*pb.Outcome{notStarted}, f.now)
			got := f.submit(id, 1+others, 7)
			f.tick(time.Second)
			starts := l.drainStarts()
			must.Len(t, 1, starts)
			f.reportOutcomes(l, starts, result.OK)
			must.Eq(t, []result.Code{result.OK}, answerCodes(got))
			must.Eq(t, 0, f.cell.State().Counters.InvariantFailures)
		})
	}
}

// TestRecordsOfAnotherJobConflict guards against a job that takes over the
// records of another job with the same ID. The records may also hold a task
// index that the new job does not have, which would be out of range when that
// task ends.
func TestRecordsOfAnotherJobConflict(t *testing.T) {
	f := newFixture(t, 2, AgentList{})
	id := f.newID(time.Second)
	f, l := newTakeoverFixture(t, outcomeOf(id, 2, true))
	must.Eq(t, []result.Code{result.IDConflict}, answerCodes(f.submit(id, 1, 8)))
	got := f.submit(id, 3, 7)
	f.cell.HandleOutcomes("e-1", l, []*pb.Outcome{outcomeOf(id, 2, false)}, f.now)
	f.reportOutcomes(l, l.drainStarts(), result.OK)
	must.Eq(t, []result.Code{result.OK}, answerCodes(got))
}

// TestListedAgentThatNeverReattachesDeparts guards against waiting forever for
// an agent that was lost together with its owner and so never attaches to the
// new one. If it were not marked as departed, every later takeover would wait
// for it and report much younger IDs as unknown.
func TestListedAgentThatNeverReattachesDeparts(t *testing.T) {
	f := newFixture(t, 2, AgentList{Agents: []ListedAgent{{Endpoint: "e-1", Incarnation: "i1"}, {Endpoint: "e-2", Incarnation: "i2"}}})
	f.cell.AcceptOwnership(f.now)
	f.attach("e-1", "i1")
	f.tick(freshness)
	must.True(t, f.cell.AgentListToStore(f.now).Agents[1].DepartedAt.IsZero())
	f.tick(time.Millisecond)
	f.tick(5 * time.Second)
	departed := f.now
	list := f.cell.AgentListToStore(f.now)
	must.True(t, list.Agents[0].DepartedAt.IsZero())
	must.True(t, departed.Equal(list.Agents[1].DepartedAt))

	third := newFixture(t, 3, list)
	third.now = departed.Add(time.Minute)
	third.cell.AcceptOwnership(third.now)
	l := third.attach("e-1", "i1")
	must.Len(t, 0, *third.submit(third.newID(time.Second), 1, 7))
	must.Len(t, 1, l.drainStarts())
	must.Eq(t, []result.Code{result.OutcomeUnknown}, answerCodes(third.submit(third.newID(2*time.Minute), 1, 7)))
}

// TestCancelWhileFencingIsNotLost guards against losing a cancellation that
// arrives before the cell serves.
func TestCancelWhileFencingIsNotLost(t *testing.T) {
	for name, running := range map[string]bool{"nothing started": false, "one task runs": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2, AgentList{Agents: []ListedAgent{{Endpoint: "e-1", Incarnation: "i1"}}})
			id := f.newID(time.Second)
			got := f.submit(id, 2, 7)
			must.True(t, f.cell.Cancel(sched.Key(id), f.now))
			must.Len(t, 0, *got)
			f.cell.AcceptOwnership(f.now)
			var records []*pb.Outcome
			if running {
				records = append(records, outcomeOf(id, 0, true))
			}
			l := f.attach("e-1", "i1", records...)
			must.Len(t, 0, l.drainStarts())
			if !running {
				must.Eq(t, []result.Code{result.Cancelled}, answerCodes(got))
				return
			}
			must.Len(t, 1, l.cancels)
			ended := outcomeOf(id, 0, false)
			ended.Code = uint32(result.CancelledAfterStart)
			f.cell.HandleOutcomes("e-1", l, []*pb.Outcome{ended}, f.now)
			must.Eq(t, []result.Code{result.CancelledAfterStart}, answerCodes(got))
		})
	}
}

// TestIDAheadOfNewOwnersClock guards against a code that says "not run" for a
// job that was started. The clocks of two owners differ, so an ID that the
// previous owner accepted may lie in the future for the new one.
func TestIDAheadOfNewOwnersClock(t *testing.T) {
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
			f := newFixture(t, 2, old)
			f.cell.AcceptOwnership(f.now)
			f.tick(freshness + time.Millisecond)
			id := f.newID(ahead)
			var records []*pb.Outcome
			if c.started {
				records = append(records, outcomeOf(id, 0, false))
			}
			f.attach("e-1", "i1", records...)
			must.Eq(t, c.want, answerCodes(f.submit(id, 1, 7)))
		})
	}
}

// TestRecordsOfAnotherBodyConflict guards against a job with the same ID but
// another body that gets the answers of the job that was started under the ID,
// or starts its own tasks in it.
func TestRecordsOfAnotherBodyConflict(t *testing.T) {
	f, l := newServingFixture(t)
	id := f.newID(time.Second)
	f.submit(id, 2, 7)
	starts := l.drainStarts()
	must.Len(t, 2, starts)
	record := outcomeOf(id, 0, false)
	record.Digest = starts[0].GetDigest()

	f, l = newTakeoverFixture(t, record)
	must.Eq(t, []result.Code{result.IDConflict}, answerCodes(f.submit(id, 2, 8)))
	must.Len(t, 0, l.drainStarts())
	got := f.submit(id, 2, 7)
	f.reportOutcomes(l, l.drainStarts(), result.OK)
	must.Eq(t, []result.Code{result.OK}, answerCodes(got))
}

// TestTakeoverWaitCountsTowardsDeadline guards against extending the deadline
// by the time that a submission waits for the takeover.
func TestTakeoverWaitCountsTowardsDeadline(t *testing.T) {
	f := newFixture(t, 2, AgentList{Agents: []ListedAgent{{Endpoint: "e-1", Incarnation: "i1"}}})
	got := f.submit(f.newID(0), 1, 7)
	f.tick(15 * time.Second)
	f.cell.AcceptOwnership(f.now)
	f.attach("e-1", "i1")
	must.Eq(t, 5000, f.cell.Jobs(f.now)[0].RemainingMS)
	must.Len(t, 0, *got)
}

func TestTakeoverContinuesFromRecords(t *testing.T) {
	old := AgentList{Agents: []ListedAgent{{Endpoint: "e-1", Incarnation: "i1"}}}
	f := newFixture(t, 2, old)
	id := f.newID(time.Second)
	got := f.submit(id, 3, 7)
	f.cell.AcceptOwnership(f.now)
	must.Len(t, 0, *got)
	l := f.attach("e-1", "i1", outcomeOf(id, 0, false), outcomeOf(id, 1, true))
	starts := l.drainStarts()
	must.Len(t, 1, starts)
	must.Eq(t, 2, starts[0].GetTask().GetIndex())
	f.reportOutcomes(l, starts, result.OK)
	must.Len(t, 0, *got)
	f.cell.HandleOutcomes("e-1", l, []*pb.Outcome{outcomeOf(id, 1, false)}, f.now)
	must.Eq(t, []result.Code{result.OK}, answerCodes(got))
}

// TestTakeoverKeepsJobsWhoseEndpointsAreNotAttachedYet guards against refusing
// a job as impossible to run while the only endpoint that may run it has not
// attached to the new owner yet. The job must wait for it.
func TestTakeoverKeepsJobsWhoseEndpointsAreNotAttachedYet(t *testing.T) {
	old := AgentList{Agents: []ListedAgent{{Endpoint: "e-1", Incarnation: "i1"}, {Endpoint: "e-9", Incarnation: "i9", FailureDomain: "Los Olivos", Slots: 8}}}
	f := newFixture(t, 2, old)
	d := f.cell.control.Clone()
	d.Revision++
	d.Config.Teams[0].Domains = []string{"Los Olivos"}
	f.cell.ApplyControl(d, f.now)
	f.cell.AcceptOwnership(f.now)
	f.attach("e-1", "i1")
	f.tick(freshness + time.Millisecond)
	f.tick(3 * clockSkew)
	must.Len(t, 0, *f.submit(f.newID(0), 1, 7))
}

// TestTakeoverWaitsForAgentDetachedBeforeAcceptance guards against serving too
// early. An agent that loses its stream to the new owner before the takeover is
// accepted must not count as departed: it may still work for the previous
// owner, which can act until the freshness limit has passed.
func TestTakeoverWaitsForAgentDetachedBeforeAcceptance(t *testing.T) {
	f := newFixture(t, 2, AgentList{Generation: 1, Agents: []ListedAgent{{Endpoint: "e-1", Incarnation: "i1"}}})
	l := f.attachUnfenced("e-1", "i1")
	f.cell.Detach("e-1", l, f.now)
	f.tick(6 * time.Second)
	f.cell.AcceptOwnership(f.now)
	id := f.newID(0)
	got := f.submit(id, 1, 1)
	must.SliceEmpty(t, *got)
	f.tick(freshness + time.Millisecond)
	must.Eq(t, []result.Code{result.OutcomeUnknown}, answerCodes(got))
}
