package failure

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/standin/kvstore"
	"github.com/pomelosill/pomelosill/internal/store/wire"
	"github.com/pomelosill/pomelosill/test/fleet"
)

// The tests in this file check that no task of a submission starts twice, even
// when its client resubmits the job. The oracle counts the starts.

// tasksPerJob is more than the 16 slots of the small fleet, so that some tasks of
// a job wait in the queue.
const tasksPerJob = 24

// resubmitToAll submits the job to every given entry at the same time.
func resubmitToAll(t *testing.T, f *fleet.Fleet, j fleet.Job, entries ...*fleet.Entry) []*fleet.Call {
	t.Helper()
	var calls []*fleet.Call
	for _, e := range entries {
		calls = append(calls, f.SubmitAsync(t.Context(), e, j))
	}
	return calls
}

func mustAnswerAll(t *testing.T, calls []*fleet.Call, codes ...result.Code) {
	t.Helper()
	for _, c := range calls {
		c.MustAnswer(t, codes...)
	}
}

func TestResubmitWhileRunning(t *testing.T) {
	f := startSmallFleet(t)
	j := fleet.NewJob(tasksPerJob, longRunTime)
	first := f.SubmitAsync(t.Context(), f.Entries[0], j)
	f.AwaitStarts(t, j, 1)
	resubmissions := resubmitToAll(t, f, j, f.Entries...)
	first.MustAnswer(t, result.OK)
	mustAnswerAll(t, resubmissions, result.OK)
	must.Len(t, tasksPerJob, f.StartsOf(t, j))
}

func TestResubmitAfterAnswer(t *testing.T) {
	f := startSmallFleet(t)
	j := fleet.NewJob(tasksPerJob, shortRunTime)
	f.MustSubmit(t, f.Entries[0], j, result.OK)
	mustAnswerAll(t, resubmitToAll(t, f, j, f.Entries...), result.OK)
	must.Len(t, tasksPerJob, f.StartsOf(t, j))
}

func TestSameIDWithAnotherBodyIsRefused(t *testing.T) {
	f := startSmallFleet(t)
	j := fleet.NewJob(2, shortRunTime)
	f.MustSubmit(t, f.Entries[0], j, result.OK)
	other := fleet.NewJob(2, longRunTime)
	other.ID = j.ID
	mustAnswerAll(t, resubmitToAll(t, f, other, f.Entries...), result.IDConflict)
	must.Len(t, 2, f.StartsOf(t, j))
}

func TestResubmitAfterOwnerKilled(t *testing.T) {
	f := startSmallFleet(t)
	owner := f.AwaitOwner(t)
	others := f.OtherEntries(owner)
	j := fleet.NewJob(tasksPerJob, longRunTime)
	first := f.SubmitAsync(t.Context(), others[0], j)
	lostCall := f.SubmitAsync(t.Context(), owner, j)
	f.AwaitStarts(t, j, 1)
	owner.Kill()
	resubmissions := resubmitToAll(t, f, j, others...)
	_, err := lostCall.Wait()
	must.Error(t, err)
	first.MustAnswer(t, result.OK)
	mustAnswerAll(t, resubmissions, result.OK)
	must.Len(t, tasksPerJob, f.StartsOf(t, j))
	f.MustSubmit(t, others[0], fleet.NewJob(tasksPerJob, shortRunTime), result.OK)
}

func TestResubmitAfterOwnerAndAgentKilledTogether(t *testing.T) {
	f := startSmallFleet(t)
	owner := f.AwaitOwner(t)
	others := f.OtherEntries(owner)
	j := fleet.NewJob(tasksPerJob, longRunTime)
	first := f.SubmitAsync(t.Context(), owner, j)
	f.AwaitStarts(t, j, 16)
	f.Endpoints[0].Agent.Kill()
	owner.Kill()
	_, err := first.Wait()
	must.Error(t, err)
	mustAnswerAll(t, resubmitToAll(t, f, j, others...), result.OutcomeUnknown)
	f.Endpoints[0].Agent.Start(t)
	mustAnswerAll(t, resubmitToAll(t, f, j, others...), result.OutcomeUnknown)
	// Jobs whose ids may be older than the gap in the records have unknown
	// outcomes too, but newer jobs run.
	fleet.Eventually(t, "a new job is done", func(ctx context.Context) error { return f.Probe(ctx, others[0]) })
}

func TestResubmitWhileOwnerIsPaused(t *testing.T) {
	f := startSmallFleet(t)
	owner := f.AwaitOwner(t)
	others := f.OtherEntries(owner)
	j := fleet.NewJob(2*tasksPerJob, longRunTime)
	first := f.SubmitAsync(t.Context(), owner, j)
	f.AwaitStarts(t, j, 16)
	owner.Pause(t)
	f.AwaitOtherOwner(t, owner)
	resubmissions := resubmitToAll(t, f, j, others...)
	mustAnswerAll(t, resubmissions, result.OK)
	owner.Resume()
	mustAnswerAll(t, resubmitToAll(t, f, j, f.Entries...), result.OK)
	if answer, err := first.Wait(); err == nil {
		must.Eq(t, result.OK, answer.Code, must.Sprint(answer.Detail))
	}
	must.Len(t, 2*tasksPerJob, f.StartsOf(t, j))
}

// TestOwnerResumedWithStartsInFlight repeatedly pauses the owner under load until
// another entry has taken over, and resumes it while it still has starts to send.
func TestOwnerResumedWithStartsInFlight(t *testing.T) {
	f := startSmallFleet(t)
	load := f.StartLoad(t, 8, 6, shortRunTime, f.Entries...)
	for range 2 {
		load.AwaitMoreJobs(t, 10)
		owner := f.AwaitOwner(t)
		owner.Pause(t)
		f.AwaitOtherOwner(t, owner)
		owner.Resume()
		load.AwaitMoreJobs(t, 10)
	}
	mustAllSucceed(t, load.Stop())
}

// TestOwnerResumedWithValidConfirmation resumes the old owner as soon as the new
// one serves. The old owner then has waiting tasks, free slots according to the
// outcomes it receives, and a confirmation that has not expired yet.
func TestOwnerResumedWithValidConfirmation(t *testing.T) {
	f := startSmallFleet(t)
	load := f.StartLoad(t, 12, 8, shortRunTime, f.Entries...)
	for range 3 {
		load.AwaitMoreJobs(t, 10)
		owner := f.AwaitOwner(t)
		others := f.OtherEntries(owner)
		owner.Pause(t)
		f.AwaitOtherOwner(t, owner)
		f.MustSubmit(t, others[0], fleet.NewJob(1, 0), result.OK)
		owner.Resume()
		load.AwaitMoreJobs(t, 10)
		f.AwaitReady(t)
	}
	mustAllSucceed(t, load.Stop())
}

func TestResubmitDuringStoreOutage(t *testing.T) {
	f := startSmallFleet(t)
	j := fleet.NewJob(tasksPerJob, longRunTime)
	first := f.SubmitAsync(t.Context(), f.Entries[0], j)
	f.AwaitStarts(t, j, 1)
	f.SetStoreFaults(t, kvstore.Fault{Kind: kvstore.Outage})
	resubmissions := resubmitToAll(t, f, j, f.Entries...)
	first.MustAnswer(t, result.OK)
	mustAnswerAll(t, resubmissions, result.OK)
	must.Len(t, tasksPerJob, f.StartsOf(t, j))
}

func TestOwnerKilledDuringStoreOutage(t *testing.T) {
	f := startSmallFleet(t)
	owner := f.AwaitOwner(t)
	others := f.OtherEntries(owner)
	j := fleet.NewJob(tasksPerJob, longRunTime).WithTimeout(12 * time.Second)
	first := f.SubmitAsync(t.Context(), others[0], j)
	f.AwaitStarts(t, j, 1)
	f.SetStoreFaults(t, kvstore.Fault{Kind: kvstore.Outage})
	owner.Kill()
	resubmissions := resubmitToAll(t, f, j, others...)
	first.MustAnswer(t, result.OK, result.NoOwner, result.OutcomeUnknown, result.DeadlineAfterStart)
	mustAnswerAll(t, resubmissions, result.OK, result.NoOwner, result.OutcomeUnknown, result.DeadlineAfterStart)
	f.SetStoreFaults(t)
	load := f.StartLoad(t, 2, 2, shortRunTime, others...)
	load.AwaitMoreJobs(t, 4)
	mustAllSucceed(t, load.Stop())
}

func TestStoreAnswerToOwnershipChangeLost(t *testing.T) {
	f := startSmallFleet(t)
	owner := f.AwaitOwner(t)
	others := f.OtherEntries(owner)
	j := fleet.NewJob(tasksPerJob, longRunTime)
	first := f.SubmitAsync(t.Context(), others[0], j)
	f.AwaitStarts(t, j, 1)
	f.SetStoreFaults(t, kvstore.Fault{Kind: kvstore.LoseAnswers, Calls: []wire.Kind{wire.CompareAndSwap}, Count: 6})
	owner.Kill()
	resubmissions := resubmitToAll(t, f, j, others...)
	first.MustAnswer(t, result.OK)
	mustAnswerAll(t, resubmissions, result.OK)
	must.Len(t, tasksPerJob, f.StartsOf(t, j))
}
