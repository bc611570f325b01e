//go:build review2

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/standin/kvstore"
	"github.com/pomelosill/pomelosill/platform"
	"github.com/pomelosill/pomelosill/platform/platformtest"
)

// The ports of every machine, as in the platform's settings.
const (
	portFront   = 8161
	portReady   = 8167
	portControl = 8166
	portPeer    = 7720
	portMetrics = 9464
	portApp     = 8360
)

// Names in the configuration.
const (
	service = "booths"
	host    = "queue.example"
	prefix  = "/jobs/"
)

// machine is one machine with its process.
type machine struct {
	name, zone, ip string
	gate           *gate
	process        *exec.Cmd
	exited         chan struct{}
	// restart starts the process again.
	restart func() error
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	rec       *record
	ctx       context.Context
	dir       string
	network   string
	nextHost  int
	store     http.Handler
	operator  *platform.Store
	machines  []*machine
	executors []*executor
	jobs      atomic.Int64
	clients   sync.WaitGroup
	// loseFirst names the machine whose first write to the store gets no answer.
	loseFirst string
}

// newFleet starts the stand-in store with a configuration.
func newFleet(ctx context.Context, rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, ctx: ctx, dir: dir, nextHost: 1}
	f.network, err = freeNetwork()
	if err != nil {
		return nil, err
	}
	f.store = (&platformtest.Store{Server: kvstore.NewServer(time.Now)}).Handler()
	address, err := f.serve(f.network+".250:0", f.store)
	if err != nil {
		return nil, err
	}
	f.operator = platform.NewStore(network.TCP, address)
	config := map[string]any{
		"version": 1, "services": []any{map[string]any{"name": service}}, "limits": map[string]any{"max_body_bytes": 262144},
		"routes": []any{map[string]any{
			"name": "queue", "hostname": host, "prefix": prefix, "service": service, "timeout_ms": 30000,
			"target_latency_ms": 60, "priority": 0, "max_attempts": 3, "stretch": 1.6,
		}},
	}
	data, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	_, err = f.operator.CompareAndSwap(ctx, "op/config", 0, data, 0)
	return f, err
}

// freeNetwork returns the first three bytes of loopback addresses on which the ports of
// the machines are free.
func freeNetwork() (string, error) {
	for range 20 {
		candidate := fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), 1+rand.IntN(254))
		if portsFree(candidate) {
			return candidate, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func portsFree(network string) bool {
	for i := 1; i <= 20; i++ {
		for _, port := range []int{portFront, portReady, portControl, portPeer, portMetrics, portApp} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, i, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// serve serves a handler until the fleet ends, and returns the address.
func (f *fleet) serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	go func() {
		<-f.ctx.Done()
		_ = server.Close()
	}()
	return l.Addr().String(), nil
}

// render fills in a settings template of the deploy folder.
func render(path string, values map[string]string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	text := regexp.MustCompile(`\{\{[#/][a-z_.]+\}\}`).ReplaceAllString(string(data), "")
	for key, value := range values {
		text = strings.ReplaceAll(text, "{{"+key+"}}", value)
	}
	if i := strings.Index(text, "{{"); i >= 0 {
		return "", fmt.Errorf("%s: no value for %.40s", path, text[i:])
	}
	return text, nil
}

// start starts a program of the deploy file on a new machine.
func (f *fleet) start(program, template, name, zone string) (*machine, error) {
	m := &machine{name: name, zone: zone, ip: fmt.Sprintf("%s.%d", f.network, f.nextHost)}
	f.nextHost++
	m.gate = &gate{name: name, store: f.store, rec: f.rec}
	if name == f.loseFirst {
		m.gate.loseWrites = 1
	}
	storeAddress, err := f.serve(f.network+".250:0", m.gate)
	if err != nil {
		return nil, err
	}
	m.restart = func() error { return f.launch(m, program, template, storeAddress) }
	if err := m.restart(); err != nil {
		return nil, err
	}
	f.machines = append(f.machines, m)
	return m, nil
}

func (f *fleet) launch(m *machine, program, template, storeAddress string) error {
	at := func(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
	text, err := render(template, map[string]string{
		"node_name": m.name, "ip": m.ip, "zone": m.zone, "listen.front": at(portFront), "listen.ready": at(portReady),
		"listen.control": at(portControl), "internal_port_range.0": fmt.Sprint(portPeer), "platform.address": storeAddress,
		"bounds.max_hold_ms": "1000", "bounds.grace_s": "6", "limits.cpu_share": "0.4", "heartbeat_ms": "1500",
	})
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, m.name+".jsonc")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	m.process = exec.Command(program, "--settings", path)
	if m.process.Stdout, err = os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	m.process.Stderr = m.process.Stdout
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.process.Start(); err != nil {
		return err
	}
	f.rec.add("machine %s (%s): process started", m.name, m.zone)
	exited, process := make(chan struct{}), m.process
	m.exited = exited
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	return nil
}

// startDispatcher starts a dispatcher.
func (f *fleet) startDispatcher(name, zone string) (*machine, error) {
	return f.start("target/pomelosill-dispatcher", "deploy/dispatcher.jsonc", name, zone)
}

// startRunner starts a runner with its executor.
func (f *fleet) startRunner(name, zone string) (*executor, error) {
	m, err := f.start("target/pomelosill-runner", "deploy/runner.jsonc", name, zone)
	if err != nil {
		return nil, err
	}
	e := newExecutor("i-"+name, service, zone, fmt.Sprintf("%s:%d", m.ip, portApp), fmt.Sprintf("%s:%d", m.ip, portControl), f.rec)
	if _, err := f.serve(e.address, e); err != nil {
		return nil, err
	}
	f.executors = append(f.executors, e)
	go e.checkLease(f.ctx)
	go e.beats(f.ctx)
	return e, nil
}

// ready reports whether a dispatcher says that it takes connections.
func (f *fleet) ready(m *machine) bool {
	ctx, cancel := context.WithTimeout(f.ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/readiness", m.ip, portReady), nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the dispatcher is ready.
func (f *fleet) awaitReady(m *machine, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f.ready(m) {
			f.rec.add("machine %s: ready", m.name)
			return nil
		}
	}
	return fmt.Errorf("%s was not ready within %s", m.name, limit)
}

// call sends one request of a client on a channel of its own.
func (f *fleet) call(m *machine, method, id string, body []byte, wait time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(f.ctx, wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s%s", m.ip, portFront, prefix, id), bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "no response"
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "broken response"
	}
	return resp.StatusCode, strings.TrimSpace(string(data))
}

// newJobID returns an id for a job.
func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// load submits small jobs to the machines in turn until stop is closed.
func (f *fleet) load(machines []*machine, gap time.Duration, stop <-chan struct{}) {
	body := []byte(`{"spec":"60","best_effort":true,"steps":[{"count":2,"cpu":500,"mem_mb":64,"estimated_ms":60}]}`)
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(gap):
		}
		m, id := machines[i%len(machines)], newJobID()
		f.clients.Go(func() {
			f.rec.add("client: POST %s to %s", id, m.name)
			status, _ := f.call(m, http.MethodPost, id, body, 1500*time.Millisecond)
			f.rec.add("client: %s answered %d", id, status)
			if status == http.StatusOK {
				f.jobs.Add(1)
			}
		})
	}
}

// end ends all processes that were started, by their ids.
func (f *fleet) end() {
	for _, m := range f.machines {
		_ = m.process.Process.Kill()
		<-m.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs are in", f.dir)
	}
}
