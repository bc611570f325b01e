// Package caller sends jobs as the platform's callers do, and compares what
// they were told with what endpoints did.
package caller

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
	// Config is the configuration whose one route serves the callers.
	Config = `{"version":1,"routes":[{"name":"r","hostname":"` + host + `","prefix":"` + prefix + `","service":"` + Service + `",
		"stretch":1.6,"target_latency_ms":60,"max_attempts":3}],"services":[{"name":"` + Service + `"}]}`
	// Service is what the callers' tasks run on.
	Service = "svc"
	host    = "app.example"
	prefix  = "/p/"
	// TaskCPU is what each task needs, in thousandths of a core.
	TaskCPU = 1000
	// JobEvery is the time between two jobs of an ordinary load.
	JobEvery = 45 * time.Millisecond
	// resendAfter is how long after a lost answer a caller sends its job again.
	resendAfter = 1300 * time.Millisecond
	// callerWait is how long a caller waits for an answer.
	callerWait = 4 * time.Second
	maxSends   = 3
)

// Shape is a kind of job.
type Shape struct {
	Tasks int
	Each  time.Duration
}

// The longest outlives the time after which a job is sent again: a run that
// was forgotten meets the next one.
var shapes = []Shape{{4, 40 * time.Millisecond}, {2, 150 * time.Millisecond}, {2, 500 * time.Millisecond}, {1, 2500 * time.Millisecond}}

// ShapeOf is the shape of the job with a number.
func ShapeOf(number uint64) Shape { return shapes[number%uint64(len(shapes))] }

// JobID is the id of the job with a number.
func JobID(number uint64) string { return fmt.Sprintf("%016x", number) }

// Duration is how long a run works, by its job's number.
func Duration(run work.Run) time.Duration {
	task, _ := work.ParseTask(run.Task)
	number, err := strconv.ParseUint(task.Job, 16, 64)
	if err != nil {
		return time.Second
	}
	return ShapeOf(number).Each
}

// Told is what a caller was told about one job: a status for each send, zero
// without an answer, and the last body.
type Told struct {
	Number   uint64
	Statuses []int
	Body     string
}

func (a *Told) last() int { return a.Statuses[len(a.Statuses)-1] }

// Completed tells whether the caller was told that every task is done.
func (a *Told) Completed() bool {
	return a.last() == http.StatusOK && strings.Contains(a.Body, "completed")
}

// Refused tells whether every send was refused as not run.
func (a *Told) Refused() bool {
	for _, s := range a.Statuses {
		if s != http.StatusServiceUnavailable && s != http.StatusTooManyRequests {
			return false
		}
	}
	return true
}

// Callers send jobs to dispatchers.
type Callers struct {
	HTTP *http.Client
	// Dispatchers are the addresses that take jobs.
	Dispatchers []string
	// Every is the time between two jobs.
	Every time.Duration
}

// Load sends jobs until ctx ends and returns what callers were told. The first
// job has the number first.
func (c *Callers) Load(ctx context.Context, first uint64) []*Told {
	var mu sync.Mutex
	var all []*Told
	var callers sync.WaitGroup
	for number := first; ctx.Err() == nil; number++ {
		callers.Go(func() {
			a := c.call(number)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, a)
		})
		time.Sleep(c.Every)
	}
	callers.Wait()
	return all
}

// call sends one job, again through any dispatcher while its answer is lost.
func (c *Callers) call(number uint64) *Told {
	a := &Told{Number: number}
	for range maxSends {
		status, body := c.Post(c.Dispatchers[rand.IntN(len(c.Dispatchers))], number)
		a.Statuses, a.Body = append(a.Statuses, status), body
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			break
		}
		time.Sleep(resendAfter)
	}
	return a
}

// Post sends one job to a dispatcher.
func (c *Callers) Post(dispatcher string, number uint64) (status int, body string) {
	s := ShapeOf(number)
	text := fmt.Sprintf(`{"best_effort":true,"spec":"s","steps":[{"count":%d,"cpu":%d,"mem_mb":1,"estimated_ms":%d}]}`,
		s.Tasks, TaskCPU, s.Each.Milliseconds())
	ctx, cancel := context.WithTimeout(context.Background(), callerWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+dispatcher+prefix+JobID(number), strings.NewReader(text))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set(platform.HeaderDeadline, strconv.FormatInt(callerWait.Milliseconds(), 10))
	resp, err := c.HTTP.Do(req)
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
