package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pomelosill/pomelosill/internal/work"
	"github.com/pomelosill/pomelosill/platform"
)

const (
	jobEvery = 30 * time.Millisecond
	// resendAfter is how long after a lost answer a caller sends its job again.
	resendAfter = 1300 * time.Millisecond
	// callerWait is how long a caller waits for an answer.
	callerWait = 2 * time.Second
	maxSends   = 3
)

// shape is a kind of job.
type shape struct {
	tasks int
	each  time.Duration
}

var shapes = []shape{{4, 40 * time.Millisecond}, {2, 150 * time.Millisecond}, {2, 500 * time.Millisecond}}

// shapeOf is the shape of the job with a number.
func shapeOf(number uint64) shape { return shapes[number%uint64(len(shapes))] }

func jobID(number uint64) string { return fmt.Sprintf("%016x", number) }

// duration is how long a run works, by its job's number.
func duration(run work.Run) time.Duration {
	task, _ := work.ParseTask(run.Task)
	number, err := strconv.ParseUint(task.Job, 16, 64)
	if err != nil {
		return time.Second
	}
	return shapeOf(number).each
}

// told is what a caller was told about one job.
type told struct {
	number   uint64
	statuses []int
	body     string
}

func (a *told) last() int { return a.statuses[len(a.statuses)-1] }

// refused tells whether every send was refused as not run.
func (a *told) refused() bool {
	for _, s := range a.statuses {
		if s != http.StatusServiceUnavailable && s != http.StatusTooManyRequests {
			return false
		}
	}
	return true
}

// load sends jobs until ctx ends and returns what callers were told.
func (w *world) load(ctx context.Context, first uint64) []*told {
	var mu sync.Mutex
	var all []*told
	var callers sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	for number := first; ctx.Err() == nil; number++ {
		callers.Go(func() {
			a := w.call(client, number)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, a)
		})
		time.Sleep(jobEvery)
	}
	callers.Wait()
	return all
}

// call sends one job, again through any dispatcher while its answer is lost.
func (w *world) call(client *http.Client, number uint64) *told {
	a := &told{number: number}
	for range maxSends {
		e := w.entries[rand.IntN(len(w.entries))]
		status, body := w.post(client, e, number)
		a.statuses, a.body = append(a.statuses, status), body
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			break
		}
		time.Sleep(resendAfter)
	}
	return a
}

func (w *world) post(client *http.Client, e *entry, number uint64) (status int, body string) {
	s := shapeOf(number)
	text := fmt.Sprintf(`{"best_effort":true,"spec":"s","steps":[{"count":%d,"cpu":%d,"mem_mb":1,"estimated_ms":%d}]}`,
		s.tasks, taskCPU, s.each.Milliseconds())
	ctx, cancel := context.WithTimeout(context.Background(), callerWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.listen+"/p/"+jobID(number), strings.NewReader(text))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = "app.example"
	req.Header.Set(platform.HeaderDeadline, strconv.FormatInt(callerWait.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(answer)
}
