//go:build review3

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cannotRun ends a case that could not run.
type cannotRun string

// world is the installation of one case.
type world struct {
	trouble bool
	dir     string
	subnet  string
	started time.Time

	mu         sync.Mutex
	record     io.Writer
	violations []string
	jobs       map[string]*sentJob
	// inTouchFrom is when machines are in touch after an outage of the store.
	inTouchFrom time.Time

	store     *storeStandin
	endpoints []*endpointStandin
	fronts    []*machine
	sides     []*machine
	quit      chan struct{}
	closing   sync.Once
}

func newWorld(record io.Writer) (*world, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	w := &world{
		trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: record, started: time.Now(),
		subnet: fmt.Sprintf("127.%d.%d", 64+pid%128, pid/128%250), jobs: map[string]*sentJob{}, quit: make(chan struct{}),
	}
	w.note("disruption: %v", w.trouble)
	return w, nil
}

// since is the time since the case began, in seconds.
func (w *world) since() float64 { return time.Since(w.started).Seconds() }

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked(format, args...)
}

func (w *world) noteLocked(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f %s\n", w.since(), fmt.Sprintf(format, args...))
}

// violate records that the rule was broken.
func (w *world) violate(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violateLocked(format, args...)
}

func (w *world) violateLocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.violations = append(w.violations, text)
	w.noteLocked("BROKEN: %s", text)
}

// verdict returns the exit status.
func (w *world) verdict() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.violations) == 0 {
		w.noteLocked("the rule held")
		return 0
	}
	w.noteLocked("the rule was broken %d times", len(w.violations))
	return 1
}

func (w *world) fail(format string, args ...any) { panic(cannotRun(fmt.Sprintf(format, args...))) }

// close ends all processes and servers.
func (w *world) close() { w.closing.Do(w.closeAll) }

func (w *world) closeAll() {
	close(w.quit)
	for _, m := range append(append([]*machine{}, w.fronts...), w.sides...) {
		m.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
		return
	}
	fmt.Fprintln(os.Stderr, "logs in", w.dir)
}

// serve serves a handler on an address until the case ends.
func (w *world) serve(address string, h http.Handler) *http.Server {
	l, err := net.Listen("tcp", address)
	if err != nil {
		w.fail("%v", err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	go func() {
		<-w.quit
		_ = s.Close()
	}()
	return s
}

// Ports of the machines, as in the settings on the users' pages.
const (
	portFront    = 8161
	portReady    = 8167
	portControl  = 8166
	portApp      = 8165
	portInternal = 7720
	portPlatform = 8169
)

// machine is one machine with one process of the project.
type machine struct {
	world  *world
	name   string
	ip     string
	zone   string
	run    []string
	config string
	// store is the store's address as this machine sees it.
	store string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// addMachine prepares a machine of a role of the deploy file.
func (w *world) addMachine(role, name, zone string, number int, store string) *machine {
	m := &machine{world: w, name: name, ip: fmt.Sprintf("%s.%d", w.subnet, number), zone: zone, store: store}
	deploy := readDeploy(w, role)
	m.config = filepath.Join(w.dir, name+".jsonc")
	for _, word := range strings.Fields(deploy.run) {
		if word == "/etc/pomelosill/node.yaml" {
			word = m.config
		}
		m.run = append(m.run, word)
	}
	text, err := os.ReadFile(deploy.template)
	if err != nil {
		w.fail("%v", err)
	}
	if err := os.WriteFile(m.config, []byte(fill(string(text), m.settings(role))), 0o600); err != nil {
		w.fail("%v", err)
	}
	return m
}

// settings are the fields of the platform's settings file that the templates use.
func (m *machine) settings(role string) map[string]any {
	share := 0.4
	if role == "runner" {
		share = 0.24
	}
	return map[string]any{
		"node_name": m.name, "ip": m.ip, "zone": m.zone, "heartbeat_ms": heartbeatMS,
		"listen":              map[string]any{"front": m.address(portFront), "ready": m.address(portReady), "control": m.address(portControl)},
		"internal_port_range": []any{portInternal, portInternal + 15},
		"platform":            map[string]any{"address": m.store},
		"limits":              map[string]any{"cpu_share": share},
		"bounds":              map[string]any{"max_hold_ms": 1000, "grace_s": 6},
	}
}

// start starts the process.
func (m *machine) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(m.world.dir, m.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		m.world.fail("%v", err)
	}
	defer log.Close()
	cmd := exec.Command(m.run[0], m.run[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "POMELOSILL_NODE_FILE=" + m.config}
	// In a group of its own, a stopped process doesn't bring signals of the shell to the others.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		m.world.fail("%v", err)
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	m.cmd, m.done = cmd, done
	m.world.note("%s: started", m.name)
}

// kill ends the process and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	cmd, done := m.cmd, m.done
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
}

// awaitReady waits until all fronts report that they are ready.
func (w *world) awaitReady() {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(20 * time.Second)
	for _, m := range w.fronts {
		for !ready(client, m) {
			if time.Now().After(end) {
				w.fail("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.note("all fronts are ready")
}

func ready(client *http.Client, m *machine) bool {
	resp, err := client.Get("http://" + m.address(portReady) + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// build starts an installation of fronts and sides, and waits until it is ready.
func (w *world) build(fronts, sides int) {
	w.store = newStoreStandin(w)
	w.store.putConfig(1)
	for i := range sides {
		m := w.addMachine("runner", fmt.Sprintf("side-%d", i+1), zoneOf(i), 20+i, w.store.address)
		w.sides = append(w.sides, m)
		w.endpoints = append(w.endpoints, newEndpointStandin(w, m, i))
		m.start()
	}
	for i := range fronts {
		m := w.addMachine("dispatcher", fmt.Sprintf("front-%d", i+1), zoneOf(i), 10+i, w.store.address)
		w.fronts = append(w.fronts, m)
		m.start()
	}
	for _, e := range w.endpoints {
		e.start()
	}
	w.awaitReady()
	time.Sleep(2 * time.Second)
}

func zoneOf(i int) string { return fmt.Sprintf("zone-%c", 'a'+i%2) }
