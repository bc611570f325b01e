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

// shutdownTime bounds the graceful shutdown of a process with short tasks.
const shutdownTime = 20 * time.Second

func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	f := start(t)
	leaving := f.Endpoints[0]
	load := f.StartLoad(t, 8, 8, shortRun, f.Entries...)
	load.AwaitMore(t, 10)
	leaving.Agent.Term()
	asked := time.Now()
	leaving.Agent.MustExit(t, 0, shutdownTime)
	pass(t, load, asked)
	mustAllBeDone(t, load.Stop())
	for _, s := range f.Starts(t) {
		after := s.At.Sub(asked)
		must.False(t, s.Endpoint == leaving.Name && after > leaveBound, must.Sprintf("started %v after", after))
	}
}

func TestAgentFinishesLongTasksBeforeItLeaves(t *testing.T) {
	f := start(t)
	j := fleet.NewJob(16, 3*time.Second)
	call := f.Go(t.Context(), f.Entries[0], j)
	f.AwaitStarts(t, j, 16)
	f.Endpoints[0].Agent.Term()
	call.MustAnswer(t, result.OK)
	f.Endpoints[0].Agent.MustExit(t, 0, shutdownTime)
}

// TestAgentLeavesWhileTheOwnerIsStopped loses the announcement of the leaving.
func TestAgentLeavesWhileTheOwnerIsStopped(t *testing.T) {
	f := start(t)
	owner := f.MustOwner(t)
	load := f.StartLoad(t, 8, 4, shortRun, f.Others(owner)...)
	load.AwaitMore(t, 10)
	owner.Stop(t)
	f.Endpoints[0].Agent.Term()
	f.Endpoints[0].Agent.MustExit(t, 0, shutdownTime)
	owner.Continue()
	load.AwaitMore(t, 20)
	mustAllBeDone(t, load.Stop())
}

// TestEntryShutsDownUnderLoad ends the owner, and in a second case another
// entry, while callers use all of them.
func TestEntryShutsDownUnderLoad(t *testing.T) {
	for _, owns := range []bool{true, false} {
		t.Run(fmt.Sprintf("owner %v", owns), func(t *testing.T) {
			f := start(t)
			ends := f.MustOwner(t)
			if !owns {
				ends = f.Others(ends)[0]
			}
			j := fleet.NewJob(tasks, longRun)
			inProgress := f.Go(t.Context(), ends, j)
			f.AwaitStarts(t, j, 1)
			load := f.StartLoad(t, 8, 4, shortRun, f.Others(ends)...)
			load.AwaitMore(t, 5)
			ends.Term()
			inProgress.MustAnswer(t, result.OK)
			ends.MustExit(t, 0, shutdownTime)
			load.AwaitMore(t, 20)
			mustAllBeDone(t, load.Stop())
		})
	}
}

// TestCallersOfAnEntryThatShutsDown checks that every call that reaches the
// entry is answered whole or refused truthfully.
func TestCallersOfAnEntryThatShutsDown(t *testing.T) {
	f := start(t)
	ends := f.MustOwner(t)
	load := f.StartLoad(t, 16, 4, shortRun, f.Entries...)
	load.AwaitMore(t, 20)
	ends.Term()
	ends.MustExit(t, 0, shutdownTime)
	load.AwaitMore(t, 20)
	mustAllBeDone(t, load.Stop())
}

func TestWorkThroughAStoreOutage(t *testing.T) {
	f := start(t)
	load := f.StartLoad(t, 8, 4, shortRun, f.Entries...)
	load.AwaitMore(t, 10)
	f.StoreFaults(t, kvstore.Fault{Kind: kvstore.Outage})
	began := time.Now()
	for time.Since(began) < 8*time.Second {
		load.AwaitMore(t, 1)
	}
	before := load.Done()
	load.AwaitMore(t, 20)
	must.Greater(t, before, load.Done())
	f.StoreFaults(t)
	load.AwaitMore(t, 20)
	mustAllBeDone(t, load.Stop())
}

// TestStoreDownAtStart starts everything without the store; it waits and then
// serves.
func TestStoreDownAtStart(t *testing.T) {
	t.Parallel()
	f := fleet.New(t, fleet.Small())
	f.StartPlatform(t)
	f.StoreFaults(t, kvstore.Fault{Kind: kvstore.Outage})
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
	f.StoreFaults(t)
	f.AwaitReady(t)
}
