//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// maxHold is the longest lease that an endpoint grants, stopTime how long a stop
// takes, and beatInterval the time between two heartbeats.
const (
	maxHold      = time.Second
	stopTime     = 5 * time.Millisecond
	beatInterval = 1500 * time.Millisecond
)

// event is one line of an endpoint's journal.
type event struct {
	// UnixNano is when it happened.
	UnixNano int64  `json:"t"`
	Endpoint string `json:"endpoint"`
	// Kind is "up", "beat", "start", "refuse", "stop" or "end".
	Kind    string `json:"kind"`
	Task    string `json:"task,omitempty"`
	Attempt uint64 `json:"attempt,omitempty"`
	// Detail is the reason of a refusal, the outcome of a run, or the state in a
	// heartbeat.
	Detail string `json:"detail,omitempty"`
	Spec   string `json:"spec,omitempty"`
	Labels string `json:"labels,omitempty"`
}

type runKey struct {
	task    string
	attempt uint64
}

type activeRun struct {
	started time.Time
	length  time.Duration
	timer   *time.Timer
}

type endedRun struct {
	n   int64
	run runKey
	how string
}

// endpoint is one process of an endpoint.
type endpoint struct {
	id, address, control, service, zone string
	labels                              []string
	cpu, memory                         int64
	born                                time.Time

	mu       sync.Mutex
	fence    int64
	lease    time.Time
	running  map[runKey]*activeRun
	highest  map[string]uint64
	ended    []endedRun
	endCount int64
	changed  chan struct{}
	state    string
	sequence int64
	journal  *json.Encoder
}

func runEndpoint(args []string) {
	f := flag.NewFlagSet("endpoint", flag.ExitOnError)
	e := &endpoint{running: map[runKey]*activeRun{}, highest: map[string]uint64{}, changed: make(chan struct{}), state: "ready", journal: json.NewEncoder(os.Stdout)}
	f.StringVar(&e.id, "id", "", "id")
	f.StringVar(&e.address, "address", "", "address for calls")
	f.StringVar(&e.control, "control", "", "address for heartbeats")
	f.StringVar(&e.service, "service", "", "service")
	f.StringVar(&e.zone, "zone", "", "zone")
	labels := f.String("labels", "a,r1-1", "labels")
	f.Int64Var(&e.cpu, "cpu", 32000, "thousandths of a core")
	f.Int64Var(&e.memory, "memory", 65536, "megabytes")
	_ = f.Parse(args)
	e.labels = strings.Split(*labels, ",")
	var l net.Listener
	for range 500 {
		// After a kill, the port is free a moment later.
		var err error
		if l, err = net.Listen("tcp", e.address); err == nil {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	if l == nil {
		fmt.Fprintln(os.Stderr, "cannot listen on "+e.address)
		os.Exit(exitCannotRun)
	}
	e.born = time.Now()
	e.note(event{Kind: "up", Labels: *labels})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", e.handle(e.start))
	mux.HandleFunc("POST /run-stop", e.handle(e.stop))
	mux.HandleFunc("POST /hold", e.handle(e.hold))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	go func() { _ = http.Serve(l, mux) }()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer cancel()
	e.beat(ctx)
}

// note writes a line to the journal. The caller holds e.mu, except at the start.
func (e *endpoint) note(v event) {
	v.UnixNano, v.Endpoint = time.Now().UnixNano(), e.id
	_ = e.journal.Encode(v)
}

func (e *endpoint) clock() int64 { return time.Since(e.born).Milliseconds() }

// beat sends heartbeats until ctx ends.
func (e *endpoint) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		e.mu.Lock()
		e.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": e.state,
			"cold_remaining_ms": 0, "capacity": map[string]any{"cpu": e.cpu, "mem_mb": e.memory, "gpu": 0},
			"labels": e.labels, "clock_ms": e.clock(), "sequence": e.sequence, "born": e.born.UnixMilli(),
		})
		e.mu.Unlock()
		req, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+e.control+"/instances/"+e.id, bytes.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		pause := beatInterval
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close()
		} else {
			// The runner has not started yet.
			pause = 100 * time.Millisecond
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

type callBody struct {
	Task     string `json:"task"`
	Attempt  uint64 `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

func (e *endpoint) handle(call func(*http.Request, *callBody) (string, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if target := r.Header.Get("X-Target-Instance"); target != "" && target != e.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			_, _ = w.Write([]byte("{}"))
			return
		}
		var b callBody
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			_, _ = w.Write([]byte("{}"))
			return
		}
		reason, out := call(r, &b)
		if out == nil {
			out = map[string]any{}
		}
		out["clock_ms"], out["born"] = e.clock(), e.born.UnixMilli()
		if reason != "" {
			out["reason"] = reason
			w.WriteHeader(http.StatusConflict)
		}
		_ = json.NewEncoder(w).Encode(out)
	}
}

// accept applies the fencing token and the lease of a call.
func (e *endpoint) accept(b *callBody) bool {
	if b.Fence < e.fence {
		return false
	}
	e.fence = b.Fence
	if b.Deadline > 0 {
		end := e.born.Add(time.Duration(b.Deadline) * time.Millisecond)
		if limit := time.Now().Add(maxHold); end.After(limit) {
			end = limit
		}
		if end.After(e.lease) {
			e.lease = end
			time.AfterFunc(time.Until(end), e.expire)
		}
	}
	return true
}

func (e *endpoint) expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.lease) {
		return
	}
	for run := range e.running {
		e.end(run, "lapsed")
	}
}

func (e *endpoint) end(run runKey, how string) {
	a := e.running[run]
	if a == nil {
		return
	}
	a.timer.Stop()
	delete(e.running, run)
	e.highest[run.task] = max(e.highest[run.task], run.attempt)
	e.endCount++
	e.ended = append(e.ended, endedRun{e.endCount, run, how})
	e.note(event{Kind: "end", Task: run.task, Attempt: run.attempt, Detail: how})
	close(e.changed)
	e.changed = make(chan struct{})
}

// lengthOf returns how long a task runs: its spec holds the milliseconds of each step.
func lengthOf(task, spec string) time.Duration {
	var s struct {
		MS []int `json:"ms"`
	}
	_ = json.Unmarshal([]byte(spec), &s)
	parts := strings.Split(task, ".")
	step := 0
	if len(parts) == 4 {
		step, _ = strconv.Atoi(parts[2])
	}
	if step < len(s.MS) {
		return time.Duration(s.MS[step]) * time.Millisecond
	}
	return 200 * time.Millisecond
}

func (e *endpoint) start(_ *http.Request, b *callBody) (string, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	run := runKey{b.Task, b.Attempt}
	refuse := func(reason string) (string, map[string]any) {
		e.note(event{Kind: "refuse", Task: b.Task, Attempt: b.Attempt, Detail: reason})
		return reason, nil
	}
	if !e.accept(b) {
		return refuse("fence")
	}
	if e.running[run] != nil {
		return "", nil
	}
	if b.Attempt <= e.highest[b.Task] {
		return refuse("old")
	}
	if b.Deadline <= e.clock() {
		return refuse("late")
	}
	a := &activeRun{started: time.Now(), length: lengthOf(b.Task, b.Spec)}
	a.timer = time.AfterFunc(a.length, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.end(run, "done")
	})
	e.running[run] = a
	e.note(event{Kind: "start", Task: b.Task, Attempt: b.Attempt, Spec: b.Spec, Labels: strings.Join(e.labels, ",")})
	return "", nil
}

func (e *endpoint) stop(_ *http.Request, b *callBody) (string, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.accept(b) {
		return "fence", nil
	}
	run := runKey{b.Task, b.Attempt}
	e.highest[b.Task] = max(e.highest[b.Task], b.Attempt)
	if e.running[run] != nil {
		e.note(event{Kind: "stop", Task: b.Task, Attempt: b.Attempt})
		time.AfterFunc(stopTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.end(run, "stopped")
		})
	}
	return "", nil
}

func (e *endpoint) hold(r *http.Request, b *callBody) (string, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.accept(b) {
		return "fence", nil
	}
	for len(e.ended) > 0 && e.ended[0].n <= b.LastSeen {
		e.ended = e.ended[1:]
	}
	if len(e.ended) == 0 && b.Wait > 0 {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Duration(min(b.Wait, 2000)) * time.Millisecond):
		}
		e.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for run, a := range e.running {
		percent := int(100 * float64(time.Since(a.started)) / float64(a.length))
		running = append(running, []any{run.task, run.attempt, "", min(percent, 99), 0})
	}
	for _, v := range e.ended[:min(len(e.ended), 500)] {
		ended = append(ended, []any{v.n, v.run.task, v.run.attempt, v.how, ""})
	}
	return "", map[string]any{"running": running, "ended": ended}
}
