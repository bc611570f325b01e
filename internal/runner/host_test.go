package runner_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/runner"
	"github.com/pomelosill/pomelosill/internal/settings"
	"github.com/pomelosill/pomelosill/internal/stream"
	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform/platformtest"
	"github.com/pomelosill/pomelosill/test/fleet"
)

const (
	service = "svc"
	domain  = "z1"
	// waitTimeout bounds the wait for an expected event.
	waitTimeout = 5 * time.Second
	taskCPU     = 1000
)

// policyConfig is the platform's configuration document that the test policies
// carry.
const policyConfig = `{"version":3,"routes":[{"name":"r","hostname":"h","prefix":"/p/","service":"svc","stretch":1.6,"target_latency_ms":60,"max_attempts":2}]}`

// host is one endpoint with its runner.
type host struct {
	t        *testing.T
	endpoint *platformtest.Endpoint
	checker  *platformtest.Checker
	listen   string
	link     string
	stop     context.CancelFunc
	done     chan struct{}
	// closeServer ends the endpoint's process: it refuses connections from then on.
	closeServer func()
	sequence    int64
	// heartbeatInterval is the runner's setting, its default if zero.
	heartbeatInterval settings.Duration
}

// newHost starts an endpoint with capacity for two tasks, which run for the
// duration, and its runner. configure, if not nil, modifies the endpoint before
// it starts.
func newHost(t *testing.T, duration time.Duration, configure func(*platformtest.Endpoint)) *host {
	h := &host{t: t, checker: platformtest.NewChecker(), listen: fleet.FreeAddress(t), link: fleet.FreeAddress(t)}
	h.endpoint = &platformtest.Endpoint{
		Service: service, Domain: domain, Capacity: workload.Resources{MilliCPU: 2 * taskCPU, MemoryMB: 100},
		Need:     func(workload.RunID) workload.Resources { return workload.Resources{MilliCPU: taskCPU} },
		Duration: func(workload.RunID) time.Duration { return duration },
		Checker:  h.checker,
	}
	if configure != nil {
		configure(h.endpoint)
	}
	server := httptest.NewServer(h.endpoint.Handler())
	h.endpoint.ID = strings.TrimPrefix(server.URL, "http://")
	h.endpoint.Init()
	h.closeServer = func() {
		_ = server.Listener.Close()
		server.CloseClientConnections()
	}
	t.Cleanup(func() {
		h.stopRunner()
		server.CloseClientConnections()
		server.Close()
	})
	h.startRunner()
	return h
}

// startRunner starts a new runner process for the endpoint, and sends a heartbeat.
func (h *host) startRunner() {
	h.startRunnerProcess()
	h.sendHeartbeat("ready")
}

func (h *host) startRunnerProcess() {
	s := runner.DefaultSettings()
	s.Name, s.Listen, s.Link, s.Store = "run-1", h.listen, h.link, "127.0.0.1:1"
	s.Grace = settings.Duration(time.Second)
	if h.heartbeatInterval > 0 {
		s.HeartbeatInterval = h.heartbeatInterval
	}
	must.NoError(h.t, s.Validate())
	r, err := runner.New(network.TCP, &s, zap.NewNop())
	must.NoError(h.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	h.stop, h.done = cancel, make(chan struct{})
	go func() {
		defer close(h.done)
		if err := r.Run(ctx); err != nil {
			h.t.Errorf("runner: %v", err)
		}
	}()
}

func (h *host) stopRunner() {
	h.stop()
	<-h.done
}

// sendHeartbeat sends the endpoint's heartbeat, and repeats it until the runner
// has acknowledged it.
func (h *host) sendHeartbeat(state string) {
	h.sequence++
	must.True(h.t, eventually(func() bool {
		return h.endpoint.SendHeartbeat(h.t.Context(), http.DefaultClient, h.listen, h.sequence, state)
	}))
}

func eventually(condition func() bool) bool {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// dispatcher is a fake dispatcher that is connected to a runner.
type dispatcher struct {
	t      *testing.T
	stream *stream.Conn
	cancel context.CancelFunc
	mu     sync.Mutex
	sendMu sync.Mutex
	echo   int64
	state  *pb.RunnerState
	held   []*pb.RunRef
	events map[string]*pb.RunEvent
	orders uint64
	muted  bool
	// lacksStore is set while the dispatcher can't confirm the policy.
	lacksStore bool
	// newerRevision is the revision of its policy, if not zero. It doesn't send it.
	newerRevision uint64
	// requests is how often it was asked for its policy, and policy the last one that it was sent.
	requests int
	policy   *pb.Policy
}

// connect connects as an incarnation of the dispatcher "d", sends the policy
// and keeps sending heartbeats.
func (h *host) connect(incarnation string) *dispatcher { return h.connectAs("d", incarnation) }

// connectAs is connect for the dispatcher with the name.
func (h *host) connectAs(name, incarnation string) *dispatcher {
	ctx, cancel := context.WithCancel(context.Background())
	h.t.Cleanup(cancel)
	c, err := stream.Dial(ctx, network.TCP, h.link)
	must.NoError(h.t, err)
	context.AfterFunc(ctx, c.Close)
	d := &dispatcher{t: h.t, cancel: cancel, events: map[string]*pb.RunEvent{}, stream: c}
	must.NoError(h.t, d.stream.Send(&pb.DispatcherFrame{Dispatcher: name, Incarnation: incarnation}))
	first := &pb.RunnerFrame{}
	must.NoError(h.t, d.stream.Receive(first))
	d.held = first.GetHeld()
	d.handleFrame(first)
	go d.receive()
	d.sendFrame(&pb.DispatcherFrame{Policy: &pb.Policy{Revision: 1, Config: []byte(policyConfig)}, Beat: d.newHeartbeat()})
	go d.sendHeartbeats(ctx)
	return d
}

func (d *dispatcher) sendFrame(f *pb.DispatcherFrame) {
	d.sendMu.Lock()
	defer d.sendMu.Unlock()
	_ = d.stream.Send(f)
}

func (d *dispatcher) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		d.mu.Lock()
		muted := d.muted
		d.mu.Unlock()
		if !muted {
			d.sendFrame(&pb.DispatcherFrame{Beat: d.newHeartbeat()})
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// newHeartbeat returns a heartbeat that echoes the runner's last one, at which the store
// confirmed the policy, unless the dispatcher has lost the store.
func (d *dispatcher) newHeartbeat() *pb.DispatcherBeat {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := &pb.DispatcherBeat{EchoNs: d.echo, PolicyRevision: max(1, d.newerRevision)}
	if !d.lacksStore {
		b.ConfirmedUs = new(int64)
	}
	return b
}

func (d *dispatcher) receive() {
	for {
		f := &pb.RunnerFrame{}
		if err := d.stream.Receive(f); err != nil {
			return
		}
		d.handleFrame(f)
	}
}

func (d *dispatcher) handleFrame(f *pb.RunnerFrame) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f.GetBeat() != nil {
		d.echo = f.GetBeat().GetSentNs()
	}
	if f.GetState() != nil {
		d.state = f.GetState()
	}
	if f.GetWantsPolicy() {
		d.requests++
	}
	if f.GetPolicy() != nil {
		d.policy = f.GetPolicy()
	}
	for _, e := range f.GetEvents() {
		if e.GetEnd() != pb.RunEnd_RUN_END_STALLED {
			d.events[runKey(e.GetRun())] = e
		}
	}
}

func runKey(r *pb.RunRef) string { return r.GetTask() + "#" + strconv.FormatUint(r.GetAttempt(), 10) }

// sendOrder orders one run of the job's first task.
func (d *dispatcher) sendOrder(job string, attempt uint64, wait time.Duration) *pb.RunRef {
	return d.sendLabelledOrder(job, attempt, wait, "")
}

// sendLabelledOrder is sendOrder for a task that requires a label.
func (d *dispatcher) sendLabelledOrder(job string, attempt uint64, wait time.Duration, label string) *pb.RunRef {
	run := &pb.RunRef{Task: workload.TaskID{Job: job}.String(), Attempt: attempt}
	d.orders++
	d.sendFrame(&pb.DispatcherFrame{Starts: []*pb.RunOrder{{
		Run: run, Service: service, CpuMilli: taskCPU, EstimateUs: 100_000,
		PatienceUs: wait.Microseconds(), SlackUs: wait.Microseconds(), Number: d.orders, RequiredLabel: label,
	}}})
	return run
}

func (d *dispatcher) event(run *pb.RunRef) *pb.RunEvent {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.events[runKey(run)]
}

// requireEnd waits for the end of a run and fails the test if it is not the
// wanted one.
func (d *dispatcher) requireEnd(run *pb.RunRef, want pb.RunEnd) *pb.RunEvent {
	d.t.Helper()
	must.True(d.t, eventually(func() bool { return d.event(run) != nil }), must.Sprintf("%s never ended", runKey(run)))
	must.Eq(d.t, want, d.event(run).GetEnd(), must.Sprintf("%s: %v", runKey(run), d.event(run)))
	return d.event(run)
}

func (d *dispatcher) requireReady() {
	d.t.Helper()
	must.True(d.t, eventually(func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.state.GetReady()
	}), must.Sprint("the endpoint never became ready"))
}

func (h *host) requireNoViolations() {
	h.t.Helper()
	must.SliceEmpty(h.t, h.checker.Violations())
}

const (
	done    = pb.RunEnd_RUN_END_DONE
	refused = pb.RunEnd_RUN_END_REFUSED
	lost    = pb.RunEnd_RUN_END_LOST
)
