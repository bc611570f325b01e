//go:build review3

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// sentJob is what clients know of a job.
type sentJob struct {
	id   string
	spec string
	body string
	// cancelAckedAt is when a cancel was acknowledged, zero before.
	cancelAckedAt time.Time
	// running counts the runs that go on, by task.
	running map[string]int
}

// newJob returns a job of steps that follow each other, each of one task.
func (w *world) newJob(stepMS ...int) *sentJob {
	var steps, works []string
	for i, ms := range stepMS {
		after := ""
		if i > 0 {
			after = fmt.Sprintf(`,"after":[%d]`, i-1)
		}
		steps = append(steps, fmt.Sprintf(`{"count":1,"cpu":1000,"mem_mb":64,"estimated_ms":%d%s}`, ms, after))
		works = append(works, fmt.Sprint(ms))
	}
	j := &sentJob{id: fmt.Sprintf("%016x", rand.Uint64()), spec: strings.Join(works, ","), running: map[string]int{}}
	j.body = fmt.Sprintf(`{"spec":%q,"steps":[%s],"best_effort":true}`, j.spec, strings.Join(steps, ","))
	w.mu.Lock()
	w.jobs[j.id] = j
	w.mu.Unlock()
	return j
}

// call makes a client's call on a new channel and returns the status, 0 if there was no answer.
func (w *world) call(method string, front *machine, j *sentJob, budget time.Duration) int {
	body := ""
	if method == http.MethodPost {
		body = j.body
	}
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+front.address(portFront)+prefix+j.id, strings.NewReader(body))
	req.Host = hostName
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	w.note("client: %s %s at %s", method, j.id, front.name)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		w.note("client: %s %s at %s: no answer: %v", method, j.id, front.name, err)
		return 0
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	w.note("client: %s %s at %s: %d %s", method, j.id, front.name, resp.StatusCode, text)
	return resp.StatusCode
}

// onStart records a start at an endpoint.
func (w *world) onStart(e *endpointStandin, id runID, spec string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked("endpoint %s: task %s, run %d starts", e.side.name, id.task, id.attempt)
	job, _, _ := strings.Cut(id.task, ".")
	j := w.jobs[job]
	if j == nil || spec != j.spec {
		w.violateLocked("UNASKED: task %s was not sent", id.task)
		return
	}
	j.running[id.task]++
	if j.running[id.task] > 1 {
		w.violateLocked("TWICE: task %s runs twice at the same time", id.task)
	}
	if late := time.Since(j.cancelAckedAt); !j.cancelAckedAt.IsZero() && late > cancelBound && time.Now().After(w.inTouchFrom) {
		w.violateLocked("UNASKED: task %s starts %.3f s after the cancelling of its job was acknowledged", id.task, late.Seconds())
	}
}

// onEnd records the end of a run.
func (w *world) onEnd(e *endpointStandin, id runID, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked("endpoint %s: task %s, run %d ends: %s", e.side.name, id.task, id.attempt, how)
	job, _, _ := strings.Cut(id.task, ".")
	if j := w.jobs[job]; j != nil {
		j.running[id.task]--
	}
}

// cancelBound is cancel_ms: how long tasks of a cancelled job may still start.
const cancelBound = 3 * time.Second
