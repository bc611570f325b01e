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

	"github.com/pomelosill/pomelosill/internal/workload"
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
	// JobInterval is the time between two jobs of an ordinary load.
	JobInterval = 45 * time.Millisecond
	// resendDelay is how long after a lost answer a caller sends its job again.
	resendDelay = 1300 * time.Millisecond
	// answerTimeout is how long a caller waits for an answer.
	answerTimeout = 4 * time.Second
	maxSends      = 3
)

// Shape is a kind of job.
type Shape struct {
	Tasks        int
	TaskDuration time.Duration
}

// The longest outlives the time after which a job is sent again: a run that
// was forgotten meets the next one.
var shapes = []Shape{{4, 40 * time.Millisecond}, {2, 150 * time.Millisecond}, {2, 500 * time.Millisecond}, {1, 2500 * time.Millisecond}}

// ShapeOf is the shape of the job with a number.
func ShapeOf(number uint64) Shape { return shapes[number%uint64(len(shapes))] }

// JobID is the id of the job with a number.
func JobID(number uint64) string { return fmt.Sprintf("%016x", number) }

// RunDuration is how long a run works, by its job's number.
func RunDuration(run workload.RunID) time.Duration {
	task, _ := workload.ParseTaskID(run.Task)
	number, err := strconv.ParseUint(task.Job, 16, 64)
	if err != nil {
		return time.Second
	}
	return ShapeOf(number).TaskDuration
}

// JobResult is what a caller was told about one job: a status for each send, zero
// without an answer, and the last body.
type JobResult struct {
	Number   uint64
	Statuses []int
	Body     string
}

func (a *JobResult) lastStatus() int { return a.Statuses[len(a.Statuses)-1] }

// Completed tells whether the caller was told that every task is done.
func (a *JobResult) Completed() bool {
	return a.lastStatus() == http.StatusOK && strings.Contains(a.Body, "completed")
}

// Refused tells whether every send was refused as not run.
func (a *JobResult) Refused() bool {
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
	// JobInterval is the time between two jobs.
	JobInterval time.Duration
}

// SendJobs sends jobs until ctx ends and returns what callers were told. The first
// job has the number first.
func (c *Callers) SendJobs(ctx context.Context, first uint64) []*JobResult {
	var mu sync.Mutex
	var all []*JobResult
	var callers sync.WaitGroup
	for number := first; ctx.Err() == nil; number++ {
		callers.Go(func() {
			a := c.sendJob(number)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, a)
		})
		time.Sleep(c.JobInterval)
	}
	callers.Wait()
	return all
}

// sendJob sends one job, again through any dispatcher while its answer is lost.
func (c *Callers) sendJob(number uint64) *JobResult {
	a := &JobResult{Number: number}
	for range maxSends {
		status, body := c.Post(c.Dispatchers[rand.IntN(len(c.Dispatchers))], number)
		a.Statuses, a.Body = append(a.Statuses, status), body
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			break
		}
		time.Sleep(resendDelay)
	}
	return a
}

// Post sends one job to a dispatcher.
func (c *Callers) Post(dispatcher string, number uint64) (status int, body string) {
	s := ShapeOf(number)
	text := fmt.Sprintf(`{"best_effort":true,"spec":"s","steps":[{"count":%d,"cpu":%d,"mem_mb":1,"estimated_ms":%d}]}`,
		s.Tasks, TaskCPU, s.TaskDuration.Milliseconds())
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+dispatcher+prefix+JobID(number), strings.NewReader(text))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set(platform.HeaderDeadline, strconv.FormatInt(answerTimeout.Milliseconds(), 10))
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
