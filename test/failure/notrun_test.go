package failure

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/api"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/standin/endpoint"
	"github.com/pomelosill/pomelosill/internal/standin/kvstore"
	"github.com/pomelosill/pomelosill/test/fleet"
)

// The tests in this file check that every refusal that says "not run" is true. The
// oracle compares each refusal with the starts that the endpoints recorded.

// runCommand sends an operator's statement and requires that it takes effect.
func runCommand(t *testing.T, f *fleet.Fleet, e *fleet.Entry, text string) api.Reply {
	t.Helper()
	reply, err := f.SendStatement(t.Context(), e, api.Statement{Text: text, WaitMS: maxStartAfterLeaving.Milliseconds()})
	must.NoError(t, err)
	must.Eq(t, result.OK, reply.Code, must.Sprintf("%s: %s %s", text, reply.Text, reply.Detail))
	return reply
}

func TestRefusalsBeforeAnyStart(t *testing.T) {
	f := startSmallFleet(t)
	runCommand(t, f, f.Entries[0], "set team small max_queued 3")
	runCommand(t, f, f.Entries[0], "set team elsewhere domains nowhere")
	cases := []struct {
		name string
		edit func(j *fleet.Job)
		code result.Code
	}{
		{"malformed id", func(j *fleet.Job) { j.ID = "x" }, result.BadSubmissionID},
		{"id without a time", func(j *fleet.Job) { j.ID = uuid.NewString() }, result.BadSubmissionID},
		{"id from the future", func(j *fleet.Job) { j.ID = "f" + j.ID[1:] }, result.IDFromFuture},
		{"no tasks", func(j *fleet.Job) { j.Tasks = nil }, result.Malformed},
		{"too many tasks", func(j *fleet.Job) { j.Tasks = make([]api.Task, api.MaxTasks+1) }, result.Malformed},
		{"no timeout", func(j *fleet.Job) { j.TimeoutMS = 0 }, result.Malformed},
		{"request too large", func(j *fleet.Job) {
			j.Tasks[0].Payload = json.RawMessage(`"` + strings.Repeat("x", 5<<20) + `"`)
		}, result.TooLarge},
		{"unknown team", func(j *fleet.Job) { j.Team = "nobody" }, result.UnknownTeam},
		{"larger than the quota", func(j *fleet.Job) { j.Team = "small" }, result.CannotRun},
		{"no endpoint for the team", func(j *fleet.Job) { j.Team = "elsewhere" }, result.CannotRun},
	}
	for _, c := range cases {
		for _, e := range f.Entries {
			j := fleet.NewJob(4, shortRunTime)
			c.edit(&j)
			answer := f.MustSubmit(t, e, j, c.code)
			must.Eq(t, result.EffectNotRun, answer.Effect, must.Sprint(c.name))
			must.SliceEmpty(t, f.StartsOf(t, j), must.Sprint(c.name))
		}
	}
}

// occupyAllSlots starts a job that occupies every slot of the fleet for runTime.
func occupyAllSlots(t *testing.T, f *fleet.Fleet, runTime time.Duration) *fleet.Call {
	t.Helper()
	j := fleet.NewJob(16, runTime)
	c := f.SubmitAsync(t.Context(), f.Entries[0], j)
	f.AwaitStarts(t, j, 16)
	return c
}

func TestQuotaUsedUp(t *testing.T) {
	f := startSmallFleet(t)
	runCommand(t, f, f.Entries[0], "set team small max_queued 5")
	busy := occupyAllSlots(t, f, 3*time.Second)
	newSmallJob := func() fleet.Job {
		j := fleet.NewJob(4, shortRunTime)
		j.Team = "small"
		return j
	}
	waitingCall := f.SubmitAsync(t.Context(), f.Entries[0], newSmallJob())
	fleet.Eventually(t, "the entry knows the waiting job", func(ctx context.Context) error { return checkKnownJobs(ctx, f, 2) })
	for _, e := range f.Entries {
		f.MustSubmit(t, e, newSmallJob(), result.OverQuota)
	}
	waitingCall.MustAnswer(t, result.OK)
	busy.MustAnswer(t, result.OK)
}

func TestDeadlineOfWaitingJobs(t *testing.T) {
	f := startSmallFleet(t)
	busy := occupyAllSlots(t, f, 3*time.Second)
	var calls []*fleet.Call
	for _, e := range f.Entries {
		j := fleet.NewJob(4, shortRunTime).WithTimeout(500 * time.Millisecond)
		calls = append(calls, f.SubmitAsync(t.Context(), e, j))
	}
	mustAnswerAll(t, calls, result.DeadlinePassed, result.Overloaded)
	busy.MustAnswer(t, result.OK)
}

// longTimeout is long enough that the scheduler, which estimates run times, does
// not refuse with Overloaded the jobs that a test needs to wait or run.
const longTimeout = 5 * time.Minute

func TestCancellationOfWaitingAndRunningJobs(t *testing.T) {
	f := startSmallFleet(t)
	busyJob := fleet.NewJob(16, 3*time.Second)
	busy := f.SubmitAsync(t.Context(), f.Entries[0], busyJob)
	f.AwaitStarts(t, busyJob, 16)
	var waiting []*fleet.Call
	for i := range 60 {
		j := fleet.NewJob(4, shortRunTime).WithTimeout(longTimeout)
		waiting = append(waiting, f.SubmitAsync(t.Context(), f.Entries[i%3], j))
	}
	fleet.Eventually(t, "the entry knows all jobs", func(ctx context.Context) error { return checkKnownJobs(ctx, f, 61) })
	for i, c := range waiting {
		must.NoError(t, f.Cancel(t.Context(), f.Entries[(i+1)%3], c.Job.ID))
	}
	must.NoError(t, f.Cancel(t.Context(), f.Entries[1], busyJob.ID))
	mustAnswerAll(t, waiting, result.Cancelled, result.CancelledAfterStart, result.OK)
	busy.MustAnswer(t, result.CancelledAfterStart, result.OK)
}

func checkKnownJobs(ctx context.Context, f *fleet.Fleet, n int) error {
	reply, err := f.Query(ctx, f.Entries[0], "jobs limit 1000")
	if err != nil {
		return err
	}
	if len(reply.Rows) < n {
		return fmt.Errorf("entry knows %d of %d jobs", len(reply.Rows), n)
	}
	return nil
}

// TestCancellationRace cancels jobs while their tasks are being started.
func TestCancellationRace(t *testing.T) {
	f := startSmallFleet(t)
	var calls []*fleet.Call
	for i := range 60 {
		j := fleet.NewJob(6, shortRunTime).WithTimeout(longTimeout)
		calls = append(calls, f.SubmitAsync(t.Context(), f.Entries[i%3], j))
		if i%2 == 0 {
			must.NoError(t, f.Cancel(t.Context(), f.Entries[(i+1)%3], j.ID))
		}
	}
	mustAnswerAll(t, calls, result.OK, result.Cancelled, result.CancelledAfterStart, result.OutcomeUnknown)
}

// TestOverloadIsRefusedTruthfully submits far more work than the fleet can do
// before the deadlines. No refused task may have started.
func TestOverloadIsRefusedTruthfully(t *testing.T) {
	f := startSmallFleet(t)
	var calls []*fleet.Call
	for i := range 150 {
		j := fleet.NewJob(16, 100*time.Millisecond).WithTimeout(3 * time.Second)
		calls = append(calls, f.SubmitAsync(t.Context(), f.Entries[i%3], j))
	}
	done := 0
	for _, c := range calls {
		answer := c.MustAnswer(t, result.OK, result.Overloaded, result.QueueFull, result.DeadlinePassed, result.DeadlineAfterStart)
		if answer.Code == result.OK {
			done++
		}
	}
	must.Positive(t, done)
}

// TestEndpointsRefuseConnections kills the endpoints but not their agents. Tasks
// that never reached an endpoint may be reported as not run, and must not start.
func TestEndpointsRefuseConnections(t *testing.T) {
	f := startSmallFleet(t)
	for _, e := range f.Endpoints {
		e.Kill()
	}
	j := fleet.NewJob(8, shortRunTime).WithTimeout(5 * time.Second)
	answer := f.MustSubmit(t, f.Entries[0], j,
		result.EndpointUnreachable, result.DeadlinePassed, result.Overloaded, result.OutcomeUnknown)
	must.SliceEmpty(t, f.StartsOf(t, j), must.Sprint(answer.Detail))
}

// TestResumedOwnerDoesNotRefuseJobThatRan pauses the owner while a job waits, lets
// the next owner run the resubmitted job, and resumes the old owner after the
// deadline of the first submission. The old owner must not answer that the job
// did not run.
func TestResumedOwnerDoesNotRefuseJobThatRan(t *testing.T) {
	f := startSmallFleet(t)
	owner := f.AwaitOwner(t)
	others := f.OtherEntries(owner)
	busyJob := fleet.NewJob(16, 1500*time.Millisecond)
	busy := f.SubmitAsync(t.Context(), others[0], busyJob)
	f.AwaitStarts(t, busyJob, 16)
	deadline := 2500 * time.Millisecond
	j := fleet.NewJob(4, shortRunTime)
	sent := time.Now()
	first := f.SubmitAsync(t.Context(), owner, j.WithTimeout(deadline))
	fleet.Eventually(t, "the entry knows the job", func(ctx context.Context) error { return checkKnownJobs(ctx, f, 2) })
	owner.Pause(t)
	f.AwaitOtherOwner(t, owner)
	f.MustSubmit(t, others[0], j, result.OK)
	fleet.Eventually(t, "the first deadline has passed", func(context.Context) error {
		if left := deadline - time.Since(sent); left > 0 {
			return fmt.Errorf("deadline is in %v", left)
		}
		return nil
	})
	owner.Resume()
	answer, err := first.Wait()
	must.NoError(t, err)
	must.False(t, answer.Code.NotRun(), must.Sprintf("%s %s", answer.Code, answer.Detail))
	busy.MustAnswer(t, result.OK)
}

func TestJobWithoutAgentsDoesNotStart(t *testing.T) {
	f := startSmallFleet(t)
	for _, e := range f.Endpoints {
		e.Agent.Kill()
	}
	j := fleet.NewJob(8, shortRunTime).WithTimeout(3 * time.Second)
	f.MustSubmit(t, f.Entries[0], j, result.DeadlinePassed, result.CannotRun, result.Overloaded, result.OutcomeUnknown)
	must.SliceEmpty(t, f.StartsOf(t, j))
}

// TestAgentsPausedThenKilled submits a job before the owner notices that all
// agents are paused. The starts are sent, no outcome arrives, and the deadline
// passes.
func TestAgentsPausedThenKilled(t *testing.T) {
	f := startSmallFleet(t)
	for _, e := range f.Endpoints {
		e.Agent.Pause(t)
	}
	j := fleet.NewJob(8, shortRunTime).WithTimeout(3 * time.Second)
	call := f.SubmitAsync(t.Context(), f.Entries[0], j)
	time.Sleep(shortRunTime)
	for _, e := range f.Endpoints {
		e.Agent.Kill()
	}
	call.MustAnswer(t, result.DeadlinePassed, result.CannotRun, result.Overloaded, result.OutcomeUnknown)
	must.SliceEmpty(t, f.StartsOf(t, j))
}

// TestEntryStartedDuringStoreOutage starts an entry that cannot read the store. It
// must refuse jobs or pass them on, and serve once the store is back.
func TestEntryStartedDuringStoreOutage(t *testing.T) {
	f := startSmallFleet(t)
	owner := f.AwaitOwner(t)
	restarted := f.OtherEntries(owner)[0]
	restarted.Kill()
	f.SetStoreFaults(t, kvstore.Fault{Kind: kvstore.Outage})
	restarted.Start(t)
	fleet.Eventually(t, "the entry answers", func(ctx context.Context) error {
		_, err := f.Query(ctx, restarted, "entries")
		return err
	})
	j := fleet.NewJob(2, shortRunTime).WithTimeout(2 * time.Second)
	f.MustSubmit(t, restarted, j, result.NoOwner, result.OK)
	f.MustSubmit(t, owner, fleet.NewJob(2, shortRunTime), result.OK)
	f.SetStoreFaults(t)
	fleet.Eventually(t, "the entry runs a job", func(ctx context.Context) error { return f.Probe(ctx, restarted) })
}

// connectionCut is a fault that breaks connections to an endpoint at one point of
// the request.
type connectionCut struct {
	name   string
	faults endpoint.Faults
}

func connectionCuts() []connectionCut {
	return []connectionCut{
		{"connection refused", endpoint.Faults{Refuse: true}},
		{"connection broken before the run", endpoint.Faults{CutBefore: -1}},
		{"connection broken during the run", endpoint.Faults{CutDuring: -1}},
		{"connection broken after the run", endpoint.Faults{CutAfter: -1}},
	}
}

// TestTasksRunAtMostOnceWhenConnectionsBreak checks that a request that is not
// idempotent runs at most once. The endpoints break every connection at one point
// of the request while a caller resubmits the job through every entry, also after
// the endpoints have recovered.
func TestTasksRunAtMostOnceWhenConnectionsBreak(t *testing.T) {
	f := startSmallFleet(t)
	codes := []result.Code{result.OutcomeUnknown, result.EndpointUnreachable, result.TaskFailed}
	for _, c := range connectionCuts() {
		for _, e := range f.Endpoints {
			f.SetEndpointFaults(t, e, c.faults)
		}
		j := fleet.NewJob(4, shortRunTime)
		f.MustSubmit(t, f.Entries[0], j, codes...)
		mustAnswerAll(t, resubmitToAll(t, f, j, f.Entries...), codes...)
		for _, e := range f.Endpoints {
			f.SetEndpointFaults(t, e, endpoint.Faults{})
		}
		mustAnswerAll(t, resubmitToAll(t, f, j, f.Entries...), append(codes, result.OK)...)
		fleet.Eventually(t, "the endpoints are used again after: "+c.name, func(ctx context.Context) error {
			return f.Probe(ctx, f.Entries[0])
		})
	}
}
