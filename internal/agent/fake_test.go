package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/settings"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1/pomelosillv1connect"
	"github.com/pomelosill/pomelosill/internal/result"
)

// waitTimeout limits every wait for an event. No test passes by reaching it.
const waitTimeout = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeEntry is an entry that a test controls. The zero generation sends no
// fence.
type fakeEntry struct {
	pomelosillv1connect.UnimplementedDispatchServiceHandler
	address string

	mu         sync.Mutex
	location   *pb.Location
	generation uint64
	inService  bool
	// withholdStamps stops it from sending stamps.
	withholdStamps bool
	streams        []*fakeStream
	hellos         []*pb.Hello
	heartbeats     []*pb.Heartbeat
	acks           []*pb.FenceAck
	// outcomes holds the outcomes received outside of acknowledgements.
	outcomes []*pb.Outcome
	changed  chan struct{}
}

type fakeStream struct {
	bidi   *connect.BidiStream[pb.AgentFrame, pb.OwnerFrame]
	mu     sync.Mutex
	cancel context.CancelFunc
	// closed is set before the handler returns; nothing is sent after that.
	closed bool
}

func (s *fakeStream) send(f *pb.OwnerFrame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		_ = s.bidi.Send(f)
	}
}

func (s *fakeStream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

func newFakeEntry(t *testing.T) *fakeEntry {
	e := &fakeEntry{inService: true, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.Handle(pomelosillv1connect.NewDispatchServiceHandler(e))
	listener, err := process.Listen(t.Context(), network.TCP, "127.0.0.1:0")
	must.NoError(t, err)
	server := process.NewServer(mux)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		e.closeStreams()
		_ = server.Close()
		<-served
	})
	e.address = listener.Addr().String()
	e.location = &pb.Location{Owner: e.address, ControlRevision: 1}
	return e
}

func (e *fakeEntry) Locate(context.Context, *connect.Request[pb.LocateRequest]) (*connect.Response[pb.Location], error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return connect.NewResponse(e.location), nil
}

func (e *fakeEntry) Attach(ctx context.Context, bidi *connect.BidiStream[pb.AgentFrame, pb.OwnerFrame]) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	st := &fakeStream{bidi: bidi, cancel: cancel}
	e.update(func() { e.streams = append(e.streams, st) })
	if g := e.currentGeneration(); g > 0 {
		st.send(&pb.OwnerFrame{Fence: &pb.Fence{Generation: g}})
	}
	go func() {
		defer cancel()
		for {
			f, err := bidi.Receive()
			if err != nil {
				return
			}
			e.handleFrame(st, f)
		}
	}()
	<-ctx.Done()
	st.close()
	e.update(func() {
		e.streams = slices.DeleteFunc(e.streams, func(o *fakeStream) bool { return o == st })
	})
	return nil
}

func (e *fakeEntry) handleFrame(st *fakeStream, f *pb.AgentFrame) {
	var stamp *pb.Stamp
	e.update(func() {
		if f.Hello != nil {
			e.hellos = append(e.hellos, f.Hello)
		}
		if f.FenceAck != nil {
			e.acks = append(e.acks, f.FenceAck)
		}
		e.outcomes = append(e.outcomes, f.Outcomes...)
		if f.Heartbeat != nil {
			e.heartbeats = append(e.heartbeats, f.Heartbeat)
			stamp = &pb.Stamp{
				EchoNs:          f.Heartbeat.SentNs,
				Generation:      e.generation,
				ControlRevision: 1,
				InService:       e.inService,
			}
		}
		if e.withholdStamps {
			stamp = nil
		}
	})
	if stamp != nil {
		st.send(&pb.OwnerFrame{Stamp: stamp})
	}
}

// update changes the entry's state and wakes the waiting goroutines.
func (e *fakeEntry) update(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *fakeEntry) currentGeneration() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generation
}

// broadcast sends a frame on every stream.
func (e *fakeEntry) broadcast(f *pb.OwnerFrame) {
	e.mu.Lock()
	streams := slices.Clone(e.streams)
	e.mu.Unlock()
	for _, st := range streams {
		st.send(f)
	}
}

// closeStreams ends every stream.
func (e *fakeEntry) closeStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, st := range e.streams {
		st.cancel()
	}
}

// waitFor waits until ok, which is called with the entry's lock held, returns
// true.
func (e *fakeEntry) waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	timeout := time.After(waitTimeout)
	for {
		e.mu.Lock()
		done, changed := ok(), e.changed
		e.mu.Unlock()
		if done {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// waitForOutcome waits for the first outcome of a task that has ended.
func (e *fakeEntry) waitForOutcome(t *testing.T, index uint32) *pb.Outcome {
	t.Helper()
	var found *pb.Outcome
	e.waitFor(t, "an outcome", func() bool {
		for _, o := range e.outcomes {
			if o.GetTask().GetIndex() == index && !o.GetRunning() {
				found = o
				return true
			}
		}
		return false
	})
	return found
}

// fakeEndpoint is an endpoint with a handler given by the test. It counts the
// starts by task index.
type fakeEndpoint struct {
	server     *httptest.Server
	mu         sync.Mutex
	starts     map[string]int
	lastHeader http.Header
}

func newFakeEndpoint(t *testing.T, h http.HandlerFunc) *fakeEndpoint {
	e := &fakeEndpoint{starts: map[string]int{}}
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		e.starts[r.Header.Get(headerTask)]++
		e.lastHeader = r.Header
		e.mu.Unlock()
		h(w, r)
	}))
	t.Cleanup(e.server.Close)
	return e
}

func (e *fakeEndpoint) startCount(task string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.starts[task]
}

func testSettings(endpointURL string, entries ...*fakeEntry) Settings {
	s := DefaultSettings()
	s.Endpoint = "comas-1"
	s.FailureDomain = "comas"
	s.Slots = 8
	s.EndpointURL = endpointURL
	s.Heartbeat = settings.Duration(20 * time.Millisecond)
	s.Freshness = settings.Duration(time.Minute)
	s.DrainTimeout = settings.Duration(50 * time.Millisecond)
	for _, e := range entries {
		s.Entries = append(s.Entries, e.address)
	}
	return s
}

// testAgent is an agent under test.
type testAgent struct {
	agent *Agent
	// shutdown has the effect of SIGTERM.
	shutdown context.CancelFunc
	done     chan error
}

func runAgent(t *testing.T, s Settings) *testAgent {
	must.NoError(t, s.Validate())
	a, err := New(s, "test", zap.NewNop())
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	r := &testAgent{agent: a, shutdown: cancel, done: make(chan error, 1)}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.done <- a.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		a.cancelStreams()
		<-ended
	})
	return r
}

// waitForExit waits until Run has returned, and returns its error.
func (r *testAgent) waitForExit(t *testing.T) error {
	t.Helper()
	select {
	case err := <-r.done:
		return err
	case <-time.After(waitTimeout):
		t.Fatal("timed out waiting for the agent to exit")
		return nil
	}
}

// waitForOwner waits until the agent is fenced by the entry and has a stamp
// from it.
func (r *testAgent) waitForOwner(t *testing.T, e *fakeEntry) {
	t.Helper()
	e.waitFor(t, "the agent to have a stamp", func() bool {
		state := r.agent.gate.State(r.agent.now())
		return state.Generation == e.generation && state.StampAgeMS >= 0
	})
}

func newStart(generation uint64, id uuid.UUID, index uint32) *pb.Start {
	return &pb.Start{
		Generation: generation,
		Task:       &pb.TaskRef{Submission: id[:], Index: index},
		Team:       "radio",
		Payload:    []byte(`{"n":1}`),
		TimeoutNs:  int64(time.Minute),
	}
}

func newSubmission(t *testing.T) uuid.UUID {
	id, err := uuid.NewV7()
	must.NoError(t, err)
	return id
}

func mustHaveCode(t *testing.T, want result.Code, o *pb.Outcome) {
	t.Helper()
	must.Eq(t, want, result.Code(o.GetCode()), must.Sprint(o.GetDetail()))
}
