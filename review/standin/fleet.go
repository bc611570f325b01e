//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// Ports of the processes, each on a loopback address of its own.
const (
	portFront, portReady, portControl, portApp, portLink, portMetrics, portStore = 8161, 8167, 8166, 8165, 7720, 9464, 8169
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

func (r *recorder) printf(format string, args ...any) { r.at(time.Now(), format, args...) }

func (r *recorder) at(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f  %s\n", t.Sub(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// fleet is a small deployment with its stand-ins.
type fleet struct {
	rec    *recorder
	folder string
	subnet string
	store  *store
	// trouble is false if the run is to be without the disruption.
	trouble bool

	mu        sync.Mutex
	processes []*process
	events    []event
	version   uint64
}

type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// newFleet starts the store on a subnet of loopback addresses that is free.
func newFleet(rec *recorder, trouble bool) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, folder: folder, store: newStore(), trouble: trouble, version: 7}
	for n := range 100 {
		f.subnet = fmt.Sprintf("127.%d.%d", 100+os.Getpid()%100, (os.Getpid()/100+n)%250)
		if err = f.store.serve(f.address(250, portStore)); err == nil {
			return f, nil
		}
	}
	return nil, err
}

func (f *fleet) address(host, port int) string { return fmt.Sprintf("%s.%d:%d", f.subnet, host, port) }

// start starts a program. Its output goes to a file, or to journal if that is set.
func (f *fleet) start(name string, journal bool, command ...string) (*process, error) {
	p := &process{name: name, cmd: exec.Command(command[0], command[1:]...), done: make(chan struct{})}
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var lines io.ReadCloser
	if journal {
		p.cmd.Stderr = os.Stderr
		var err error
		if lines, err = p.cmd.StdoutPipe(); err != nil {
			return nil, err
		}
	} else {
		out, err := os.OpenFile(filepath.Join(f.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, err
		}
		defer func() { _ = out.Close() }()
		p.cmd.Stdout, p.cmd.Stderr = out, out
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	f.rec.printf("%s started", name)
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	go func() {
		if lines != nil {
			f.readJournal(lines)
		}
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

func (f *fleet) readJournal(lines io.Reader) {
	s := bufio.NewScanner(lines)
	for s.Scan() {
		var e event
		if json.Unmarshal(s.Bytes(), &e) != nil {
			continue
		}
		f.mu.Lock()
		f.events = append(f.events, e)
		f.mu.Unlock()
		text := e.Endpoint + " " + e.Kind
		if e.Task != "" {
			text += fmt.Sprintf(" %s attempt %d", e.Task, e.Attempt)
		}
		f.rec.at(time.Unix(0, e.UnixNano), "%s %s %s", text, e.Detail, e.Labels)
	}
}

// signal sends a signal to a process that this fleet has started.
func (f *fleet) signal(p *process, s syscall.Signal) {
	f.rec.printf("%s gets signal %d (%s)", p.name, s, s)
	_ = p.cmd.Process.Signal(s)
}

// stopAll ends all processes.
func (f *fleet) stopAll() {
	f.mu.Lock()
	all := f.processes
	f.mu.Unlock()
	for _, p := range all {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	for _, p := range all {
		<-p.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

var section = regexp.MustCompile(`\{\{[#/][a-z_.]+\}\}`)

// settings fills in a template of the deploy file for a host.
func (f *fleet) settings(template, name string, host int) (string, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	ip := fmt.Sprintf("%s.%d", f.subnet, host)
	filled := strings.NewReplacer(
		"{{node_name}}", name, "{{ip}}", ip,
		"{{listen.front}}", f.address(host, portFront), "{{listen.ready}}", f.address(host, portReady), "{{listen.control}}", f.address(host, portControl),
		"{{internal_port_range.0}}", fmt.Sprint(portLink), "{{platform.address}}", f.address(250, portStore),
		"{{bounds.max_hold_ms}}", "1000", "{{bounds.grace_s}}", "6", "{{heartbeat_ms}}", "1500", "{{limits.cpu_share}}", "0.4",
	).Replace(section.ReplaceAllString(string(text), ""))
	path := filepath.Join(f.folder, name+".yaml")
	return path, os.WriteFile(path, []byte(filled), 0o644)
}

// startFront and startSide start a process of the deploy file.
func (f *fleet) startFront(host int) (*process, error) {
	return f.startRole("target/pomelosill-dispatcher", "deploy/dispatcher.jsonc", fmt.Sprintf("front-%d", host), host)
}

func (f *fleet) startSide(host int) (*process, error) {
	return f.startRole("target/pomelosill-runner", "deploy/runner.jsonc", fmt.Sprintf("side-%d", host), host)
}

func (f *fleet) startRole(program, template, name string, host int) (*process, error) {
	path, err := f.settings(template, name, host)
	if err != nil {
		return nil, err
	}
	return f.start(name, false, program, "--settings", path)
}

// startEndpoint starts a process of the endpoint on the host of a side.
func (f *fleet) startEndpoint(host int, id, zone, labels string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return f.start("endpoint "+id, true, self, "endpoint", "--id", id, "--address", f.address(host, portApp),
		"--control", f.address(host, portControl), "--service", serviceName, "--zone", zone, "--labels", labels)
}

// Names in the configuration.
const (
	serviceName = "huvo11a"
	hostName    = "nony24.example"
	prefix      = "/lohu930/"
)

// configure writes the configuration as the operator does, without the route of the
// jobs if it is dropped.
func (f *fleet) configure(dropped bool) {
	route := func(name, prefix string, priority, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": hostName, "prefix": prefix, "kind": "unsafe", "timeout_ms": 1500,
			"target_latency_ms": 60, "priority": priority, "service": serviceName, "max_attempts": attempts, "stretch": 1.6,
		}
	}
	routes := []any{route("r-73hh2b9", "/pule252/", 1, 3), route("r-d3zji9n", "/pufi791/", 2, 2)}
	if !dropped {
		routes = append(routes, route("r-wrr6x73", prefix, 0, 2))
	}
	text, _ := json.Marshal(map[string]any{
		"version": f.version,
		"routes":  routes,
		"services": []any{map[string]any{
			"name": serviceName, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false,
			"cold_start_s": 0.0, "cold_per_s": 0.0, "rejects_overload": false, "spare": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	f.store.put("op/config", text)
	f.rec.printf("operator: configuration %d acknowledged, %d routes", f.version, len(routes))
	f.version += 3
}

// ready reports whether the front answers its readiness probe with 200.
func (f *fleet) ready(host int) bool {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + f.address(host, portReady) + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all fronts are ready and a while longer, as traffic starts
// ten seconds after the machines.
func (f *fleet) awaitReady(hosts ...int) bool {
	deadline := time.Now().Add(15 * time.Second)
	for _, h := range hosts {
		for !f.ready(h) {
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	return true
}

// journal returns the endpoints' events so far.
func (f *fleet) journal() []event {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]event(nil), f.events...)
}

// run is one run of a task as an endpoint has recorded it.
type run struct {
	Endpoint, Task, Labels string
	Attempt                uint64
	Start, End             time.Time
	How                    string
}

// runs returns all runs. One without an end lasts until its endpoint's next process
// starts, or until now.
func (f *fleet) runs() []run {
	type key struct {
		endpoint string
		run      runKey
	}
	var all []*run
	open := map[key]*run{}
	for _, e := range f.journal() {
		at, k := time.Unix(0, e.UnixNano), key{e.Endpoint, runKey{e.Task, e.Attempt}}
		switch e.Kind {
		case "start":
			r := &run{Endpoint: e.Endpoint, Task: e.Task, Labels: e.Labels, Attempt: e.Attempt, Start: at}
			open[k] = r
			all = append(all, r)
		case "end":
			if r := open[k]; r != nil {
				r.End, r.How = at, e.Detail
				delete(open, k)
			}
		case "up", "killed":
			for k, r := range open {
				if k.endpoint == e.Endpoint {
					r.End, r.How = at, "crashed"
					delete(open, k)
				}
			}
		}
	}
	var out []run
	for _, r := range all {
		if r.End.IsZero() {
			r.End, r.How = time.Now(), "running"
		}
		out = append(out, *r)
	}
	return out
}
