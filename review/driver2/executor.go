//go:build review2

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxHold       = time.Second
	stopDuration  = 10 * time.Millisecond
	leaseCheck    = 2 * time.Millisecond
	heartbeatGap  = 1500 * time.Millisecond
	executorCPU   = 16000
	executorMemMB = 65536
)

// run is one run of a task at an executor.
type run struct {
	task    string
	attempt int64
	started time.Time
	length  time.Duration
	end     *time.Timer
}

// started is a start that an executor has carried out.
type started struct {
	executor, zone, task string
	at                   time.Time
}

// period is the time of one run.
type period struct {
	executor, task string
	attempt        int64
	from, to       time.Time
}

// lateBy is how late a stop that was left unanswered is carried out.
const lateBy = 3 * time.Second

// executor is a stand-in for an executor that doesn't guard its capacity. The spec of a
// job lists the run times of its steps' tasks in milliseconds, separated by commas.
type executor struct {
	id, service, zone, address, control string
	rec                                 *record
	born                                time.Time
	client                              *http.Client

	mu       sync.Mutex
	fence    int64
	leaseEnd time.Time
	runs     map[string]*run
	highest  map[string]int64
	ended    [][]any
	endCount int64
	changed  chan struct{}
	starts   []started
	sequence int64
	state    string
	// ends holds the runs that have ended.
	ends []period
	// slowShare is the share of the tasks that begin only after a while: after the next list
	// of runs that the runner asks for without a wait. That list is under way for listDelay,
	// so that a later one may overtake it.
	slowShare  float64
	listDelay  time.Duration
	slowStarts map[string]*slowStart
	// leavesStop reports whether a stop of the task gets no answer and is carried out late.
	leavesStop func(task string) bool
	// orders and left count the orders, and those that were left unanswered.
	orders, left int
	// drainAck is when a draining heartbeat was first acknowledged.
	drainAck time.Time
}

func newExecutor(id, service, zone, address, control string, rec *record) *executor {
	return &executor{
		id: id, service: service, zone: zone, address: address, control: control, rec: rec, born: time.Now(),
		client: &http.Client{Timeout: time.Second}, runs: map[string]*run{}, highest: map[string]int64{},
		changed: make(chan struct{}), state: "ready", slowStarts: map[string]*slowStart{},
	}
}

func (e *executor) clockMS() int64 { return time.Since(e.born).Milliseconds() }

type executorCall struct {
	Task     string `json:"task"`
	Attempt  int64  `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
}

// ServeHTTP serves the calls of the runner.
func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var c executorCall
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
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
		e.awaitBeginning(r.Context(), c)
		reason = e.order(r.Context(), c, e.start, false)
	case "/run-stop":
		reason = e.order(r.Context(), c, e.stop, true)
	case "/hold":
		reason = e.hold(r.Context(), c)
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.reply(w, reason, r.URL.Path == "/hold", c.WaitMS > 0)
}

// maxSlow bounds how long a slow executor takes to begin a task.
const maxSlow = 110 * time.Millisecond

// slowStart is a start that the executor is slow to carry out.
type slowStart struct {
	call  executorCall
	once  sync.Once
	begun chan struct{}
}

// awaitBeginning waits until a slow start has been carried out. Repetitions wait for the same.
func (e *executor) awaitBeginning(ctx context.Context, c executorCall) {
	key := runKey(c.Task, c.Attempt)
	e.mu.Lock()
	s := e.slowStarts[key]
	if s == nil && rand.Float64() < e.slowShare && e.runs[key] == nil {
		s = &slowStart{call: c, begun: make(chan struct{})}
		e.slowStarts[key] = s
		e.rec.add("executor %s (%s): is slow to begin %s run %d", e.id, e.zone, c.Task, c.Attempt)
		time.AfterFunc(maxSlow, func() { e.begin(s) })
	}
	e.mu.Unlock()
	if s == nil {
		return
	}
	select {
	case <-s.begun:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

// begin carries out a slow start.
func (e *executor) begin(s *slowStart) {
	s.once.Do(func() {
		reason := e.start(s.call)
		e.rec.add("executor %s (%s): slow start of %s run %d: %q", e.id, e.zone, s.call.Task, s.call.Attempt, reason)
		close(s.begun)
	})
}

// beginAll carries out the slow starts after a list has been made.
func (e *executor) beginAll() {
	e.mu.Lock()
	var all []*slowStart
	for _, s := range e.slowStarts {
		all = append(all, s)
	}
	e.mu.Unlock()
	for _, s := range all {
		e.begin(s)
	}
}

// order carries out an order, or leaves a stop unanswered and carries it out late.
func (e *executor) order(ctx context.Context, c executorCall, execute func(executorCall) string, stops bool) string {
	if !e.leaves(c.Task, stops) {
		return execute(c)
	}
	time.AfterFunc(lateBy, func() { _ = execute(c) })
	<-ctx.Done()
	panic(http.ErrAbortHandler)
}

// leaves counts an order and reports whether it is left unanswered.
func (e *executor) leaves(task string, stops bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	if !stops || e.leavesStop == nil || !e.leavesStop(task) {
		return false
	}
	e.left++
	e.rec.add("executor %s (%s): a stop of %s is left unanswered", e.id, e.zone, task)
	return true
}

// reply writes the response.
func (e *executor) reply(w http.ResponseWriter, reason string, lists, waits bool) {
	e.mu.Lock()
	out := map[string]any{"clock_ms": e.clockMS(), "born": e.born.UnixMilli()}
	if lists && reason == "" {
		running := [][]any{}
		for _, r := range e.runs {
			percent := int64(100 * time.Since(r.started) / r.length)
			running = append(running, []any{r.task, r.attempt, "", min(percent, 99)})
		}
		out["running"], out["ended"] = running, append([][]any{}, e.ended...)
	}
	delay := e.listDelay
	e.mu.Unlock()
	if lists && !waits && delay > 0 {
		e.beginAll()
		time.Sleep(delay)
	}
	status := http.StatusOK
	if reason != "" {
		out["reason"], status = reason, http.StatusConflict
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out)
}

// accepts records the fence number and reports whether it isn't lower than an earlier one.
func (e *executor) accepts(fence int64) bool {
	if fence < e.fence {
		return false
	}
	e.fence = fence
	return true
}

// extend extends the lease to a time on the executor's clock, at most maxHold ahead.
func (e *executor) extend(deadline int64) {
	end := e.born.Add(time.Duration(deadline) * time.Millisecond)
	if limit := time.Now().Add(maxHold); end.After(limit) {
		end = limit
	}
	if end.After(e.leaseEnd) {
		e.leaseEnd = end
	}
}

// runKey names one run.
func runKey(task string, attempt int64) string { return task + "#" + strconv.FormatInt(attempt, 10) }

// length returns the run time of a task.
func length(task, spec string) time.Duration {
	parts, lengths := strings.Split(task, "."), strings.Split(spec, ",")
	if len(parts) != 4 {
		return time.Millisecond
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil || step >= len(lengths) {
		return time.Millisecond
	}
	ms, err := strconv.Atoi(lengths[step])
	if err != nil {
		return time.Millisecond
	}
	return time.Duration(ms) * time.Millisecond
}

func (e *executor) start(c executorCall) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.accepts(c.Fence) {
		return "fence"
	}
	key := runKey(c.Task, c.Attempt)
	if e.runs[key] != nil {
		e.extend(c.Deadline)
		return ""
	}
	if c.Deadline <= e.clockMS() {
		return "late"
	}
	e.extend(c.Deadline)
	if c.Attempt <= e.highest[c.Task] {
		return "old"
	}
	e.highest[c.Task] = c.Attempt
	r := &run{task: c.Task, attempt: c.Attempt, started: time.Now(), length: length(c.Task, c.Spec)}
	r.end = time.AfterFunc(r.length, func() { e.endRun(r, "done") })
	e.runs[key] = r
	e.starts = append(e.starts, started{e.id, e.zone, c.Task, r.started})
	e.rec.add("executor %s (%s): starts %s run %d", e.id, e.zone, c.Task, c.Attempt)
	return ""
}

// endRun ends a run if it is still there.
func (e *executor) endRun(r *run, how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endLocked(r, how)
}

func (e *executor) endLocked(r *run, how string) {
	key := runKey(r.task, r.attempt)
	if e.runs[key] != r {
		return
	}
	r.end.Stop()
	delete(e.runs, key)
	e.ends = append(e.ends, period{e.id, r.task, r.attempt, r.started, time.Now()})
	e.endCount++
	e.ended = append(e.ended, []any{e.endCount, r.task, r.attempt, how, ""})
	e.rec.add("executor %s (%s): %s run %d ended: %s", e.id, e.zone, r.task, r.attempt, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *executor) stop(c executorCall) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.accepts(c.Fence) {
		return "fence"
	}
	e.highest[c.Task] = max(e.highest[c.Task], c.Attempt)
	if r := e.runs[runKey(c.Task, c.Attempt)]; r != nil {
		time.AfterFunc(stopDuration, func() { e.endRun(r, "stopped") })
	}
	return ""
}

func (e *executor) hold(ctx context.Context, c executorCall) string {
	e.mu.Lock()
	if !e.accepts(c.Fence) {
		e.mu.Unlock()
		return "fence"
	}
	e.extend(c.Deadline)
	for len(e.ended) > 0 && e.ended[0][0].(int64) <= c.LastSeen {
		e.ended = e.ended[1:]
	}
	waits, changed := len(e.ended) == 0 && c.WaitMS > 0, e.changed
	e.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-ctx.Done():
		case <-time.After(time.Duration(c.WaitMS) * time.Millisecond):
		}
	}
	return ""
}

// checkLease kills everything when the lease has expired, until ctx ends.
func (e *executor) checkLease(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(leaseCheck)
		e.mu.Lock()
		if time.Now().After(e.leaseEnd) {
			for _, r := range e.runs {
				e.endLocked(r, "lapsed")
			}
		}
		e.mu.Unlock()
	}
}

// heartbeat returns the body of the next heartbeat.
func (e *executor) heartbeat() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": e.state,
		"cold_remaining_ms": 0, "capacity": map[string]any{"cpu": executorCPU, "mem_mb": executorMemMB, "gpu": 0},
		"labels": []string{"a", "r1-" + e.zone}, "clock_ms": e.clockMS(), "born": e.born.UnixMilli(), "sequence": e.sequence,
	}
}

// send sends the body of a heartbeat under the executor's id, and returns the status.
func (e *executor) send(ctx context.Context, body map[string]any) int {
	data, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+e.control+"/instances/"+e.id, bytes.NewReader(data))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.client.Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// beat sends one heartbeat.
func (e *executor) beat(ctx context.Context) {
	body := e.heartbeat()
	status := e.send(ctx, body)
	if body["state"] != "draining" {
		return
	}
	e.rec.add("executor %s: heartbeat %v says draining, answered %d", e.id, body["sequence"], status)
	e.mu.Lock()
	defer e.mu.Unlock()
	if status/100 == 2 && e.drainAck.IsZero() {
		e.drainAck = time.Now()
	}
}

// beats sends heartbeats until ctx ends.
func (e *executor) beats(ctx context.Context) {
	for ctx.Err() == nil {
		e.beat(ctx)
		select {
		case <-time.After(heartbeatGap):
		case <-ctx.Done():
		}
	}
}

// drain announces that the executor leaves, and returns when that was acknowledged.
func (e *executor) drain(ctx context.Context) (time.Time, bool) {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	e.beat(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.drainAck, !e.drainAck.IsZero()
}

// startsSince returns the starts that the executor has carried out after a time.
func (e *executor) startsSince(t time.Time) []started {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []started
	for _, s := range e.starts {
		if s.at.After(t) {
			all = append(all, s)
		}
	}
	return all
}
