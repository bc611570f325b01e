// Package caller sends jobs like the platform's callers, and compares the
// answers with what the endpoints did.
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
	// Config is a configuration with the two routes that the callers use.
	Config = `{"version":1,"routes":[{"name":"steady","hostname":"` + host + `","prefix":"` + steadyPrefix + `","service":"` + Service + `",
		"stretch":1.6,"target_latency_ms":60,"max_attempts":3},{"name":"quick","hostname":"` + host + `","prefix":"` + quickPrefix + `","service":"` + Service + `",
		"stretch":1.6,"target_latency_ms":60,"max_attempts":3}],"services":[{"name":"` + Service + `"}]}`
	// Service is the service that the callers' tasks run on.
	Service      = "svc"
	host         = "app.example"
	steadyPrefix = "/p/"
	quickPrefix  = "/q/"
	// TaskCPU is the CPU that each task needs, in thousandths of a core.
	TaskCPU = 1000
	// JobInterval is the time between two jobs of a normal load.
	JobInterval = 45 * time.Millisecond
	// QuickInterval is the time between two jobs if most are short.
	QuickInterval = 8 * time.Millisecond
	// resendDelay is how long a caller waits after a lost answer before it
	// sends its job again.
	resendDelay = 1300 * time.Millisecond
	// answerTimeout bounds the wait for an answer.
	answerTimeout = 4 * time.Second
	maxSends      = 3
)

// ConfigOfVersion returns Config with another version.
func ConfigOfVersion(version int) []byte {
	return []byte(strings.Replace(Config, `"version":1`, fmt.Sprintf(`"version":%d`, version), 1))
}

// Shape is a kind of job.
type Shape struct {
	Tasks        int
	TaskDuration time.Duration
}

// Quick reports whether the job with the number is a quick one. These are sent
// to a route of their own.
func Quick(number uint64) bool { return ShapeOf(number).TaskDuration < quickDuration }

// quickDuration is the duration below which a task is a quick one.
const quickDuration = 100 * time.Millisecond

// shapes are the kinds of jobs that callers send. The longest task runs longer
// than resendDelay, so that a run that the system has lost track of overlaps
// the run of the resent job.
var shapes = []Shape{{4, 40 * time.Millisecond}, {2, 150 * time.Millisecond}, {2, 500 * time.Millisecond}, {1, 2500 * time.Millisecond}}

// ShapeOf returns the shape of the job with the number.
func ShapeOf(number uint64) Shape { return shapes[number%uint64(len(shapes))] }

// JobID returns the id of the job with the number.
func JobID(number uint64) string { return fmt.Sprintf("%016x", number) }

// RunDuration returns how long a run takes, which follows from its job's
// number.
func RunDuration(run workload.RunID) time.Duration {
	task, _ := workload.ParseTaskID(run.Task)
	number, err := strconv.ParseUint(task.Job, 16, 64)
	if err != nil {
		return time.Second
	}
	return ShapeOf(number).TaskDuration
}

// crashingJobInterval is the number of jobs of which one crashes the endpoints
// that start its first task. Its factor of len(shapes) makes these quick jobs.
const crashingJobInterval = 24

// CrashesEndpoint reports whether a run crashes its endpoint, which follows from
// its task. Jobs that are sent after the main load have no such task.
func CrashesEndpoint(run workload.RunID) bool {
	task, _ := workload.ParseTaskID(run.Task)
	number, err := strconv.ParseUint(task.Job, 16, 64)
	return err == nil && number < loadNumberOffset && task.Index == 0 && Crashing(number)
}

// Crashing reports whether the job with the number has a task that crashes its
// endpoints.
func Crashing(number uint64) bool { return number%crashingJobInterval == 0 }

// JobResult holds the answers to one job: the status of each send, zero if
// there was no answer, and the last body.
type JobResult struct {
	Number   uint64
	Statuses []int
	Body     string
}

func (r *JobResult) lastStatus() int { return r.Statuses[len(r.Statuses)-1] }

// Completed reports whether the caller was told that all tasks are done.
func (r *JobResult) Completed() bool {
	return r.lastStatus() == http.StatusOK && strings.Contains(r.Body, "completed")
}

// Failed reports whether the caller was told that the job can't be done.
func (r *JobResult) Failed() bool {
	return r.lastStatus() == http.StatusOK && strings.Contains(r.Body, "failed")
}

// Refused reports whether every send was answered with a refusal, which means
// that the job did not run.
func (r *JobResult) Refused() bool {
	for _, s := range r.Statuses {
		if s != http.StatusServiceUnavailable && s != http.StatusTooManyRequests {
			return false
		}
	}
	return true
}

// Callers sends jobs to dispatchers.
type Callers struct {
	HTTP *http.Client
	// Dispatchers are the addresses that accept jobs.
	Dispatchers []string
	// JobInterval is the time between two jobs.
	JobInterval time.Duration
	// ManyQuick makes most jobs short ones: the same capacity serves several times as many.
	ManyQuick bool
}

const (
	// longDuration is the duration from which ManyQuick leaves tasks out, but for the jobs
	// of one in longJobInterval rounds of the shapes.
	longDuration    = 500 * time.Millisecond
	longJobInterval = 8
)

// leavesOut reports whether the job with the number isn't sent.
func (c *Callers) leavesOut(number uint64) bool {
	round := number / uint64(len(shapes))
	return c.ManyQuick && ShapeOf(number).TaskDuration >= longDuration && round%longJobInterval != 0
}

// SendJobs sends jobs, numbered from first, until ctx ends, and returns the
// answers.
func (c *Callers) SendJobs(ctx context.Context, first uint64) []*JobResult {
	var mu sync.Mutex
	var results []*JobResult
	var wg sync.WaitGroup
	for number := first; ctx.Err() == nil; number++ {
		if c.leavesOut(number) {
			continue
		}
		wg.Go(func() {
			r := c.sendJob(number)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, r)
		})
		time.Sleep(c.JobInterval)
	}
	wg.Wait()
	return results
}

// sendJob sends one job, and resends it through any dispatcher if the answer is
// lost.
func (c *Callers) sendJob(number uint64) *JobResult {
	r := &JobResult{Number: number}
	for range maxSends {
		status, body := c.Post(c.Dispatchers[rand.IntN(len(c.Dispatchers))], number)
		r.Statuses, r.Body = append(r.Statuses, status), body
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			break
		}
		time.Sleep(resendDelay)
	}
	return r
}

// Post sends one job to a dispatcher.
func (c *Callers) Post(dispatcher string, number uint64) (status int, body string) {
	shape := ShapeOf(number)
	text := fmt.Sprintf(`{"best_effort":true,"spec":"s","steps":[{"count":%d,"cpu":%d,"mem_mb":1,"estimated_ms":%d}]}`,
		shape.Tasks, TaskCPU, shape.TaskDuration.Milliseconds())
	prefix := steadyPrefix
	if Quick(number) {
		prefix = quickPrefix
	}
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
