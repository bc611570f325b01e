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

// Promise: no task of a submission starts twice, even when its client
// resubmits the job. The oracle counts the starts.

// tasksPerJob is the number of tasks of a job that fills the small fleet and waits
// in the queue too.
const tasksPerJob = 24

// resubmitToAll sends the job through every entry given, all at once.
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
	again := resubmitToAll(t, f, j, f.Entries...)
	first.MustAnswer(t, result.OK)
	mustAnswerAll(t, again, result.OK)
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
	lost := f.SubmitAsync(t.Context(), owner, j)
	f.AwaitStarts(t, j, 1)
	owner.Kill()
	again := resubmitToAll(t, f, j, others...)
	_, err := lost.Wait()
	must.Error(t, err)
	first.MustAnswer(t, result.OK)
	mustAnswerAll(t, again, result.OK)
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
	// Ids that may predate the gap are unknown too; later ones are not.
	fleet.Eventually(t, "new jobs are done", func(ctx context.Context) error { return f.Probe(ctx, others[0]) })
}

func TestResubmitWhileOwnerIsStopped(t *testing.T) {
	f := startSmallFleet(t)
	owner := f.AwaitOwner(t)
	others := f.OtherEntries(owner)
	j := fleet.NewJob(2*tasksPerJob, longRunTime)
	first := f.SubmitAsync(t.Context(), owner, j)
	f.AwaitStarts(t, j, 16)
	owner.Pause(t)
	f.AwaitOtherOwner(t, owner)
	again := resubmitToAll(t, f, j, others...)
	mustAnswerAll(t, again, result.OK)
	owner.Resume()
	mustAnswerAll(t, resubmitToAll(t, f, j, f.Entries...), result.OK)
	if ans, err := first.Wait(); err == nil {
		must.Eq(t, result.OK, ans.Code, must.Sprint(ans.Detail))
	}
	must.Len(t, 2*tasksPerJob, f.StartsOf(t, j))
}

// TestOwnerContinuedWithStartsInFlight stops the owner under load, again and
// again past its time, and wakes it while it has starts to send.
func TestOwnerContinuedWithStartsInFlight(t *testing.T) {
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

// TestOwnerContinuedWhileItCountsAsFresh wakes the old owner as soon as the new
// one serves: it has waiting tasks, free slots by the outcomes that it finds,
// and a confirmation that is not too old yet.
func TestOwnerContinuedWhileItCountsAsFresh(t *testing.T) {
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
	again := resubmitToAll(t, f, j, f.Entries...)
	first.MustAnswer(t, result.OK)
	mustAnswerAll(t, again, result.OK)
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
	again := resubmitToAll(t, f, j, others...)
	first.MustAnswer(t, result.OK, result.NoOwner, result.OutcomeUnknown, result.DeadlineAfterStart)
	mustAnswerAll(t, again, result.OK, result.NoOwner, result.OutcomeUnknown, result.DeadlineAfterStart)
	f.SetStoreFaults(t)
	load := f.StartLoad(t, 2, 2, shortRunTime, others...)
	load.AwaitMoreJobs(t, 4)
	mustAllSucceed(t, load.Stop())
}

func TestAnswerOfOwnershipChangeLost(t *testing.T) {
	f := startSmallFleet(t)
	owner := f.AwaitOwner(t)
	others := f.OtherEntries(owner)
	j := fleet.NewJob(tasksPerJob, longRunTime)
	first := f.SubmitAsync(t.Context(), others[0], j)
	f.AwaitStarts(t, j, 1)
	f.SetStoreFaults(t, kvstore.Fault{Kind: kvstore.LoseAnswers, Calls: []wire.Kind{wire.CompareAndSwap}, Count: 6})
	owner.Kill()
	again := resubmitToAll(t, f, j, others...)
	first.MustAnswer(t, result.OK)
	mustAnswerAll(t, again, result.OK)
	must.Len(t, tasksPerJob, f.StartsOf(t, j))
}
