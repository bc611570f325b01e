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
	standin "github.com/pomelosill/pomelosill/internal/standin/platform"
	"github.com/pomelosill/pomelosill/platform"
	"github.com/pomelosill/pomelosill/platform/platformtest"
	"github.com/pomelosill/pomelosill/test/caller"
	"github.com/pomelosill/pomelosill/test/logbuf"
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
)

// member is a process of the system; it can be killed and started again.
type member struct {
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
	runner   *member
	chance   platformtest.Chance
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
	log         *logbuf.Buffer
	// jobEvery is the time between two jobs.
	jobEvery time.Duration
}

// logger logs what one process does.
func (w *world) logger(name string) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), zapcore.AddSync(w.log), zapcore.InfoLevel)
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
		closing: make(chan struct{}), log: &logbuf.Buffer{},
		jobEvery: fullLoad + time.Duration(rng.Int64N(int64(caller.JobEvery-fullLoad))),
	}
	w.serve("store", storeAddress, (&platformtest.Store{Server: w.store}).Handler())
	w.client = platform.NewStore(w.fabric.stack("operator"), storeAddress)
	_, err := w.client.CompareAndSwap(t.Context(), platform.KeyConfig, 0, []byte(caller.Config), 0)
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
	l, err := w.fabric.stack(name).Listen(w.t.Context(), address)
	must.NoError(w.t, err)
	s := process.NewServer(handler)
	w.servers = append(w.servers, s)
	go func() { _ = s.Serve(l) }()
}

// httpClient is a client at one host.
func (w *world) httpClient(name string) *http.Client {
	c := &http.Client{Transport: &http.Transport{
		DialContext: network.Dialer(w.fabric.stack(name), time.Second), MaxIdleConnsPerHost: 64,
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
	m.stack = w.fabric.stack(m.name)
	run := m.run(m.stack, w.logger(m.name))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	m.stop, m.done = cancel, done
	stack := m.stack
	go func() {
		defer close(done)
		if err := run(ctx); err != nil && !stack.isDead() {
			w.t.Errorf("%s: %v", m.name, err)
		}
	}()
}

// kill takes a process off the network for good. What is left of it runs on
// alone until it has ended.
func (m *member) kill(power bool) {
	if !m.stack.isDead() {
		m.stack.kill(power)
	}
	m.stop()
}

func domainOf(i int) string { return fmt.Sprintf("z%d", i%domains) }

func (w *world) addHost(i int) {
	h := &host{name: fmt.Sprintf("run-%d", i), listen: fmt.Sprintf("run-%d:1", i)}
	address := fmt.Sprintf("end-%d:1", i)
	h.endpoint = caller.Endpoint(domainOf(i), endpointTasks, w.judge)
	h.endpoint.ID, h.endpoint.StopTakes, h.endpoint.Fault = address, stopTakes, h.chance.Choose
	h.endpoint.Begin()
	w.serve(h.endpointName(), address, h.endpoint.Handler())
	h.runner = w.addMember(h.name, func(n network.Network, log *zap.Logger) func(context.Context) error {
		s := runner.DefaultSettings()
		s.Name, s.Listen, s.Link, s.Store = h.name, h.listen, h.name+":2", storeAddress
		s.Grace = settings.Duration(grace)
		r, err := runner.New(n, &s, log)
		must.NoError(w.t, err)
		return r.Run
	})
	w.hosts = append(w.hosts, h)
	go w.beat(h)
}

func (h *host) endpointName() string { return "end of " + h.name }

// beat sends the endpoint's heartbeats.
func (w *world) beat(h *host) {
	client := w.httpClient(h.endpointName())
	client.Timeout = time.Second
	for sequence := int64(1); ; sequence++ {
		h.endpoint.Announce(context.Background(), client, h.listen, sequence, "ready")
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
		d, err := dispatch.New(n, &s, log)
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
		for !platformtest.Ready(w.t.Context(), client, m.name+":2") {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return true
}
