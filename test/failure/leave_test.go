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

// Promises: an endpoint that is leaving gets no new work after a few seconds,
// and a graceful shutdown cuts no request in progress.

// shutdownTimeout bounds the graceful shutdown of a process with short tasks.
const shutdownTimeout = 20 * time.Second

func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	f := startSmallFleet(t)
	leaving := f.Endpoints[0]
	load := f.StartLoad(t, 8, 8, shortRunTime, f.Entries...)
	load.AwaitMoreJobs(t, 10)
	leaving.Agent.Terminate()
	asked := time.Now()
	leaving.Agent.MustExit(t, 0, shutdownTimeout)
	awaitStartDeadline(t, load, asked)
	mustAllSucceed(t, load.Stop())
	for _, s := range f.Starts(t) {
		after := s.StartedAt.Sub(asked)
		must.False(t, s.Endpoint == leaving.Name && after > maxStartAfterLeaving, must.Sprintf("started %v after", after))
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

// TestAgentLeavesWhileTheOwnerIsStopped loses the announcement of the leaving.
func TestAgentLeavesWhileTheOwnerIsStopped(t *testing.T) {
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

// TestEntryShutsDownUnderLoad ends the owner, and in a second case another
// entry, while callers use all of them.
func TestEntryShutsDownUnderLoad(t *testing.T) {
	for _, owns := range []bool{true, false} {
		t.Run(fmt.Sprintf("owner %v", owns), func(t *testing.T) {
			f := startSmallFleet(t)
			ends := f.AwaitOwner(t)
			if !owns {
				ends = f.OtherEntries(ends)[0]
			}
			j := fleet.NewJob(tasksPerJob, longRunTime)
			inProgress := f.SubmitAsync(t.Context(), ends, j)
			f.AwaitStarts(t, j, 1)
			load := f.StartLoad(t, 8, 4, shortRunTime, f.OtherEntries(ends)...)
			load.AwaitMoreJobs(t, 5)
			ends.Terminate()
			inProgress.MustAnswer(t, result.OK)
			ends.MustExit(t, 0, shutdownTimeout)
			load.AwaitMoreJobs(t, 20)
			mustAllSucceed(t, load.Stop())
		})
	}
}

// TestCallersOfAnEntryThatShutsDown checks that every call that reaches the
// entry is answered whole or refused truthfully.
func TestCallersOfAnEntryThatShutsDown(t *testing.T) {
	f := startSmallFleet(t)
	ends := f.AwaitOwner(t)
	load := f.StartLoad(t, 16, 4, shortRunTime, f.Entries...)
	load.AwaitMoreJobs(t, 20)
	ends.Terminate()
	ends.MustExit(t, 0, shutdownTimeout)
	load.AwaitMoreJobs(t, 20)
	mustAllSucceed(t, load.Stop())
}

func TestWorkThroughAStoreOutage(t *testing.T) {
	f := startSmallFleet(t)
	load := f.StartLoad(t, 8, 4, shortRunTime, f.Entries...)
	load.AwaitMoreJobs(t, 10)
	f.SetStoreFaults(t, kvstore.Fault{Kind: kvstore.Outage})
	began := time.Now()
	for time.Since(began) < 8*time.Second {
		load.AwaitMoreJobs(t, 1)
	}
	before := load.EndedJobs()
	load.AwaitMoreJobs(t, 20)
	must.Greater(t, before, load.EndedJobs())
	f.SetStoreFaults(t)
	load.AwaitMoreJobs(t, 20)
	mustAllSucceed(t, load.Stop())
}

// TestStoreDownAtStart starts everything without the store; it waits and then
// serves.
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
