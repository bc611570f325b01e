// Package simulate runs dispatchers and runners together in one process, in
// simulated time, on a network and against stand-ins whose faults a seed
// chooses. It checks what callers and endpoints see. A run of ten seconds
// takes well under one, so that many seeds can be run.
package simulate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/dispatch"
	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/runner"
	"github.com/pomelosill/pomelosill/internal/settings"
	standin "github.com/pomelosill/pomelosill/internal/standin/kvstore"
	"github.com/pomelosill/pomelosill/platform"
	"github.com/pomelosill/pomelosill/platform/platformtest"
	"github.com/pomelosill/pomelosill/test/caller"
	"github.com/pomelosill/pomelosill/test/logbuf"
)

const (
	domainCount = 2
	// endpointTasks is how many tasks an endpoint has room for.
	endpointTasks     = 8
	heartbeatInterval = 300 * time.Millisecond
	// stopDelay is how long a stop takes at an endpoint.
	stopDelay = 40 * time.Millisecond
	// overloadInterval is the time between two jobs that no endpoint has room for all
	// of.
	overloadInterval = 15 * time.Millisecond
	grace            = 2 * time.Second
	storeAddress     = "store:1"
)

// proc is a process of the system; it can be killed and started again.
type proc struct {
	name  string
	run   func(n network.Network, log *zap.Logger) func(context.Context) error
	stack *stack
	stop  context.CancelFunc
	done  chan struct{}
}

// host is one endpoint with its runner.
type host struct {
	endpoint *platformtest.Endpoint
	name     string
	listen   string
	runner   *proc
	faults   platformtest.FaultInjector
}

// cluster is the system under test.
type cluster struct {
	t        *testing.T
	rng      *rand.Rand
	network  *simNetwork
	checker  *platformtest.Checker
	store    *standin.Server
	operator *platform.Store
	hosts    []*host
	procs    []*proc
	// dispatchers are those members, listens where they take jobs.
	dispatchers         []*proc
	dispatcherAddresses []string
	servers             []*http.Server
	clients             []*http.Client
	closed              chan struct{}
	log                 *logbuf.Buffer
	// jobInterval is the time between two jobs.
	jobInterval time.Duration
}

// logger logs what one process does.
func (w *cluster) logger(name string) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), zapcore.AddSync(w.log), zapcore.InfoLevel)
	return zap.New(core).With(zap.String("process", name))
}

// newCluster starts a system. It must be called, and closed, inside a bubble of
// testing/synctest.
func newCluster(t *testing.T, seed uint64) *cluster {
	rng := rand.New(rand.NewPCG(seed, seed))
	epoch := time.Now()
	restore := clock.Simulate(func() time.Duration { return time.Hour + time.Since(epoch) })
	t.Cleanup(restore)
	w := &cluster{
		t: t, rng: rng, network: newSimNetwork(), checker: platformtest.NewChecker(), store: standin.NewServer(time.Now),
		closed: make(chan struct{}), log: &logbuf.Buffer{},
		jobInterval: overloadInterval + time.Duration(rng.Int64N(int64(caller.JobInterval-overloadInterval))),
	}
	w.serve("store", storeAddress, (&platformtest.Store{Server: w.store}).Handler())
	w.operator = platform.NewStore(w.network.newStack("operator"), storeAddress)
	_, err := w.operator.CompareAndSwap(t.Context(), platform.KeyConfig, 0, []byte(caller.Config), 0)
	must.NoError(t, err)
	for i := range 3 + rng.IntN(3) {
		w.addHost(i)
	}
	for i := range 2 + rng.IntN(3) {
		w.addDispatcher(i)
	}
	return w
}

// close ends every process and stand-in.
func (w *cluster) close() {
	close(w.closed)
	for _, m := range w.procs {
		m.kill(true)
	}
	w.store.Close()
	for _, s := range w.servers {
		_ = s.Close()
	}
	for _, c := range w.clients {
		c.CloseIdleConnections()
	}
	for _, m := range w.procs {
		<-m.done
	}
	w.network.closeAll()
}

func (w *cluster) serve(name, address string, handler http.Handler) {
	l, err := w.network.newStack(name).Listen(w.t.Context(), address)
	must.NoError(w.t, err)
	s := process.NewServer(handler)
	w.servers = append(w.servers, s)
	go func() { _ = s.Serve(l) }()
}

// newHTTPClient is a client at one host.
func (w *cluster) newHTTPClient(name string) *http.Client {
	c := &http.Client{Transport: &http.Transport{
		DialContext: network.DialContextFunc(w.network.newStack(name), time.Second), MaxIdleConnsPerHost: 64,
	}}
	w.clients = append(w.clients, c)
	return c
}

func (w *cluster) addProc(name string, run func(n network.Network, log *zap.Logger) func(context.Context) error) *proc {
	m := &proc{name: name, run: run}
	w.procs = append(w.procs, m)
	w.start(m)
	return m
}

// start starts a process.
func (w *cluster) start(m *proc) {
	m.stack = w.network.newStack(m.name)
	run := m.run(m.stack, w.logger(m.name))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	m.stop, m.done = cancel, done
	stack := m.stack
	go func() {
		defer close(done)
		if err := run(ctx); err != nil && !stack.isKilled() {
			w.t.Errorf("%s: %v", m.name, err)
		}
	}()
}

// kill takes a process off the network for good. What is left of it runs on
// alone until it has ended.
func (m *proc) kill(power bool) {
	if !m.stack.isKilled() {
		m.stack.kill(power)
	}
	m.stop()
}

func domainName(i int) string { return fmt.Sprintf("z%d", i%domainCount) }

func (w *cluster) addHost(i int) {
	h := &host{name: fmt.Sprintf("run-%d", i), listen: fmt.Sprintf("run-%d:1", i)}
	address := fmt.Sprintf("end-%d:1", i)
	h.endpoint = caller.NewEndpoint(domainName(i), endpointTasks, w.checker)
	h.endpoint.ID, h.endpoint.StopDelay, h.endpoint.ChooseFault = address, stopDelay, h.faults.Choose
	h.endpoint.Init()
	w.serve(h.endpointName(), address, h.endpoint.Handler())
	h.runner = w.addProc(h.name, func(n network.Network, log *zap.Logger) func(context.Context) error {
		s := runner.DefaultSettings()
		s.Name, s.Listen, s.Link, s.Store = h.name, h.listen, h.name+":2", storeAddress
		s.Grace = settings.Duration(grace)
		r, err := runner.New(n, &s, log)
		must.NoError(w.t, err)
		return r.Run
	})
	w.hosts = append(w.hosts, h)
	go w.sendHeartbeats(h)
}

func (h *host) endpointName() string { return "end of " + h.name }

// sendHeartbeats sends the endpoint's heartbeats.
func (w *cluster) sendHeartbeats(h *host) {
	client := w.newHTTPClient(h.endpointName())
	client.Timeout = time.Second
	for sequence := int64(1); ; sequence++ {
		h.endpoint.SendHeartbeat(context.Background(), client, h.listen, sequence, "ready")
		select {
		case <-w.closed:
			client.CloseIdleConnections()
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (w *cluster) addDispatcher(i int) {
	name := fmt.Sprintf("dis-%d", i)
	listen := name + ":1"
	m := w.addProc(name, func(n network.Network, log *zap.Logger) func(context.Context) error {
		s := dispatch.DefaultSettings()
		s.Name, s.Listen, s.Ready, s.Peer, s.Store = name, listen, name+":2", name+":3", storeAddress
		s.Grace = settings.Duration(grace)
		d, err := dispatch.New(n, &s, log)
		must.NoError(w.t, err)
		return d.Run
	})
	w.dispatchers = append(w.dispatchers, m)
	w.dispatcherAddresses = append(w.dispatcherAddresses, listen)
}

// newCallers send jobs to all dispatchers.
func (w *cluster) newCallers() *caller.Callers {
	return &caller.Callers{HTTP: w.newHTTPClient("callers"), Dispatchers: w.dispatcherAddresses, JobInterval: w.jobInterval}
}

// allReady waits until every dispatcher is ready.
func (w *cluster) allReady(within time.Duration) bool {
	client := w.newHTTPClient("balancer")
	end := time.Now().Add(within)
	for _, m := range w.dispatchers {
		for !platformtest.DispatcherReady(w.t.Context(), client, m.name+":2") {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return true
}
