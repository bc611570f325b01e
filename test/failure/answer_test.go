package failure

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/standin/endpoint"
	"github.com/pomelosill/pomelosill/test/fleet"
)

// The tests in this file check that a job's answer is either complete or failed,
// never partial, and belongs to its own request. The oracle compares each answer
// with the tasks of its request.

func TestAgentKilledAmidJob(t *testing.T) {
	f := startSmallFleet(t)
	j := fleet.NewJob(tasksPerJob, longRunTime)
	call := f.SubmitAsync(t.Context(), f.Entries[0], j)
	f.AwaitStarts(t, j, 16)
	f.Endpoints[0].Agent.Kill()
	call.MustAnswer(t, result.OutcomeUnknown)
	f.MustSubmit(t, f.Entries[1], fleet.NewJob(tasksPerJob, shortRunTime), result.OK)
}

func TestAgentKilledAndRestartedAmidJob(t *testing.T) {
	f := startSmallFleet(t)
	j := fleet.NewJob(tasksPerJob, longRunTime)
	call := f.SubmitAsync(t.Context(), f.Entries[0], j)
	f.AwaitStarts(t, j, 16)
	f.Endpoints[0].Agent.Kill()
	f.Endpoints[0].Agent.Start(t)
	call.MustAnswer(t, result.OutcomeUnknown)
	mustAnswerAll(t, resubmitToAll(t, f, j, f.Entries...), result.OutcomeUnknown)
}

func TestEndpointKilledAmidJob(t *testing.T) {
	f := startSmallFleet(t)
	j := fleet.NewJob(tasksPerJob, longRunTime)
	call := f.SubmitAsync(t.Context(), f.Entries[0], j)
	f.AwaitStarts(t, j, 16)
	f.Endpoints[0].Kill()
	call.MustAnswer(t, result.OutcomeUnknown, result.TaskFailed)
	mustAnswerAll(t, resubmitToAll(t, f, j, f.Entries...), result.OutcomeUnknown, result.TaskFailed)
}

func TestReceivingEntryKilledAmidJob(t *testing.T) {
	f := startSmallFleet(t)
	owner := f.AwaitOwner(t)
	receiver := f.OtherEntries(owner)[0]
	j := fleet.NewJob(tasksPerJob, longRunTime)
	call := f.SubmitAsync(t.Context(), receiver, j)
	f.AwaitStarts(t, j, 1)
	receiver.Kill()
	_, err := call.Wait()
	must.Error(t, err)
	mustAnswerAll(t, resubmitToAll(t, f, j, f.OtherEntries(receiver)...), result.OK)
	must.Len(t, tasksPerJob, f.StartsOf(t, j))
}

// TestPausedAgentAnswersLate resumes a paused agent after its job was answered. The
// agent's outcomes then arrive after the job was given up, or after another owner
// has taken over.
func TestPausedAgentAnswersLate(t *testing.T) {
	f := startSmallFleet(t)
	j := fleet.NewJob(tasksPerJob, longRunTime)
	call := f.SubmitAsync(t.Context(), f.Entries[0], j)
	f.AwaitStarts(t, j, 16)
	f.Endpoints[0].Agent.Pause(t)
	call.MustAnswer(t, result.OK, result.OutcomeUnknown)
	f.Endpoints[0].Agent.Resume()
	mustAnswerAll(t, resubmitToAll(t, f, j, f.Entries...), result.OK, result.OutcomeUnknown)
}

// TestManyCallersGetTheirOwnAnswers guards against answers that reach the wrong
// caller. Many jobs share connections while one endpoint answers slowly and
// another breaks connections.
func TestManyCallersGetTheirOwnAnswers(t *testing.T) {
	f := startSmallFleet(t)
	f.SetEndpointFaults(t, f.Endpoints[0], endpoint.Faults{SlowFactor: 5})
	f.SetEndpointFaults(t, f.Endpoints[1], endpoint.Faults{CutAfter: 5})
	load := f.StartLoad(t, 16, 5, shortRunTime, f.Entries...)
	load.AwaitMoreJobs(t, 100)
	done := 0
	for _, o := range load.Stop() {
		must.NoError(t, o.Err)
		if o.Answer.Code == result.OK {
			done++
			continue
		}
		must.Eq(t, result.OutcomeUnknown, o.Answer.Code, must.Sprint(o.Answer.Detail))
	}
	must.Positive(t, done)
}
