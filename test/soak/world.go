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
	standin "github.com/pomelosill/pomelosill/internal/standin/platform"
	"github.com/pomelosill/pomelosill/platform"
	"github.com/pomelosill/pomelosill/platform/platformtest"
	"github.com/pomelosill/pomelosill/test/caller"
	"github.com/pomelosill/pomelosill/test/fleet"
)

const (
	dispatchers = 3
	hosts       = 4
	domains     = 2
	// endpointTasks is how many tasks an endpoint has room for.
	endpointTasks = 8
	beatEvery     = 100 * time.Millisecond
)

// host is one endpoint, with its runner and the proxies around both.
type host struct {
	endpoint *platformtest.Endpoint
	runner   *fleet.Process
	// link is in front of the runner, calls in front of the endpoint, and
	// store between the runner and the store.
	link, calls, store *proxy
	listen             string
	chance             platformtest.Chance
}

// entry is one dispatcher.
type entry struct {
	process       *fleet.Process
	listen, ready string
	store         *proxy
}

// world is the system under test.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	dir     string
	judge   *platformtest.Judge
	store   *standin.Server
	client  *platform.Store
	storeAt string
	hosts   []*host
	entries []*entry
	ctx     context.Context
}

func newWorld(t *testing.T, seed uint64) *world {
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, seed)), dir: t.TempDir(), judge: platformtest.NewJudge(),
		store: standin.NewServer(time.Now), ctx: ctx,
	}
	server := httptest.NewServer((&platformtest.Store{Server: w.store}).Handler())
	w.storeAt = strings.TrimPrefix(server.URL, "http://")
	w.client = platform.NewStore(network.TCP, w.storeAt)
	t.Cleanup(func() {
		cancel()
		w.store.Close()
		server.CloseClientConnections()
		server.Close()
	})
	_, err := w.client.CompareAndSwap(ctx, platform.KeyConfig, 0, []byte(caller.Config), 0)
	must.NoError(t, err)
	for i := range hosts {
		w.addHost(i)
	}
	for i := range dispatchers {
		w.addEntry(i)
	}
	return w
}

func (w *world) proxy(target string) *proxy {
	p, err := newProxy(target)
	must.NoError(w.t, err)
	w.t.Cleanup(p.close)
	return p
}

func (w *world) process(name, program string, settings any) *fleet.Process {
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

func domainOf(i int) string { return fmt.Sprintf("z%d", i%domains) }

func (w *world) addHost(i int) {
	h := &host{listen: fleet.FreeAddress(w.t)}
	h.endpoint = caller.Endpoint(domainOf(i), endpointTasks, w.judge)
	h.endpoint.Fault = h.chance.Choose
	server := httptest.NewServer(h.endpoint.Handler())
	w.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	h.calls = w.proxy(strings.TrimPrefix(server.URL, "http://"))
	h.endpoint.ID = h.calls.address()
	h.endpoint.Begin()
	link := fleet.FreeAddress(w.t)
	h.link, h.store = w.proxy(link), w.proxy(w.storeAt)
	name := fmt.Sprintf("run-%d", i)
	h.runner = w.process(name, "pomelosill-runner", runnerSettings{
		Name: name, Listen: h.listen, Link: link,
		Advertise: h.link.address(), Store: h.store.address(), Grace: "2s",
	})
	w.hosts = append(w.hosts, h)
	go w.beat(h)
}

// beat sends the endpoint's heartbeats.
func (w *world) beat(h *host) {
	client := &http.Client{Timeout: time.Second}
	for sequence := int64(1); w.ctx.Err() == nil; sequence++ {
		h.endpoint.Announce(w.ctx, client, h.listen, sequence, "ready")
		time.Sleep(beatEvery)
	}
}

func (w *world) addEntry(i int) {
	e := &entry{listen: fleet.FreeAddress(w.t), ready: fleet.FreeAddress(w.t), store: w.proxy(w.storeAt)}
	name := fmt.Sprintf("dis-%d", i)
	e.process = w.process(name, "pomelosill-dispatcher", dispatcherSettings{
		Name: name, Listen: e.listen, Ready: e.ready, Peer: fleet.FreeAddress(w.t),
		Store: e.store.address(), Grace: "3s",
	})
	w.entries = append(w.entries, e)
}

// callers send jobs to all dispatchers.
func (w *world) callers() *caller.Callers {
	c := &caller.Callers{Every: caller.JobEvery, HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	w.t.Cleanup(c.HTTP.CloseIdleConnections)
	for _, e := range w.entries {
		c.Dispatchers = append(c.Dispatchers, e.listen)
	}
	return c
}

// allReady waits until every dispatcher is ready.
func (w *world) allReady(within time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(within)
	for _, e := range w.entries {
		for !platformtest.Ready(w.ctx, client, e.ready) {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return true
}
