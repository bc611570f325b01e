package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/dispatch"
	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/runner"
	"github.com/pomelosill/pomelosill/internal/settings"
	standin "github.com/pomelosill/pomelosill/internal/standin/kvstore"
	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform"
	"github.com/pomelosill/pomelosill/platform/platformtest"
	"github.com/pomelosill/pomelosill/test/fleet"
	"github.com/pomelosill/pomelosill/test/logbuf"
)

const (
	patience   = 8 * time.Second
	taskCPU    = 1000
	callerHost = "app.example"
)

const configTemplate = `{"version":%d,"routes":[{"name":"r","hostname":"app.example","prefix":"%s","service":"svc","stretch":1.6,
	"target_latency_ms":60,"max_attempts":2}],"services":[{"name":"svc"}],"limits":{"max_body_bytes":262144}}`

// testSystem is a small one on loopback: stand-ins of the store and of
// endpoints, with real dispatchers and runners in this process.
type testSystem struct {
	t            *testing.T
	store        *standin.Server
	client       *platform.Store
	storeAddress string
	judge        *platformtest.Checker
	endpoints    []*platformtest.Endpoint
	dispatchers  []*dispatcherProcess
	log          *logbuf.Buffer
	logger       *zap.Logger
}

// dispatcherProcess is a dispatcher.
type dispatcherProcess struct {
	callerAddress, readyAddress string
	stop                        context.CancelFunc
	done                        chan struct{}
}

func eventually(is func() bool) bool {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if is() {
			return true
		}
	}
	return false
}

type systemOptions struct {
	dispatchers, endpoints int
	// runDuration is how long a run works.
	runDuration func(workload.RunID) time.Duration
	// configureEndpoint may alter an endpoint before its start.
	configureEndpoint func(*platformtest.Endpoint)
}

func newSystem(t *testing.T, o systemOptions) *testSystem {
	f := &testSystem{t: t, judge: platformtest.NewChecker(), store: standin.NewServer(time.Now), log: &logbuf.Buffer{}}
	logger, err := process.NewAsyncLogger(f.log, "info")
	must.NoError(t, err)
	f.logger = logger
	server := httptest.NewServer((&platformtest.Store{Server: f.store}).Handler())
	f.storeAddress = strings.TrimPrefix(server.URL, "http://")
	f.client = platform.NewStore(network.TCP, f.storeAddress)
	t.Cleanup(func() {
		f.store.Close()
		server.CloseClientConnections()
		server.Close()
	})
	f.configure(1, "/p/")
	for i := range o.endpoints {
		f.addEndpoint(i, o)
	}
	for i := range o.dispatchers {
		f.addDispatcher(i)
	}
	for _, d := range f.dispatchers {
		f.waitReady(d)
	}
	return f
}

// configure writes a configuration with one route, as an operator does.
func (f *testSystem) configure(version int, prefix string) {
	f.put(platform.KeyConfig, fmt.Sprintf(configTemplate, version, prefix))
}

func (f *testSystem) put(key, value string) {
	var revision uint64
	if e, err := f.client.Get(f.t.Context(), key); err == nil {
		revision = e.Revision
	}
	_, err := f.client.CompareAndSwap(f.t.Context(), key, revision, []byte(value), 0)
	must.NoError(f.t, err)
}

func (f *testSystem) addEndpoint(i int, o systemOptions) {
	e := &platformtest.Endpoint{
		Service: "svc", Domain: fmt.Sprintf("z%d", i%2), Capacity: workload.Resources{MilliCPU: 4 * taskCPU, MemoryMB: 1000},
		Need:     func(workload.RunID) workload.Resources { return workload.Resources{MilliCPU: taskCPU, MemoryMB: 1} },
		Duration: o.runDuration, Checker: f.judge,
	}
	if o.configureEndpoint != nil {
		o.configureEndpoint(e)
	}
	server := httptest.NewServer(e.Handler())
	e.ID = strings.TrimPrefix(server.URL, "http://")
	e.Init()
	f.endpoints = append(f.endpoints, e)
	s := runner.DefaultSettings()
	s.Name, s.Store = fmt.Sprintf("run-%d", i), f.storeAddress
	s.Listen, s.Link = fleet.FreeAddress(f.t), fleet.FreeAddress(f.t)
	s.Grace = settings.Duration(time.Second)
	r, err := runner.New(network.TCP, &s, f.logger)
	must.NoError(f.t, err)
	f.run(r.Run)
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(func() {
		cancel()
		server.CloseClientConnections()
		server.Close()
	})
	go sendHeartbeats(ctx, e, s.Listen)
}

// sendHeartbeats sends an endpoint's heartbeats.
func sendHeartbeats(ctx context.Context, e *platformtest.Endpoint, to string) {
	for sequence := int64(1); ctx.Err() == nil; sequence++ {
		e.SendHeartbeat(ctx, http.DefaultClient, to, sequence, "ready")
		time.Sleep(100 * time.Millisecond)
	}
}

func (f *testSystem) addDispatcher(i int) {
	s := dispatch.DefaultSettings()
	s.Name, s.Store = fmt.Sprintf("dis-%d", i), f.storeAddress
	s.Listen, s.Ready, s.Peer = fleet.FreeAddress(f.t), fleet.FreeAddress(f.t), fleet.FreeAddress(f.t)
	s.Grace = settings.Duration(2 * time.Second)
	must.NoError(f.t, s.Validate())
	d, err := dispatch.New(network.TCP, &s, f.logger)
	must.NoError(f.t, err)
	stop, done := f.run(d.Run)
	f.dispatchers = append(f.dispatchers, &dispatcherProcess{callerAddress: s.Listen, readyAddress: s.Ready, stop: stop, done: done})
}

func (f *testSystem) run(run func(context.Context) error) (context.CancelFunc, chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := run(ctx); err != nil {
			f.t.Errorf("process: %v", err)
		}
	}()
	f.t.Cleanup(func() {
		cancel()
		<-done
	})
	return cancel, done
}

func (f *testSystem) waitReady(m *dispatcherProcess) {
	f.t.Helper()
	must.True(f.t, eventually(func() bool { return isReady(m) }), must.Sprint("a dispatcher never became ready"))
}

func isReady(m *dispatcherProcess) bool {
	return platformtest.DispatcherReady(context.Background(), http.DefaultClient, m.readyAddress)
}

const jobTemplate = `{"spec":"x","best_effort":true,"steps":[{"count":%d,"cpu":1000,"mem_mb":1,"estimated_ms":%d}]}`

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// post sends a job and returns status and body, 0 without an answer.
func (f *testSystem) post(ctx context.Context, m *dispatcherProcess, path, body string) (int, string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.callerAddress+path, strings.NewReader(body))
	must.NoError(f.t, err)
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

// postUntilAccepted sends a job, again while it is refused as not run, as callers do:
// a busy machine may leave a runner unheard for a moment.
func (f *testSystem) postUntilAccepted(m *dispatcherProcess, path, body string) (int, string) {
	var status int
	var text string
	eventually(func() bool {
		status, text = f.post(f.t.Context(), m, path, body)
		return status != http.StatusServiceUnavailable
	})
	return status, text
}

func constantDuration(d time.Duration) func(workload.RunID) time.Duration {
	return func(workload.RunID) time.Duration { return d }
}
