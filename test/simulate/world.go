// Package simulate runs dispatchers and runners together in one process, in
// simulated time, on a network and against stand-ins whose faults a seed
// chooses. It checks what callers and endpoints see. A run of ten seconds
// takes well under one, so that many seeds can be run.
package simulate

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
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
	standin "github.com/pomelosill/pomelosill/internal/standin/platform"
	"github.com/pomelosill/pomelosill/internal/work"
	"github.com/pomelosill/pomelosill/platform"
	"github.com/pomelosill/pomelosill/platform/platformtest"
	"github.com/pomelosill/pomelosill/test/caller"
)

const (
	domains = 2
	// endpointTasks is how many tasks an endpoint has room for.
	endpointTasks = 8
	beatEvery     = 300 * time.Millisecond
	// stopTakes is how long a stop takes at an endpoint.
	stopTakes = 40 * time.Millisecond
	// fullLoad is the time between two jobs that no endpoint has room for all
	// of.
	fullLoad     = 15 * time.Millisecond
	grace        = 2 * time.Second
	storeAddress = "store:1"
	config       = `{"version":1,"routes":[{"name":"r","hostname":"app.example","prefix":"/p/","service":"svc",
		"stretch":1.6,"target_latency_ms":60,"max_attempts":3}],"services":[{"name":"svc"}]}`
)

// member is a process of the system; it can be killed and started again.
type member struct {
	name  string
	run   func(n network.Network, log *zap.Logger) func(context.Context) error
	place *place
	stop  context.CancelFunc
	done  chan struct{}
}

// host is one endpoint with its runner.
type host struct {
	endpoint *platformtest.Endpoint
	name     string
	listen   string
	runner   *member

	mu         sync.Mutex
	fault      platformtest.Fault
	faultShare float64
}

// world is the system under test.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	fabric  *fabric
	judge   *platformtest.Judge
	store   *standin.Server
	client  *platform.Store
	hosts   []*host
	members []*member
	// dispatchers are those members, listens where they take jobs.
	dispatchers []*member
	listens     []string
	servers     []*http.Server
	clients     []*http.Client
	closing     chan struct{}
	log         *logBuffer
	// jobEvery is the time between two jobs.
	jobEvery time.Duration
}

// logBuffer keeps what all processes log.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func (l *logBuffer) logger(name string) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), zapcore.AddSync(l), zapcore.InfoLevel)
	return zap.New(core).With(zap.String("process", name))
}

// newWorld starts a system. It must be called, and closed, inside a bubble of
// testing/synctest.
func newWorld(t *testing.T, seed uint64) *world {
	rng := rand.New(rand.NewPCG(seed, seed))
	epoch := time.Now()
	restore := clock.Simulate(func() time.Duration { return time.Hour + time.Since(epoch) })
	t.Cleanup(restore)
	w := &world{
		t: t, rng: rng, fabric: newFabric(), judge: platformtest.NewJudge(), store: standin.NewServer(time.Now),
		closing: make(chan struct{}), log: &logBuffer{},
		jobEvery: fullLoad + time.Duration(rng.Int64N(int64(caller.JobEvery-fullLoad))),
	}
	w.serve("store", storeAddress, (&platformtest.Store{Server: w.store}).Handler())
	w.client = platform.NewStoreOn(w.fabric.place("operator"), storeAddress)
	_, err := w.client.CompareAndSwap(t.Context(), platform.KeyConfig, 0, []byte(config), 0)
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
func (w *world) close() {
	close(w.closing)
	for _, m := range w.members {
		m.kill(true)
	}
	w.store.Close()
	for _, s := range w.servers {
		_ = s.Close()
	}
	for _, c := range w.clients {
		c.CloseIdleConnections()
	}
	for _, m := range w.members {
		<-m.done
	}
	w.fabric.closeAll()
}

func (w *world) serve(name, address string, handler http.Handler) {
	l, err := w.fabric.place(name).Listen(w.t.Context(), address)
	must.NoError(w.t, err)
	s := process.NewServer(handler)
	w.servers = append(w.servers, s)
	go func() { _ = s.Serve(l) }()
}

// httpClient is a client of one place.
func (w *world) httpClient(place string) *http.Client {
	c := &http.Client{Transport: &http.Transport{
		DialContext: network.Dialer(w.fabric.place(place), time.Second), MaxIdleConnsPerHost: 64,
	}}
	w.clients = append(w.clients, c)
	return c
}

func (w *world) addMember(name string, run func(n network.Network, log *zap.Logger) func(context.Context) error) *member {
	m := &member{name: name, run: run}
	w.members = append(w.members, m)
	w.start(m)
	return m
}

// start starts a process.
func (w *world) start(m *member) {
	m.place = w.fabric.place(m.name)
	run := m.run(m.place, w.log.logger(m.name))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	m.stop, m.done = cancel, done
	place := m.place
	go func() {
		defer close(done)
		if err := run(ctx); err != nil && !place.isDead() {
			w.t.Errorf("%s: %v", m.name, err)
		}
	}()
}

// kill takes a process off the network for good. What is left of it runs on
// alone until it has ended.
func (m *member) kill(power bool) {
	if !m.place.isDead() {
		m.place.kill(power)
	}
	m.stop()
}

func domainOf(i int) string { return fmt.Sprintf("z%d", i%domains) }

func (w *world) addHost(i int) {
	h := &host{name: fmt.Sprintf("run-%d", i), listen: fmt.Sprintf("run-%d:1", i)}
	address := fmt.Sprintf("end-%d:1", i)
	h.endpoint = &platformtest.Endpoint{
		ID: address, Service: "svc", Domain: domainOf(i),
		Capacity: work.Resources{CPU: endpointTasks * caller.TaskCPU, MemoryMB: 1000},
		Need:     func(work.Run) work.Resources { return work.Resources{CPU: caller.TaskCPU, MemoryMB: 1} },
		Duration: caller.Duration, StopTakes: stopTakes, Judge: w.judge, Fault: h.choose,
	}
	h.endpoint.Begin()
	w.serve(h.endpointPlace(), address, h.endpoint.Handler())
	h.runner = w.addMember(h.name, func(n network.Network, log *zap.Logger) func(context.Context) error {
		s := runner.DefaultSettings()
		s.Name, s.Listen, s.Link, s.Store = h.name, h.listen, h.name+":2", storeAddress
		s.Grace = settings.Duration(grace)
		r, err := runner.NewOn(n, &s, log)
		must.NoError(w.t, err)
		return r.Run
	})
	w.hosts = append(w.hosts, h)
	go w.beat(h)
}

func (h *host) endpointPlace() string { return "end of " + h.name }

// choose is the fault of one call to the endpoint.
func (h *host) choose(platformtest.Call) platformtest.Fault {
	h.mu.Lock()
	defer h.mu.Unlock()
	if rand.Float64() < h.faultShare {
		return h.fault
	}
	return platformtest.None
}

func (h *host) setFault(f platformtest.Fault, share float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fault, h.faultShare = f, share
}

// beat sends the endpoint's heartbeats.
func (w *world) beat(h *host) {
	client := w.httpClient(h.endpointPlace())
	client.Timeout = time.Second
	for sequence := int64(1); ; sequence++ {
		req, err := http.NewRequest(http.MethodPut, "http://"+h.listen+"/instances/"+h.endpoint.ID,
			bytes.NewReader(h.endpoint.Heartbeat(sequence, "ready")))
		if err != nil {
			return
		}
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close()
		}
		select {
		case <-w.closing:
			client.CloseIdleConnections()
			return
		case <-time.After(beatEvery):
		}
	}
}

func (w *world) addDispatcher(i int) {
	name := fmt.Sprintf("dis-%d", i)
	listen := name + ":1"
	m := w.addMember(name, func(n network.Network, log *zap.Logger) func(context.Context) error {
		s := dispatch.DefaultSettings()
		s.Name, s.Listen, s.Ready, s.Peer, s.Store = name, listen, name+":2", name+":3", storeAddress
		s.Grace = settings.Duration(grace)
		d, err := dispatch.NewOn(n, &s, log)
		must.NoError(w.t, err)
		return d.Run
	})
	w.dispatchers = append(w.dispatchers, m)
	w.listens = append(w.listens, listen)
}

// callers send jobs to all dispatchers.
func (w *world) callers() *caller.Callers {
	return &caller.Callers{HTTP: w.httpClient("callers"), Dispatchers: w.listens, Every: w.jobEvery}
}

// allReady waits until every dispatcher is ready.
func (w *world) allReady(within time.Duration) bool {
	client := w.httpClient("balancer")
	end := time.Now().Add(within)
	for _, m := range w.dispatchers {
		for !ready(client, m.name+":2") {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return true
}

func ready(client *http.Client, address string) bool {
	resp, err := client.Get("http://" + address + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
