package runner_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/runner"
	"github.com/pomelosill/pomelosill/internal/settings"
	"github.com/pomelosill/pomelosill/internal/stream"
	"github.com/pomelosill/pomelosill/internal/work"
	"github.com/pomelosill/pomelosill/platform/platformtest"
	"github.com/pomelosill/pomelosill/test/fleet"
)

const (
	service = "svc"
	domain  = "z1"
	// patience bounds the wait for what must happen.
	patience = 5 * time.Second
	taskCPU  = 1000
)

// config is a policy's document in the form of the platform.
const config = `{"version":3,"routes":[{"name":"r","hostname":"h","prefix":"/p/","service":"svc","stretch":1.6,"target_latency_ms":60,"max_attempts":2}]}`

// host is one endpoint with its runner.
type host struct {
	t        *testing.T
	endpoint *platformtest.Endpoint
	judge    *platformtest.Judge
	listen   string
	link     string
	stop     context.CancelFunc
	done     chan struct{}
	sequence int64
}

// newHost starts an endpoint with room for two tasks of the duration, and its
// runner. change may alter the endpoint first.
func newHost(t *testing.T, takes time.Duration, change func(*platformtest.Endpoint)) *host {
	h := &host{t: t, judge: platformtest.NewJudge(), listen: fleet.FreeAddress(t), link: fleet.FreeAddress(t)}
	h.endpoint = &platformtest.Endpoint{
		Service: service, Domain: domain, Capacity: work.Resources{CPU: 2 * taskCPU, MemoryMB: 100},
		Need:     func(work.Run) work.Resources { return work.Resources{CPU: taskCPU} },
		Duration: func(work.Run) time.Duration { return takes },
		Judge:    h.judge,
	}
	if change != nil {
		change(h.endpoint)
	}
	server := httptest.NewServer(h.endpoint.Handler())
	h.endpoint.ID = strings.TrimPrefix(server.URL, "http://")
	h.endpoint.Begin()
	t.Cleanup(func() {
		h.kill()
		server.CloseClientConnections()
		server.Close()
	})
	h.start()
	return h
}

// start starts a runner process.
func (h *host) start() {
	s := runner.DefaultSettings()
	s.Name, s.Listen, s.Link, s.Store = "run-1", h.listen, h.link, "127.0.0.1:1"
	s.Grace = settings.Duration(time.Second)
	must.NoError(h.t, s.Validate())
	r, err := runner.New(&s, zap.NewNop())
	must.NoError(h.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	h.stop, h.done = cancel, make(chan struct{})
	go func() {
		defer close(h.done)
		if err := r.Run(ctx); err != nil {
			h.t.Errorf("runner: %v", err)
		}
	}()
	h.beat("ready")
}

func (h *host) kill() {
	h.stop()
	<-h.done
}

// beat sends heartbeats until one is acknowledged.
func (h *host) beat(state string) {
	h.sequence++
	body := h.endpoint.Heartbeat(h.sequence, state)
	must.True(h.t, eventually(func() bool {
		req, err := http.NewRequest(http.MethodPut, "http://"+h.listen+"/instances/"+h.endpoint.ID, bytes.NewReader(body))
		must.NoError(h.t, err)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}))
}

func eventually(is func() bool) bool {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if is() {
			return true
		}
	}
	return false
}

// dispatcher is one stream to a runner.
type dispatcher struct {
	t      *testing.T
	stream *stream.Conn
	cancel context.CancelFunc
	mu     sync.Mutex
	send   sync.Mutex
	echo   int64
	state  *pb.RunnerState
	held   []*pb.RunRef
	events map[string]*pb.RunEvent
	number uint64
	mute   bool
}

// dial opens the stream of a life of the dispatcher "d", sends the policy and
// keeps heartbeats going.
func (h *host) dial(incarnation string) *dispatcher {
	ctx, cancel := context.WithCancel(context.Background())
	h.t.Cleanup(cancel)
	c, err := stream.Dial(ctx, network.TCP, h.link)
	must.NoError(h.t, err)
	context.AfterFunc(ctx, c.Close)
	d := &dispatcher{t: h.t, cancel: cancel, events: map[string]*pb.RunEvent{}, stream: c}
	must.NoError(h.t, d.stream.Send(&pb.DispatcherFrame{Dispatcher: "d", Incarnation: incarnation}))
	first := &pb.RunnerFrame{}
	must.NoError(h.t, d.stream.Receive(first))
	d.held = first.GetHeld()
	d.take(first)
	go d.receive()
	d.tell(&pb.DispatcherFrame{Policy: &pb.Policy{Revision: 1, Config: []byte(config)}})
	go d.beats(ctx)
	return d
}

func (d *dispatcher) tell(f *pb.DispatcherFrame) {
	d.send.Lock()
	defer d.send.Unlock()
	_ = d.stream.Send(f)
}

func (d *dispatcher) beats(ctx context.Context) {
	for ctx.Err() == nil {
		d.mu.Lock()
		echo, mute := d.echo, d.mute
		d.mu.Unlock()
		if !mute {
			d.tell(&pb.DispatcherFrame{Beat: &pb.DispatcherBeat{EchoNs: echo}})
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (d *dispatcher) receive() {
	for {
		f := &pb.RunnerFrame{}
		if err := d.stream.Receive(f); err != nil {
			return
		}
		d.take(f)
	}
}

func (d *dispatcher) take(f *pb.RunnerFrame) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f.GetBeat() != nil {
		d.echo = f.GetBeat().GetSentNs()
	}
	if f.GetState() != nil {
		d.state = f.GetState()
	}
	for _, e := range f.GetEvents() {
		if e.GetEnd() != pb.RunEnd_RUN_END_STALLED {
			d.events[key(e.GetRun())] = e
		}
	}
}

func key(r *pb.RunRef) string { return r.GetTask() + "#" + strconv.FormatUint(r.GetAttempt(), 10) }

// order asks for one run of the job's first task.
func (d *dispatcher) order(job string, attempt uint64, wait time.Duration) *pb.RunRef {
	run := &pb.RunRef{Task: work.Task{Job: job}.String(), Attempt: attempt}
	d.number++
	d.tell(&pb.DispatcherFrame{Starts: []*pb.RunOrder{{
		Run: run, Service: service, CpuMilli: taskCPU, EstimateUs: 100_000,
		PatienceUs: wait.Microseconds(), SlackUs: wait.Microseconds(), Number: d.number,
	}}})
	return run
}

func (d *dispatcher) event(run *pb.RunRef) *pb.RunEvent {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.events[key(run)]
}

// ends waits for the end of a run and checks it.
func (d *dispatcher) ends(run *pb.RunRef, want pb.RunEnd) *pb.RunEvent {
	d.t.Helper()
	must.True(d.t, eventually(func() bool { return d.event(run) != nil }), must.Sprintf("%s never ended", key(run)))
	must.Eq(d.t, want, d.event(run).GetEnd(), must.Sprintf("%s: %v", key(run), d.event(run)))
	return d.event(run)
}

func (d *dispatcher) ready() {
	d.t.Helper()
	must.True(d.t, eventually(func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.state.GetReady()
	}), must.Sprint("the endpoint never became ready"))
}

func (h *host) sound() {
	h.t.Helper()
	must.SliceEmpty(h.t, h.judge.Faults())
}

const (
	done    = pb.RunEnd_RUN_END_DONE
	refused = pb.RunEnd_RUN_END_REFUSED
	lost    = pb.RunEnd_RUN_END_LOST
)

func TestRunIsStartedAndReported(t *testing.T) {
	h := newHost(t, 50*time.Millisecond, nil)
	d := h.dial("1")
	d.ready()
	d.ends(d.order("a", 1, 0), done)
	h.sound()
}

// Room for two: the third order waits, the fourth has no time to.
func TestOrdersWaitForRoom(t *testing.T) {
	h := newHost(t, 150*time.Millisecond, nil)
	d := h.dial("1")
	d.ready()
	first, second := d.order("a", 1, 0), d.order("b", 1, 0)
	third, fourth := d.order("c", 1, time.Second), d.order("e", 1, 0)
	must.Eq(t, uint32(result.NoFreeSlot), d.ends(fourth, refused).GetCode())
	for _, run := range []*pb.RunRef{first, second, third} {
		d.ends(run, done)
	}
	h.sound()
}

// Half of the orders get no answer, and some of these are carried out late:
// the room is never exceeded and no task runs twice at once.
func TestUnansweredOrders(t *testing.T) {
	var mu sync.Mutex
	n := 0
	h := newHost(t, 30*time.Millisecond, func(e *platformtest.Endpoint) {
		e.Fault = func(c platformtest.Call) platformtest.Fault {
			mu.Lock()
			defer mu.Unlock()
			n++
			switch {
			case c.Kind == "hold":
				return platformtest.None
			case n%4 == 0:
				return platformtest.Late
			case n%7 == 0:
				return platformtest.Lost
			}
			return platformtest.None
		}
	})
	d := h.dial("1")
	d.ready()
	for i := range 30 {
		job := "j" + strconv.Itoa(i)
		for attempt := uint64(1); ; attempt++ {
			run := d.order(job, attempt, time.Second)
			must.True(t, eventually(func() bool { return d.event(run) != nil }))
			if d.event(run).GetEnd() == done {
				break
			}
			must.Less(t, 20, attempt)
		}
	}
	h.sound()
}

// A start that is carried out late must find no room that was given away
// meanwhile: it is stopped before its room is free.
func TestLateStartTakesNoRoom(t *testing.T) {
	h := newHost(t, time.Hour, func(e *platformtest.Endpoint) {
		e.Fault = func(c platformtest.Call) platformtest.Fault {
			if c.Kind == "start" && strings.HasPrefix(c.Run.Task, "late") {
				return platformtest.Late
			}
			return platformtest.None
		}
	})
	d := h.dial("1")
	d.ready()
	first, second := d.order("late1", 1, 0), d.order("late2", 1, 0)
	for _, run := range []*pb.RunRef{first, second} {
		must.True(t, eventually(func() bool { return d.event(run) != nil }))
		must.NotEq(t, done, d.event(run).GetEnd())
	}
	d.order("c", 1, time.Second)
	d.order("e", 1, time.Second)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 2 }))
	time.Sleep(2 * platformtest.LateBy)
	must.Eq(t, 0, h.judge.Starts("late1")+h.judge.Starts("late2"))
	h.sound()
}

// The runs of a dispatcher that falls silent are stopped: its callers may send
// their jobs through another.
func TestSilentDispatchersRunsAreStopped(t *testing.T) {
	h := newHost(t, time.Hour, nil)
	d := h.dial("1")
	d.ready()
	d.order("a", 1, 0)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 1 }))
	began := time.Now()
	d.mu.Lock()
	d.mute = true
	d.mu.Unlock()
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 0 }))
	must.Less(t, 1300*time.Millisecond, time.Since(began), must.Sprint("a caller may send the job again by then"))
}

// A heartbeat that was held up on its way echoes an old clock and prolongs
// nothing.
func TestLateHeartbeatProlongsNothing(t *testing.T) {
	h := newHost(t, time.Hour, nil)
	d := h.dial("1")
	d.ready()
	d.order("a", 1, 0)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 1 }))
	d.mu.Lock()
	old := d.echo
	d.mute = true
	d.mu.Unlock()
	end := time.Now().Add(1500 * time.Millisecond)
	for time.Now().Before(end) && h.endpoint.Running() > 0 {
		d.tell(&pb.DispatcherFrame{Beat: &pb.DispatcherBeat{EchoNs: old}})
		time.Sleep(50 * time.Millisecond)
	}
	must.Eq(t, 0, h.endpoint.Running())
}

func TestRestartedDispatchersRunsAreStopped(t *testing.T) {
	h := newHost(t, time.Hour, nil)
	d := h.dial("1")
	d.ready()
	d.order("a", 1, 0)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 1 }))
	d.cancel()
	h.dial("2")
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 0 }))
}

// A connection that breaks loses no event and no run.
func TestReconnectedDispatcherGetsItsEvents(t *testing.T) {
	h := newHost(t, 200*time.Millisecond, nil)
	d := h.dial("1")
	d.ready()
	run := d.order("a", 1, 0)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 1 }))
	d.cancel()
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 0 }))
	again := h.dial("1")
	must.Len(t, 1, again.held)
	again.ends(run, done)
}

// A runner that starts anew stops what its predecessor started, and is ready
// only then.
func TestRestartedRunnerTakesOver(t *testing.T) {
	h := newHost(t, 400*time.Millisecond, nil)
	d := h.dial("1")
	d.ready()
	d.order("a", 1, 0)
	d.order("b", 1, 0)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 2 }))
	d.cancel()
	h.endpoint.Stall(true)
	h.kill()
	h.start()
	again := h.dial("1")
	again.ready()
	must.Eq(t, 0, h.endpoint.Running())
	h.endpoint.Stall(false)
	again.ends(again.order("a", 2, 0), done)
	h.sound()
}

func TestRefusals(t *testing.T) {
	h := newHost(t, time.Hour, nil)
	d := h.dial("1")
	d.ready()
	d.tell(&pb.DispatcherFrame{Policy: &pb.Policy{Revision: 2, Config: []byte(config), Evacuated: []string{domain}}})
	must.Eq(t, uint32(result.OutOfService), d.ends(d.order("a", 1, 0), refused).GetCode())
	d.tell(&pb.DispatcherFrame{Policy: &pb.Policy{Revision: 1, Config: []byte(config)}})
	must.Eq(t, uint32(result.OutOfService), d.ends(d.order("b", 1, 0), refused).GetCode(), must.Sprint("an older policy must not count"))
	d.tell(&pb.DispatcherFrame{Policy: &pb.Policy{Revision: 3, Config: []byte(strings.ReplaceAll(config, "svc", "other"))}})
	must.Eq(t, uint32(result.CannotRun), d.ends(d.order("c", 1, 0), refused).GetCode())
	d.tell(&pb.DispatcherFrame{Policy: &pb.Policy{Revision: 4, Config: []byte(config)}})
	h.beat("draining")
	must.Eq(t, uint32(result.Leaving), d.ends(d.order("e", 1, 0), refused).GetCode())
	must.Eq(t, 0, h.judge.Starts("a")+h.judge.Starts("b")+h.judge.Starts("c")+h.judge.Starts("e"))
}

// A heartbeat from before, delivered late, must not bring the endpoint back.
func TestOldHeartbeatChangesNothing(t *testing.T) {
	h := newHost(t, time.Hour, nil)
	d := h.dial("1")
	d.ready()
	old := h.endpoint.Heartbeat(h.sequence, "ready")
	h.beat("draining")
	req, err := http.NewRequest(http.MethodPut, "http://"+h.listen+"/instances/"+h.endpoint.ID, bytes.NewReader(old))
	must.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	must.Eq(t, uint32(result.Leaving), d.ends(d.order("a", 1, 0), refused).GetCode())
}

// The end of the endpoint's process ends its runs.
func TestCrashedEndpointsRunsAreLost(t *testing.T) {
	h := newHost(t, time.Hour, nil)
	d := h.dial("1")
	d.ready()
	run := d.order("a", 1, 0)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 1 }))
	h.endpoint.Crash()
	d.ends(run, lost)
}

// Orders that reach an endpoint after its rebirth, before anybody has noticed,
// run in its new life. They must not be taken for lost with the old one.
func TestRebornEndpointKeepsItsNewRuns(t *testing.T) {
	// listTime is longer than a renewal waits at the endpoint.
	const listTime = 130 * time.Millisecond
	for _, told := range []string{"by its lists", "by its heartbeat"} {
		t.Run(told, func(t *testing.T) {
			var unlisted atomic.Bool
			h := newHost(t, 700*time.Millisecond, func(e *platformtest.Endpoint) {
				e.Fault = func(c platformtest.Call) platformtest.Fault {
					if c.Kind == "hold" && unlisted.Load() {
						return platformtest.Lost
					}
					return platformtest.None
				}
			})
			d := h.dial("1")
			d.ready()
			old := d.order("old", 1, 0)
			must.True(t, eventually(func() bool { return h.judge.Starts("old") == 1 }))
			unlisted.Store(true)
			time.Sleep(listTime)
			h.endpoint.Rebirth()
			run := d.order("a", 1, 0)
			must.True(t, eventually(func() bool { return h.judge.Starts("a") == 1 }))
			if told == "by its heartbeat" {
				h.beat("ready")
			}
			unlisted.Store(false)
			d.ends(run, done)
			d.ends(old, lost)
			h.sound()
		})
	}
}

// A start whose first try had no answer and whose second was refused may run.
func TestRefusalAfterAnUnansweredTry(t *testing.T) {
	var tries atomic.Int64
	h := newHost(t, 200*time.Millisecond, func(e *platformtest.Endpoint) {
		e.Fault = func(c platformtest.Call) platformtest.Fault {
			if c.Kind != "start" {
				return platformtest.None
			}
			switch tries.Add(1) {
			case 1:
				return platformtest.Lost
			case 2:
				return platformtest.Shed
			}
			return platformtest.None
		}
	})
	d := h.dial("1")
	d.ready()
	d.ends(d.order("a", 1, 0), done)
	must.Eq(t, 1, h.judge.Starts("a"))
}
