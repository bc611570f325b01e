//go:build review3

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatMS = 1500
	maxHold     = time.Second
	// capacity of an endpoint.
	endpointCPU = 16000
	endpointMem = 32768
)

// endpointStandin is one endpoint, as the platform's pages describe it.
type endpointStandin struct {
	world  *world
	side   *machine
	id     string
	born   time.Time
	client *http.Client

	mu       sync.Mutex
	token    int64
	leaseEnd time.Time
	runs     map[runID]*run
	highest  map[string]int64
	ended    []ended
	count    int64
	changed  chan struct{}
	sequence int64
}

type runID struct {
	task    string
	attempt int64
}

type run struct {
	startedAt time.Time
	work      time.Duration
	timer     *time.Timer
}

type ended struct {
	number int64
	id     runID
	how    string
}

func newEndpointStandin(w *world, side *machine, number int) *endpointStandin {
	return &endpointStandin{
		world: w, side: side, id: fmt.Sprintf("i-%d%04x", number, time.Now().UnixMilli()&0xffff), born: time.Now(),
		client: &http.Client{Timeout: time.Second}, runs: map[runID]*run{}, highest: map[string]int64{}, changed: make(chan struct{}),
	}
}

func (e *endpointStandin) start() {
	e.world.serve(e.side.address(portApp), e)
	go func() {
		for {
			e.beat("ready")
			select {
			case <-e.world.quit:
				return
			case <-time.After(heartbeatMS * time.Millisecond):
			}
		}
	}()
}

// beat sends a heartbeat.
func (e *endpointStandin) beat(state string) {
	e.mu.Lock()
	e.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": service, "address": e.side.address(portApp), "zone": e.side.zone, "version": "v1", "slots": 8, "state": state,
		"cold_remaining_ms": 0, "capacity": map[string]any{"cpu": endpointCPU, "mem_mb": endpointMem, "gpu": 0},
		"labels": []string{"a", "r1-1"}, "clock_ms": e.clockMS(), "sequence": e.sequence, "born": e.born.UnixMilli(),
	})
	e.mu.Unlock()
	req, _ := http.NewRequest(http.MethodPut, "http://"+e.side.address(portControl)+"/instances/"+e.id, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	if resp, err := e.client.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

func (e *endpointStandin) clockMS() int64 { return time.Since(e.born).Milliseconds() }

type call struct {
	Task     string `json:"task"`
	Attempt  int64  `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
}

// ServeHTTP serves the calls of the machine's own process.
func (e *endpointStandin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var c call
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	reason := ""
	switch r.URL.Path {
	case "/run-start":
		reason = e.startRun(&c)
	case "/run-stop":
		reason = e.stopRun(&c)
	case "/hold":
		reason = e.hold(r, &c)
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.answer(w, reason, r.URL.Path == "/hold")
}

func (e *endpointStandin) answer(w http.ResponseWriter, reason string, list bool) {
	e.mu.Lock()
	body := map[string]any{"clock_ms": e.clockMS(), "born": e.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	if list && reason == "" {
		running, over := [][]any{}, [][]any{}
		for id, r := range e.runs {
			running = append(running, []any{id.task, id.attempt, "", int(99 * min(1, time.Since(r.startedAt).Seconds()/r.work.Seconds())), 100})
		}
		for _, x := range e.ended {
			over = append(over, []any{x.number, x.id.task, x.id.attempt, x.how, ""})
		}
		body["running"], body["ended"] = running, over[:min(len(over), 500)]
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if reason != "" {
		w.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(w).Encode(body)
}

// fenced reports whether a call has a lower token than an earlier one.
func (e *endpointStandin) fenced(token int64) bool {
	if token < e.token {
		return true
	}
	e.token = token
	return false
}

// extend extends the lease of all runs.
func (e *endpointStandin) extend(deadlineMS int64) {
	end := e.born.Add(time.Duration(deadlineMS) * time.Millisecond)
	if latest := time.Now().Add(maxHold); end.After(latest) {
		end = latest
	}
	if !end.After(e.leaseEnd) {
		return
	}
	e.leaseEnd = end
	time.AfterFunc(time.Until(end), e.expire)
}

func (e *endpointStandin) expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.leaseEnd) {
		return
	}
	for id := range e.runs {
		e.end(id, "lapsed")
	}
}

func (e *endpointStandin) startRun(c *call) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := runID{c.Task, c.Attempt}
	if e.fenced(c.Token) {
		return "fence"
	}
	if _, found := e.runs[id]; found {
		return ""
	}
	if c.Deadline <= e.clockMS() {
		return "late"
	}
	e.extend(c.Deadline)
	if c.Attempt <= e.highest[c.Task] {
		return "old"
	}
	work := workOf(c.Spec, c.Task)
	e.runs[id] = &run{startedAt: time.Now(), work: work, timer: time.AfterFunc(work, func() { e.finish(id) })}
	e.world.onStart(e, id, c.Spec)
	return ""
}

func (e *endpointStandin) stopRun(c *call) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced(c.Token) {
		return "fence"
	}
	id := runID{c.Task, c.Attempt}
	e.highest[c.Task] = max(e.highest[c.Task], c.Attempt)
	if _, found := e.runs[id]; found {
		e.end(id, "stopped")
	}
	return ""
}

func (e *endpointStandin) hold(r *http.Request, c *call) string {
	e.mu.Lock()
	if e.fenced(c.Token) {
		e.mu.Unlock()
		return "fence"
	}
	if c.Deadline > 0 {
		e.extend(c.Deadline)
	}
	for len(e.ended) > 0 && e.ended[0].number <= c.LastSeen {
		e.ended = e.ended[1:]
	}
	changed, wait := e.changed, len(e.ended) == 0 && c.WaitMS > 0
	e.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Duration(min(c.WaitMS, 2000)) * time.Millisecond):
		}
	}
	return ""
}

func (e *endpointStandin) finish(id runID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, found := e.runs[id]; found {
		e.end(id, "done")
	}
}

// end ends a run. The lock is held.
func (e *endpointStandin) end(id runID, how string) {
	e.runs[id].timer.Stop()
	delete(e.runs, id)
	e.highest[id.task] = max(e.highest[id.task], id.attempt)
	e.count++
	e.ended = append(e.ended, ended{e.count, id, how})
	close(e.changed)
	e.changed = make(chan struct{})
	e.world.onEnd(e, id, how)
}

// workOf returns how long a task works: the spec holds the milliseconds of each step.
func workOf(spec, task string) time.Duration {
	parts := strings.Split(task, ".")
	steps := strings.Split(spec, ",")
	if len(parts) != 4 {
		return time.Second
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil || step >= len(steps) {
		return time.Second
	}
	ms, err := strconv.Atoi(steps[step])
	if err != nil {
		return time.Second
	}
	return time.Duration(ms) * time.Millisecond
}
