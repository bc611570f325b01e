package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/dispatch"
	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/runner"
	"github.com/pomelosill/pomelosill/internal/settings"
	"github.com/pomelosill/pomelosill/internal/standin/kvstore"
	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform"
	"github.com/pomelosill/pomelosill/platform/platformtest"
	"github.com/pomelosill/pomelosill/test/fleet"
	"github.com/pomelosill/pomelosill/test/logbuf"
)

const (
	eventuallyTimeout = 8 * time.Second
	taskCPU           = 1000
	callerHost        = "app.example"
)

const configTemplate = `{"version":%d,"routes":[{"name":"r","hostname":"app.example","prefix":"%s","service":"svc","stretch":1.6,
	"target_latency_ms":60,"max_attempts":2}],"services":[{"name":"svc"}],"limits":{"max_body_bytes":262144}}`

// testSystem is a small system on loopback: stand-ins of the store and of
// endpoints, and dispatchers and runners in the test's process.
type testSystem struct {
	t            *testing.T
	store        *kvstore.Server
	client       *platform.Store
	storeAddress string
	checker      *platformtest.Checker
	endpoints    []*platformtest.Endpoint
	dispatchers  []*dispatcherProcess
	log          *logbuf.Buffer
	logger       *zap.Logger
}

// dispatcherProcess is a running dispatcher.
type dispatcherProcess struct {
	*dispatch.Dispatcher
	callerAddress, readyAddress, peerAddress string
	stop                                     context.CancelFunc
	done                                     chan struct{}
	// lateness is the injected lateness of its ticks: a busy machine has no effect on it.
	lateness atomic.Int64
}

func eventually(condition func() bool) bool {
	for end := time.Now().Add(eventuallyTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

type systemOptions struct {
	dispatchers, endpoints int
	// runDuration returns how long a run takes.
	runDuration func(workload.RunID) time.Duration
	// configureEndpoint may change an endpoint before its start.
	configureEndpoint func(*platformtest.Endpoint)
	// configureDispatcher may change a dispatcher before its start.
	configureDispatcher func(int, *dispatch.Settings)
	// network is the dispatchers' network, TCP if it is nil.
	network network.Network
}

func newSystem(t *testing.T, o systemOptions) *testSystem {
	sys := &testSystem{t: t, checker: platformtest.NewChecker(), store: kvstore.NewServer(time.Now), log: &logbuf.Buffer{}}
	logger, err := process.NewAsyncLogger(sys.log, "info")
	must.NoError(t, err)
	sys.logger = logger
	server := httptest.NewServer((&platformtest.Store{Server: sys.store}).Handler())
	sys.storeAddress = strings.TrimPrefix(server.URL, "http://")
	sys.client = platform.NewStore(network.TCP, sys.storeAddress)
	t.Cleanup(func() {
		sys.store.Close()
		server.CloseClientConnections()
		server.Close()
	})
	sys.configure(1, "/p/")
	for i := range o.endpoints {
		sys.addEndpoint(i, o)
	}
	for i := range o.dispatchers {
		sys.addDispatcher(i, o)
	}
	for _, d := range sys.dispatchers {
		sys.waitReady(d)
	}
	return sys
}

// configure writes a configuration with one route, as an operator does.
func (sys *testSystem) configure(version int, prefix string) {
	sys.put(platform.KeyConfig, fmt.Sprintf(configTemplate, version, prefix))
}

func (sys *testSystem) put(key, value string) {
	var revision uint64
	if e, err := sys.client.Get(sys.t.Context(), key); err == nil {
		revision = e.Revision
	}
	_, err := sys.client.CompareAndSwap(sys.t.Context(), key, revision, []byte(value), 0)
	must.NoError(sys.t, err)
}

func (sys *testSystem) addEndpoint(i int, o systemOptions) {
	e := &platformtest.Endpoint{
		Service: "svc", Domain: fmt.Sprintf("z%d", i%2), Capacity: workload.Resources{MilliCPU: 4 * taskCPU, MemoryMB: 1000},
		Need:     func(workload.RunID) workload.Resources { return workload.Resources{MilliCPU: taskCPU, MemoryMB: 1} },
		Duration: o.runDuration, Checker: sys.checker,
	}
	if o.configureEndpoint != nil {
		o.configureEndpoint(e)
	}
	server := httptest.NewServer(e.Handler())
	e.ID = strings.TrimPrefix(server.URL, "http://")
	e.Init()
	sys.endpoints = append(sys.endpoints, e)
	s := runner.DefaultSettings()
	s.Name, s.Store = fmt.Sprintf("run-%d", i), sys.storeAddress
	s.Listen, s.Link = fleet.FreeAddress(sys.t), fleet.FreeAddress(sys.t)
	s.Grace = settings.Duration(time.Second)
	r, err := runner.New(network.TCP, &s, sys.logger)
	must.NoError(sys.t, err)
	sys.run(r.Run)
	ctx, cancel := context.WithCancel(context.Background())
	sys.t.Cleanup(func() {
		cancel()
		server.CloseClientConnections()
		server.Close()
	})
	go sendHeartbeats(ctx, e, s.Listen)
}

// sendHeartbeats sends an endpoint's heartbeats until ctx ends.
func sendHeartbeats(ctx context.Context, e *platformtest.Endpoint, address string) {
	for sequence := int64(1); ctx.Err() == nil; sequence++ {
		e.SendHeartbeat(ctx, http.DefaultClient, address, sequence, "ready")
		time.Sleep(100 * time.Millisecond)
	}
}

func (sys *testSystem) addDispatcher(i int, o systemOptions) {
	s := dispatch.DefaultSettings()
	s.Name, s.Store = fmt.Sprintf("dis-%d", i), sys.storeAddress
	s.Listen, s.Ready, s.Peer = fleet.FreeAddress(sys.t), fleet.FreeAddress(sys.t), fleet.FreeAddress(sys.t)
	s.Grace = settings.Duration(2 * time.Second)
	if o.configureDispatcher != nil {
		o.configureDispatcher(i, &s)
	}
	must.NoError(sys.t, s.Validate())
	n := o.network
	if n == nil {
		n = network.TCP
	}
	d, err := dispatch.New(n, &s, sys.logger)
	must.NoError(sys.t, err)
	p := &dispatcherProcess{Dispatcher: d, callerAddress: s.Listen, readyAddress: s.Ready, peerAddress: s.Peer}
	d.ForwardAll()
	d.InjectLateness = func() time.Duration { return time.Duration(p.lateness.Load()) }
	p.stop, p.done = sys.run(d.Run)
	sys.dispatchers = append(sys.dispatchers, p)
}

func (sys *testSystem) run(run func(context.Context) error) (context.CancelFunc, chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := run(ctx); err != nil {
			sys.t.Errorf("process: %v", err)
		}
	}()
	sys.t.Cleanup(func() {
		cancel()
		<-done
	})
	return cancel, done
}

func (sys *testSystem) waitReady(d *dispatcherProcess) {
	sys.t.Helper()
	must.True(sys.t, eventually(func() bool { return isReady(d) }), must.Sprint("a dispatcher never became ready"))
}

func isReady(d *dispatcherProcess) bool {
	return platformtest.DispatcherReady(context.Background(), http.DefaultClient, d.readyAddress)
}

const jobTemplate = `{"spec":"x","best_effort":true,"steps":[{"count":%d,"cpu":1000,"mem_mb":1,"estimated_ms":%d}]}`

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// post sends a job and returns the response's status and body. The status is 0
// if there is no response.
func (sys *testSystem) post(ctx context.Context, d *dispatcherProcess, path, body string) (int, string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callerAddress+path, strings.NewReader(body))
	must.NoError(sys.t, err)
	req.Host = callerHost
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

// postUntilAccepted sends a job and repeats it while it is refused as not run,
// as callers do: on a busy machine a runner's heartbeats may be late for a
// moment.
func (sys *testSystem) postUntilAccepted(d *dispatcherProcess, path, body string) (int, string) {
	var status int
	var text string
	eventually(func() bool {
		status, text = sys.post(sys.t.Context(), d, path, body)
		return status != http.StatusServiceUnavailable
	})
	return status, text
}

func constantDuration(d time.Duration) func(workload.RunID) time.Duration {
	return func(workload.RunID) time.Duration { return d }
}
