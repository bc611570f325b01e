// Package soak runs dispatchers and runners as separate processes against
// stand-ins, injects random faults from outside, and checks what callers and
// endpoints see. A seed chooses load and faults.
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
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/network"
	standin "github.com/pomelosill/pomelosill/internal/standin/kvstore"
	"github.com/pomelosill/pomelosill/platform"
	"github.com/pomelosill/pomelosill/platform/platformtest"
	"github.com/pomelosill/pomelosill/test/caller"
	"github.com/pomelosill/pomelosill/test/fleet"
)

const (
	dispatcherCount = 3
	hostCount       = 4
	domainCount     = 2
	// endpointTasks is how many tasks an endpoint has room for.
	endpointTasks     = 8
	heartbeatInterval = 100 * time.Millisecond
)

// host is one endpoint, with its runner and the proxies around both.
type host struct {
	endpoint *platformtest.Endpoint
	runner   *fleet.Process
	// link is in front of the runner, calls in front of the endpoint, and
	// store between the runner and the store.
	link, calls, store *proxy
	listen             string
	faults             platformtest.FaultInjector
}

// dispatcher is one dispatcher.
type dispatcher struct {
	process       *fleet.Process
	listen, ready string
	store         *proxy
}

// cluster is the system under test.
type cluster struct {
	t            *testing.T
	rng          *rand.Rand
	dir          string
	checker      *platformtest.Checker
	store        *standin.Server
	operator     *platform.Store
	storeAddress string
	hosts        []*host
	dispatchers  []*dispatcher
	ctx          context.Context
}

func newCluster(t *testing.T, seed uint64) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	w := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, seed)), dir: t.TempDir(), checker: platformtest.NewChecker(),
		store: standin.NewServer(time.Now), ctx: ctx,
	}
	server := httptest.NewServer((&platformtest.Store{Server: w.store}).Handler())
	w.storeAddress = strings.TrimPrefix(server.URL, "http://")
	w.operator = platform.NewStore(network.TCP, w.storeAddress)
	t.Cleanup(func() {
		cancel()
		w.store.Close()
		server.CloseClientConnections()
		server.Close()
	})
	_, err := w.operator.CompareAndSwap(ctx, platform.KeyConfig, 0, []byte(caller.Config), 0)
	must.NoError(t, err)
	for i := range hostCount {
		w.addHost(i)
	}
	for i := range dispatcherCount {
		w.addDispatcher(i)
	}
	return w
}

func (w *cluster) addProxy(target string) *proxy {
	p, err := newProxy(target)
	must.NoError(w.t, err)
	w.t.Cleanup(p.close)
	return p
}

func (w *cluster) startProcess(name, program string, settings any) *fleet.Process {
	text, err := json.Marshal(settings)
	must.NoError(w.t, err)
	path := filepath.Join(w.dir, name+".json")
	must.NoError(w.t, os.WriteFile(path, text, 0o600))
	p := fleet.NewProcess(w.dir, name, program, "--settings", path)
	p.Start(w.t)
	w.t.Cleanup(func() {
		p.Kill()
		if w.t.Failed() {
			p.PrintLog(w.t)
		}
	})
	return p
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
}

func domainName(i int) string { return fmt.Sprintf("z%d", i%domainCount) }

func (w *cluster) addHost(i int) {
	h := &host{listen: fleet.FreeAddress(w.t)}
	h.endpoint = caller.NewEndpoint(domainName(i), endpointTasks, w.checker)
	h.endpoint.ChooseFault = h.faults.Choose
	server := httptest.NewServer(h.endpoint.Handler())
	w.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	h.calls = w.addProxy(strings.TrimPrefix(server.URL, "http://"))
	h.endpoint.ID = h.calls.address()
	h.endpoint.Init()
	link := fleet.FreeAddress(w.t)
	h.link, h.store = w.addProxy(link), w.addProxy(w.storeAddress)
	name := fmt.Sprintf("run-%d", i)
	h.runner = w.startProcess(name, "pomelosill-runner", runnerSettings{
		Name: name, Listen: h.listen, Link: link,
		Advertise: h.link.address(), Store: h.store.address(), Grace: "2s",
	})
	w.hosts = append(w.hosts, h)
	go w.sendHeartbeats(h)
}

// sendHeartbeats sends the endpoint's heartbeats.
func (w *cluster) sendHeartbeats(h *host) {
	client := &http.Client{Timeout: time.Second}
	for sequence := int64(1); w.ctx.Err() == nil; sequence++ {
		h.endpoint.SendHeartbeat(w.ctx, client, h.listen, sequence, "ready")
		time.Sleep(heartbeatInterval)
	}
}

func (w *cluster) addDispatcher(i int) {
	e := &dispatcher{listen: fleet.FreeAddress(w.t), ready: fleet.FreeAddress(w.t), store: w.addProxy(w.storeAddress)}
	name := fmt.Sprintf("dis-%d", i)
	e.process = w.startProcess(name, "pomelosill-dispatcher", dispatcherSettings{
		Name: name, Listen: e.listen, Ready: e.ready, Peer: fleet.FreeAddress(w.t),
		Store: e.store.address(), Grace: "3s",
	})
	w.dispatchers = append(w.dispatchers, e)
}

// newCallers send jobs to all dispatchers.
func (w *cluster) newCallers() *caller.Callers {
	c := &caller.Callers{JobInterval: caller.JobInterval, HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	w.t.Cleanup(c.HTTP.CloseIdleConnections)
	for _, e := range w.dispatchers {
		c.Dispatchers = append(c.Dispatchers, e.listen)
	}
	return c
}

// allReady waits until every dispatcher is ready.
func (w *cluster) allReady(within time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(within)
	for _, e := range w.dispatchers {
		for !platformtest.DispatcherReady(w.ctx, client, e.ready) {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return true
}
