package agent

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/settings"
)

func echoHandler(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(w, r.Body)
}

// newBlockingEndpoint returns an endpoint that blocks each task until release
// is closed or the request ends.
func newBlockingEndpoint(t *testing.T) (e *fakeEndpoint, arrived chan struct{}, release chan struct{}) {
	arrived = make(chan struct{}, 100)
	release = make(chan struct{})
	e = newFakeEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		arrived <- struct{}{}
		select {
		case <-release:
			_, _ = io.WriteString(w, "late")
		case <-r.Context().Done():
		}
	})
	return e, arrived, release
}

func waitForArrival(t *testing.T, ch <-chan struct{}) {
	t.Helper()
	select {
	case <-ch:
	case <-time.After(waitTimeout):
		t.Fatal("timed out waiting for the task to reach the endpoint")
	}
}

// TestTaskRunsOnceWithItsHeaders guards against running a task again when the
// owner repeats its start, for example because it did not receive the outcome.
func TestTaskRunsOnceWithItsHeaders(t *testing.T) {
	entry := newFakeEntry(t)
	entry.generation = 1
	endpoint := newFakeEndpoint(t, echoHandler)
	r := runAgent(t, testSettings(endpoint.server.URL, entry))
	r.waitForOwner(t, entry)
	id := newSubmission(t)
	s := newStart(1, id, 7)
	s.Idempotent = true
	entry.broadcast(&pb.OwnerFrame{Starts: []*pb.Start{s}})
	out := entry.waitForOutcome(t, 7)
	mustHaveCode(t, result.OK, out)
	must.Eq(t, `{"n":1}`, string(out.GetBody()))
	must.Eq(t, id.String(), endpoint.lastHeader.Get(headerSubmission))
	must.Eq(t, "radio", endpoint.lastHeader.Get(headerTeam))
	must.Eq(t, "true", endpoint.lastHeader.Get(headerIdempotent))
	must.Eq(t, "comas-1", entry.hellos[0].GetEndpoint())

	// A repeated start returns the same outcome and runs nothing.
	entry.broadcast(&pb.OwnerFrame{Starts: []*pb.Start{s}})
	entry.waitFor(t, "the repeated outcome", func() bool { return len(entry.outcomes) == 2 })
	must.Eq(t, `{"n":1}`, string(entry.outcomes[1].GetBody()))
	must.Eq(t, 1, endpoint.startCount("7"))
}

// TestRefusedStartRunsNothing guards against a refused start that reaches the
// endpoint, since the code of the refusal promises that the task did not run.
func TestRefusedStartRunsNothing(t *testing.T) {
	cases := []struct {
		name   string
		start  func(s *pb.Start)
		before func(e *fakeEntry, a *Agent)
		want   result.Code
	}{
		{name: "lower generation", start: func(s *pb.Start) { s.Generation = 1 }, want: result.StaleGeneration},
		{name: "malformed ID", start: func(s *pb.Start) { s.Task.Submission = []byte("x") }, want: result.Malformed},
		{name: "deadline passed", start: func(s *pb.Start) { s.TimeoutNs = 0 }, want: result.DeadlinePassed},
		{name: "leaving", before: func(_ *fakeEntry, a *Agent) { a.gate.SetLeaving() }, want: result.Leaving},
		{name: "out of service", before: func(e *fakeEntry, a *Agent) {
			e.update(func() { e.inService = false })
			e.waitForGate(a, func() bool { return !a.gate.State(a.now()).InService })
		}, want: result.OutOfService},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			entry := newFakeEntry(t)
			entry.generation = 2
			endpoint := newFakeEndpoint(t, echoHandler)
			r := runAgent(t, testSettings(endpoint.server.URL, entry))
			r.waitForOwner(t, entry)
			if c.before != nil {
				c.before(entry, r.agent)
			}
			s := newStart(2, newSubmission(t), 3)
			if c.start != nil {
				c.start(s)
			}
			entry.broadcast(&pb.OwnerFrame{Starts: []*pb.Start{s}})
			out := entry.waitForOutcome(t, 3)
			mustHaveCode(t, c.want, out)
			must.True(t, c.want.NotRun())
			must.Eq(t, 0, endpoint.startCount("3"))
		})
	}
}

// waitForGate waits until ok returns true, and checks it after each event at
// the entry.
func (e *fakeEntry) waitForGate(_ *Agent, ok func() bool) {
	for {
		e.mu.Lock()
		changed := e.changed
		e.mu.Unlock()
		if ok() {
			return
		}
		<-changed
	}
}

// TestStartWithoutAStampIsRefused guards against starting tasks while no owner
// has confirmed that the endpoint is in service.
func TestStartWithoutAStampIsRefused(t *testing.T) {
	entry := newFakeEntry(t)
	entry.generation = 1
	entry.withholdStamps = true
	endpoint := newFakeEndpoint(t, echoHandler)
	runAgent(t, testSettings(endpoint.server.URL, entry))
	entry.waitFor(t, "an acknowledgement", func() bool { return len(entry.acks) > 0 })
	entry.broadcast(&pb.OwnerFrame{Starts: []*pb.Start{newStart(1, newSubmission(t), 1)}})
	mustHaveCode(t, result.StaleStamp, entry.waitForOutcome(t, 1))
	must.Eq(t, 0, endpoint.startCount("1"))
}

// TestTakeoverReceivesRecordsAndLaterOutcomes guards against a deputy that
// takes over without learning of a running task, and against its outcome being
// sent to the former owner.
func TestTakeoverReceivesRecordsAndLaterOutcomes(t *testing.T) {
	owner, deputy := newFakeEntry(t), newFakeEntry(t)
	owner.generation = 1
	owner.location.Deputy = deputy.address
	endpoint, arrived, release := newBlockingEndpoint(t)
	r := runAgent(t, testSettings(endpoint.server.URL, owner))
	r.waitForOwner(t, owner)
	deputy.waitFor(t, "the agent to attach to the deputy", func() bool { return len(deputy.hellos) > 0 })
	id := newSubmission(t)
	owner.broadcast(&pb.OwnerFrame{Starts: []*pb.Start{newStart(1, id, 5)}})
	waitForArrival(t, arrived)

	deputy.update(func() { deputy.generation = 2 })
	deputy.broadcast(&pb.OwnerFrame{Fence: &pb.Fence{Generation: 2}})
	deputy.waitFor(t, "an acknowledgement", func() bool { return len(deputy.acks) > 0 })
	records := deputy.acks[0].GetRecords()
	must.Len(t, 1, records)
	must.True(t, records[0].GetRunning())
	must.Eq(t, id[:], records[0].GetTask().GetSubmission())

	close(release)
	mustHaveCode(t, result.OK, deputy.waitForOutcome(t, 5))
	must.Len(t, 0, owner.outcomes)
	owner.broadcast(&pb.OwnerFrame{Fence: &pb.Fence{Generation: 1}})
	owner.waitFor(t, "the fence to be refused", func() bool { return len(owner.acks) > 1 })
	must.True(t, owner.acks[1].GetSuperseded())
}

// TestOutcomeWithoutAStreamIsDeliveredAfterReconnect guards against losing the
// outcome of a task that ends while no stream is open.
func TestOutcomeWithoutAStreamIsDeliveredAfterReconnect(t *testing.T) {
	entry := newFakeEntry(t)
	entry.generation = 1
	endpoint, arrived, release := newBlockingEndpoint(t)
	r := runAgent(t, testSettings(endpoint.server.URL, entry))
	r.waitForOwner(t, entry)
	entry.broadcast(&pb.OwnerFrame{Starts: []*pb.Start{newStart(1, newSubmission(t), 5)}})
	waitForArrival(t, arrived)
	entry.closeStreams()
	entry.waitFor(t, "the stream to end", func() bool { return len(entry.streams) == 0 })
	close(release)
	entry.waitFor(t, "the outcome in the records or after them", func() bool {
		if len(entry.acks) < 2 {
			return false
		}
		record := entry.acks[len(entry.acks)-1].GetRecords()[0]
		return !record.GetRunning() || len(entry.outcomes) > 0
	})
	must.Eq(t, 1, endpoint.startCount("5"))
}

func TestCancelEndsTheTaskRequest(t *testing.T) {
	entry := newFakeEntry(t)
	entry.generation = 1
	endpoint, arrived, _ := newBlockingEndpoint(t)
	r := runAgent(t, testSettings(endpoint.server.URL, entry))
	r.waitForOwner(t, entry)
	s := newStart(1, newSubmission(t), 1)
	entry.broadcast(&pb.OwnerFrame{Starts: []*pb.Start{s}})
	waitForArrival(t, arrived)
	entry.broadcast(&pb.OwnerFrame{Cancels: []*pb.TaskRef{s.Task}})
	mustHaveCode(t, result.CancelledAfterStart, entry.waitForOutcome(t, 1))
}

// TestDrainWaitsForRunningTasks guards against exiting before the running task
// has ended, and against starting a new one during the drain.
func TestDrainWaitsForRunningTasks(t *testing.T) {
	entry := newFakeEntry(t)
	entry.generation = 1
	endpoint, arrived, release := newBlockingEndpoint(t)
	s := testSettings(endpoint.server.URL, entry)
	s.DrainTimeout = settings.Duration(waitTimeout)
	r := runAgent(t, s)
	r.waitForOwner(t, entry)
	entry.broadcast(&pb.OwnerFrame{Starts: []*pb.Start{newStart(1, newSubmission(t), 1)}})
	waitForArrival(t, arrived)
	r.shutdown()
	entry.waitFor(t, "a heartbeat that says that the agent is leaving", func() bool {
		return entry.heartbeats[len(entry.heartbeats)-1].GetLeaving()
	})
	entry.broadcast(&pb.OwnerFrame{Starts: []*pb.Start{newStart(1, newSubmission(t), 2)}})
	mustHaveCode(t, result.Leaving, entry.waitForOutcome(t, 2))
	select {
	case <-r.done:
		t.Fatal("the agent exited while a task was running")
	default:
	}
	close(release)
	must.NoError(t, r.waitForExit(t))
	mustHaveCode(t, result.OK, entry.waitForOutcome(t, 1))
}

// TestDrainWaitsForConfirmedOutcomes guards against exiting after an outcome
// was sent but before the entry has answered a later heartbeat: the outcome
// could still be lost with the connection.
func TestDrainWaitsForConfirmedOutcomes(t *testing.T) {
	entry := newFakeEntry(t)
	entry.generation = 1
	endpoint, arrived, release := newBlockingEndpoint(t)
	s := testSettings(endpoint.server.URL, entry)
	s.DrainTimeout = settings.Duration(waitTimeout)
	r := runAgent(t, s)
	r.waitForOwner(t, entry)
	entry.broadcast(&pb.OwnerFrame{Starts: []*pb.Start{newStart(1, newSubmission(t), 1)}})
	waitForArrival(t, arrived)
	entry.update(func() { entry.withholdStamps = true })
	r.shutdown()
	close(release)
	entry.waitForOutcome(t, 1)
	must.False(t, r.agent.readyToExit())
	entry.update(func() { entry.withholdStamps = false })
	must.NoError(t, r.waitForExit(t))
}

func TestDrainTimesOutWhileATaskRuns(t *testing.T) {
	entry := newFakeEntry(t)
	entry.generation = 1
	endpoint, arrived, _ := newBlockingEndpoint(t)
	r := runAgent(t, testSettings(endpoint.server.URL, entry))
	r.waitForOwner(t, entry)
	entry.broadcast(&pb.OwnerFrame{Starts: []*pb.Start{newStart(1, newSubmission(t), 1)}})
	waitForArrival(t, arrived)
	r.shutdown()
	must.Eq(t, result.OutcomeUnknown, result.CodeOf(r.waitForExit(t)))
}

// TestNewerLocationReplacesTheOwner guards against an agent that stays with the
// former owner, or that returns to it because of an older location.
func TestNewerLocationReplacesTheOwner(t *testing.T) {
	first, second := newFakeEntry(t), newFakeEntry(t)
	first.generation = 1
	endpoint := newFakeEndpoint(t, echoHandler)
	r := runAgent(t, testSettings(endpoint.server.URL, first))
	r.waitForOwner(t, first)
	second.generation = 2
	first.broadcast(&pb.OwnerFrame{Location: &pb.Location{Owner: second.address, ControlRevision: 2}})
	r.waitForOwner(t, second)
	first.waitFor(t, "the old stream to end", func() bool { return len(first.streams) == 0 })
	second.broadcast(&pb.OwnerFrame{Location: &pb.Location{Owner: first.address, ControlRevision: 1}})
	second.broadcast(&pb.OwnerFrame{Starts: []*pb.Start{newStart(2, newSubmission(t), 1)}})
	mustHaveCode(t, result.OK, second.waitForOutcome(t, 1))
	must.Eq(t, second.address, r.agent.State().Location.Owner)
}

func TestAgentAttachesWhileItsFirstEntryIsDown(t *testing.T) {
	unreachable, entry := newFakeEntry(t), newFakeEntry(t)
	entry.generation = 1
	endpoint := newFakeEndpoint(t, echoHandler)
	s := testSettings(endpoint.server.URL, unreachable, entry)
	s.Entries[0] = "127.0.0.1:1"
	r := runAgent(t, s)
	r.waitForOwner(t, entry)
}

func TestDebugPagesAreServed(t *testing.T) {
	entry := newFakeEntry(t)
	entry.generation = 1
	endpoint := newFakeEndpoint(t, echoHandler)
	s := testSettings(endpoint.server.URL, entry)
	listener, err := process.Listen(t.Context(), network.TCP, "127.0.0.1:0")
	must.NoError(t, err)
	s.Listen = listener.Addr().String()
	must.NoError(t, listener.Close())
	r := runAgent(t, s)
	r.waitForOwner(t, entry)
	for _, path := range []string{"/healthz", "/metrics", "/debug/state"} {
		resp, err := http.Get("http://" + s.Listen + path)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, resp.StatusCode)
		body, err := io.ReadAll(resp.Body)
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		if path == "/debug/state" {
			var state State
			must.NoError(t, json.Unmarshal(body, &state))
			must.Eq(t, uint64(1), state.Gate.Generation)
		}
	}
	http.DefaultClient.CloseIdleConnections()
}

// TestStartOnAnOlderStreamIsRefused guards against running a task whose start
// came on an earlier stream of the present owner, which decides based on the
// records that it received on its newer stream.
func TestStartOnAnOlderStreamIsRefused(t *testing.T) {
	entry := newFakeEntry(t)
	entry.generation = 1
	endpoint := newFakeEndpoint(t, echoHandler)
	r := runAgent(t, testSettings(endpoint.server.URL, entry))
	r.waitForOwner(t, entry)
	old := newStream(entry.address, r.agent.now())
	r.agent.handleStart(old, newStart(1, newSubmission(t), 4))
	b, _ := old.outbox.next()
	must.Len(t, 1, b.outcomes)
	mustHaveCode(t, result.StaleGeneration, b.outcomes[0])
	must.Eq(t, 0, endpoint.startCount("4"))
}
