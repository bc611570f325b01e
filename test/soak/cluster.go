// Package soak runs dispatchers and runners as separate processes against
// stand-ins, injects random faults from outside, and checks what callers and
// endpoints observe. A seed chooses the load and the faults.
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/standin/kvstore"
	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform"
	"github.com/pomelosill/pomelosill/platform/platformtest"
	"github.com/pomelosill/pomelosill/test/caller"
	"github.com/pomelosill/pomelosill/test/faultinject"
	"github.com/pomelosill/pomelosill/test/fleet"
)

const (
	dispatcherCount = 3
	hostCount       = 4
	domainCount     = 2
	// endpointTasks is how many tasks an endpoint has capacity for.
	endpointTasks     = 8
	heartbeatInterval = 100 * time.Millisecond
	readyTimeout      = 20 * time.Second
)

// host is one endpoint with its runner and the proxies of their connections.
type host struct {
	endpoint *platformtest.Endpoint
	runner   *fleet.Process
	// link is in front of the runner, calls in front of the endpoint, and store
	// between the runner and the store.
	link, calls, store *proxy
	listen             string
	faults             platformtest.FaultInjector
	// capacity is that of the endpoint while it has no fault.
	capacity workload.Resources
	speed    caller.Speed
}

// dispatcher is one dispatcher process.
type dispatcher struct {
	process       *fleet.Process
	listen, ready string
	store         *proxy
	// callers is in front of listen.
	callers *proxy
}

// cluster is the system under test.
type cluster struct {
	t       *testing.T
	rng     *rand.Rand
	dir     string
	checker *platformtest.Checker
	store   *kvstore.Server
	// storeDelays delays the calls to the store.
	storeDelays  platformtest.Delays
	operator     *platform.Store
	storeAddress string
	hosts        []*host
	dispatchers  []*dispatcher
	ctx          context.Context
	// crashes is set if some jobs crash the endpoints that start them, and faults
	// include changes of capacities.
	crashes bool
	// contention is nil if the endpoints and the routes' priorities are equal.
	contention *faultinject.Contention
}

// newCluster starts the system. The contention is nil for equal endpoints and routes.
func newCluster(t *testing.T, seed uint64, contention *faultinject.Contention) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, seed)), dir: t.TempDir(), checker: platformtest.NewChecker(),
		crashes: faultinject.InjectsCrashes(seed), contention: contention,
		store: kvstore.NewServer(time.Now), ctx: ctx,
	}
	server := httptest.NewServer(c.storeDelays.Handler((&platformtest.Store{Server: c.store}).Handler(), nil))
	c.storeAddress = strings.TrimPrefix(server.URL, "http://")
	c.operator = platform.NewStore(network.TCP, c.storeAddress)
	t.Cleanup(func() {
		cancel()
		c.store.Close()
		server.CloseClientConnections()
		server.Close()
	})
	_, err := c.operator.CompareAndSwap(ctx, platform.KeyConfig, 0, []byte(caller.Config), 0)
	must.NoError(t, err)
	if c.contention != nil {
		c.contention.Operator = c.operator
		c.contention.Prioritize(t)
	}
	for i := range hostCount {
		c.addHost(i)
	}
	if c.contention != nil {
		c.contention.Slowed = &c.hosts[0].speed
	}
	for i := range dispatcherCount {
		c.addDispatcher(i)
	}
	return c
}

func (c *cluster) addProxy(target string) *proxy {
	p, err := newProxy(target)
	must.NoError(c.t, err)
	c.t.Cleanup(p.close)
	return p
}

func (c *cluster) startProcess(name, program string, settings any) *fleet.Process {
	data, err := json.Marshal(settings)
	must.NoError(c.t, err)
	path := filepath.Join(c.dir, name+".json")
	must.NoError(c.t, os.WriteFile(path, data, 0o600))
	p := fleet.NewProcess(c.dir, name, program, "--settings", path)
	p.Start(c.t)
	c.t.Cleanup(func() {
		p.Kill()
		if c.t.Failed() {
			c.printLog(p)
		}
	})
	return p
}

// violatedTask finds the task in the text of a violation.
var violatedTask = regexp.MustCompile(`task (\S+), `)

// printLog prints what a process wrote about the tasks of violations, and the end of its log.
func (c *cluster) printLog(p *fleet.Process) {
	for _, v := range c.checker.Violations() {
		if m := violatedTask.FindStringSubmatch(v); m != nil {
			p.PrintLines(c.t, m[1])
		}
	}
	p.PrintLog(c.t)
}

type runnerSettings struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Link      string `json:"link"`
	Advertise string `json:"advertise"`
	Store     string `json:"store"`
	Grace     string `json:"grace"`
}

type dispatcherSettings struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Ready  string `json:"ready"`
	Peer   string `json:"peer"`
	Store  string `json:"store"`
	Grace  string `json:"grace"`
	// MemoryMB is zero if the host's memory isn't told.
	MemoryMB int64 `json:"memory_mb"`
}

func domainName(i int) string { return fmt.Sprintf("z%d", i%domainCount) }

func (c *cluster) addHost(i int) {
	h := &host{listen: fleet.FreeAddress(c.t)}
	tasks := int64(endpointTasks)
	if c.contention != nil {
		tasks = caller.UnevenTasks(i)
		h.speed.Set(caller.UnevenSpeed(i))
	}
	h.capacity = caller.Capacity(tasks)
	h.endpoint = caller.NewEndpoint(domainName(i), tasks, c.checker)
	h.endpoint.Duration = h.speed.RunDuration
	h.endpoint.ChooseFault = h.faults.Choose
	server := httptest.NewServer(h.endpoint.Handler())
	c.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	h.calls = c.addProxy(strings.TrimPrefix(server.URL, "http://"))
	h.endpoint.ID = h.calls.address()
	h.endpoint.Crashes = func(run workload.RunID) bool { return c.crashes && caller.CrashesEndpoint(run) }
	h.endpoint.OnProcess = func(running bool) {
		if err := h.calls.setListening(running); err != nil {
			c.t.Errorf("proxy in front of an endpoint: %v", err)
		}
	}
	h.endpoint.Init()
	link := fleet.FreeAddress(c.t)
	h.link, h.store = c.addProxy(link), c.addProxy(c.storeAddress)
	name := fmt.Sprintf("run-%d", i)
	h.runner = c.startProcess(name, "pomelosill-runner", runnerSettings{
		Name: name, Listen: h.listen, Link: link,
		Advertise: h.link.address(), Store: h.store.address(), Grace: "2s",
	})
	c.hosts = append(c.hosts, h)
	go c.sendHeartbeats(h)
}

// sendHeartbeats sends the endpoint's heartbeats.
func (c *cluster) sendHeartbeats(h *host) {
	client := &http.Client{Timeout: time.Second}
	for sequence := int64(1); c.ctx.Err() == nil; sequence++ {
		h.endpoint.SendHeartbeat(c.ctx, client, h.listen, sequence, "ready")
		time.Sleep(heartbeatInterval)
	}
}

func (c *cluster) addDispatcher(i int) { c.startDispatcher(i, 0) }

// startDispatcher adds a dispatcher on a host with so much memory, zero if it isn't told.
func (c *cluster) startDispatcher(i int, memoryMB int64) *dispatcher {
	d := &dispatcher{listen: fleet.FreeAddress(c.t), ready: fleet.FreeAddress(c.t), store: c.addProxy(c.storeAddress)}
	name := fmt.Sprintf("dis-%d", i)
	d.process = c.startProcess(name, "pomelosill-dispatcher", dispatcherSettings{
		Name: name, Listen: d.listen, Ready: d.ready, Peer: fleet.FreeAddress(c.t),
		Store: d.store.address(), Grace: "3s", MemoryMB: memoryMB,
	})
	d.callers = c.addProxy(d.listen)
	c.dispatchers = append(c.dispatchers, d)
	return d
}

// newCallers returns callers that send jobs to all dispatchers.
func (c *cluster) newCallers() *caller.Callers {
	callers := &caller.Callers{JobInterval: caller.JobInterval, HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	c.t.Cleanup(callers.HTTP.CloseIdleConnections)
	if c.contention != nil {
		callers.JobInterval = caller.OverloadInterval
	}
	for _, d := range c.dispatchers {
		callers.Dispatchers = append(callers.Dispatchers, d.listen)
	}
	return callers
}

// newProxiedCallers returns callers whose connections a fault can reset.
func (c *cluster) newProxiedCallers() *caller.Callers {
	callers := c.newCallers()
	for i, d := range c.dispatchers {
		callers.Dispatchers[i] = d.callers.address()
	}
	return callers
}

// allReady waits until every dispatcher is ready and reports whether this
// happened within readyTimeout.
func (c *cluster) allReady() bool {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(readyTimeout)
	for _, d := range c.dispatchers {
		for !platformtest.DispatcherReady(c.ctx, client, d.ready) {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return true
}
