package failure

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/standin/kvstore"
	"github.com/pomelosill/pomelosill/test/fleet"
)

// The tests in this file check that an endpoint that is leaving gets no new work
// after a few seconds, that a graceful shutdown interrupts no request in progress,
// and that store outages do not stop the system.

// shutdownTimeout is the longest time that a graceful shutdown may take.
const shutdownTimeout = 20 * time.Second

func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	f := startSmallFleet(t)
	leaving := f.Endpoints[0]
	load := f.StartLoad(t, 8, 8, shortRunTime, f.Entries...)
	load.AwaitMoreJobs(t, 10)
	leaving.Agent.Terminate()
	leftAt := time.Now()
	leaving.Agent.MustExit(t, 0, shutdownTimeout)
	awaitStartDeadline(t, load, leftAt)
	mustAllSucceed(t, load.Stop())
	for _, s := range f.Starts(t) {
		after := s.StartedAt.Sub(leftAt)
		must.False(t, s.Endpoint == leaving.Name && after > maxStartAfterLeaving, must.Sprintf("a task started %v after SIGTERM", after))
	}
}

func TestAgentFinishesLongTasksBeforeItLeaves(t *testing.T) {
	f := startSmallFleet(t)
	j := fleet.NewJob(16, 3*time.Second)
	call := f.SubmitAsync(t.Context(), f.Entries[0], j)
	f.AwaitStarts(t, j, 16)
	f.Endpoints[0].Agent.Terminate()
	call.MustAnswer(t, result.OK)
	f.Endpoints[0].Agent.MustExit(t, 0, shutdownTimeout)
}

// TestAgentLeavesWhileOwnerIsPaused shuts an agent down while the paused owner
// cannot receive its announcement. The agent must still exit, and the resumed
// owner must cope with its absence.
func TestAgentLeavesWhileOwnerIsPaused(t *testing.T) {
	f := startSmallFleet(t)
	owner := f.AwaitOwner(t)
	load := f.StartLoad(t, 8, 4, shortRunTime, f.OtherEntries(owner)...)
	load.AwaitMoreJobs(t, 10)
	owner.Pause(t)
	f.Endpoints[0].Agent.Terminate()
	f.Endpoints[0].Agent.MustExit(t, 0, shutdownTimeout)
	owner.Resume()
	load.AwaitMoreJobs(t, 20)
	mustAllSucceed(t, load.Stop())
}

// TestEntryShutsDownUnderLoad shuts down the owner, or another entry, while it has
// a job in progress and callers use the other entries.
func TestEntryShutsDownUnderLoad(t *testing.T) {
	for _, isOwner := range []bool{true, false} {
		t.Run(fmt.Sprintf("owner %v", isOwner), func(t *testing.T) {
			f := startSmallFleet(t)
			entry := f.AwaitOwner(t)
			if !isOwner {
				entry = f.OtherEntries(entry)[0]
			}
			j := fleet.NewJob(tasksPerJob, longRunTime)
			inProgress := f.SubmitAsync(t.Context(), entry, j)
			f.AwaitStarts(t, j, 1)
			load := f.StartLoad(t, 8, 4, shortRunTime, f.OtherEntries(entry)...)
			load.AwaitMoreJobs(t, 5)
			entry.Terminate()
			inProgress.MustAnswer(t, result.OK)
			entry.MustExit(t, 0, shutdownTimeout)
			load.AwaitMoreJobs(t, 20)
			mustAllSucceed(t, load.Stop())
		})
	}
}

// TestShutdownOfEntryAnswersItsCallers shuts an entry down while callers use it.
// Every call that reaches it must get a complete answer or a truthful refusal.
func TestShutdownOfEntryAnswersItsCallers(t *testing.T) {
	f := startSmallFleet(t)
	entry := f.AwaitOwner(t)
	load := f.StartLoad(t, 16, 4, shortRunTime, f.Entries...)
	load.AwaitMoreJobs(t, 20)
	entry.Terminate()
	entry.MustExit(t, 0, shutdownTimeout)
	load.AwaitMoreJobs(t, 20)
	mustAllSucceed(t, load.Stop())
}

func TestJobsContinueDuringStoreOutage(t *testing.T) {
	f := startSmallFleet(t)
	load := f.StartLoad(t, 8, 4, shortRunTime, f.Entries...)
	load.AwaitMoreJobs(t, 10)
	f.SetStoreFaults(t, kvstore.Fault{Kind: kvstore.Outage})
	outageBegan := time.Now()
	for time.Since(outageBegan) < 8*time.Second {
		load.AwaitMoreJobs(t, 1)
	}
	before := load.EndedJobs()
	load.AwaitMoreJobs(t, 20)
	must.Greater(t, before, load.EndedJobs())
	f.SetStoreFaults(t)
	load.AwaitMoreJobs(t, 20)
	mustAllSucceed(t, load.Stop())
}

// TestStoreDownAtStart starts a fleet during a store outage. The entries must
// refuse jobs until the store is back, and then serve.
func TestStoreDownAtStart(t *testing.T) {
	t.Parallel()
	f := fleet.New(t, fleet.SmallConfig())
	f.StartKVStore(t)
	f.SetStoreFaults(t, kvstore.Fault{Kind: kvstore.Outage})
	for _, e := range f.Entries {
		e.Start(t)
	}
	for _, e := range f.Endpoints {
		f.StartEndpoint(t, e)
		e.Agent.Start(t)
	}
	fleet.Eventually(t, "an entry answers", func(ctx context.Context) error {
		_, err := f.Query(ctx, f.Entries[0], "entries")
		return err
	})
	f.MustSubmit(t, f.Entries[0], fleet.NewJob(1, 0).WithTimeout(time.Second), result.NoOwner)
	f.SetStoreFaults(t)
	f.AwaitReady(t)
}
