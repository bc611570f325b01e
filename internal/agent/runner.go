package agent

import (
	"context"
	"sync"
	"time"

	"github.com/pomelosill/pomelosill/internal/gate"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
)

// taskRunner runs admitted tasks, each in its own goroutine.
type taskRunner struct {
	endpoint *endpointClient
	delivery *delivery
	metrics  *metrics
	now      func() time.Duration
	// recheck repeats the gate's checks of a start.
	recheck func(gate.Start) result.Code
	// ctx is the parent context of all tasks; cancelAll cancels it.
	ctx       context.Context
	cancelAll context.CancelFunc
	wg        sync.WaitGroup

	mu      sync.Mutex
	running map[gate.Task]runningTask
}

// runningTask is a task that is running on the endpoint.
type runningTask struct {
	team      string
	startedAt time.Duration
	cancel    context.CancelFunc
}

func newTaskRunner(a *Agent) *taskRunner {
	ctx, cancelAll := context.WithCancel(context.Background())
	return &taskRunner{
		endpoint:  a.endpoint,
		delivery:  a.delivery,
		metrics:   a.metrics,
		now:       a.now,
		recheck:   func(s gate.Start) result.Code { return a.gate.Recheck(a.now(), s) },
		ctx:       ctx,
		cancelAll: cancelAll,
		running:   map[gate.Task]runningTask{},
	}
}

// run starts an admitted task.
func (r *taskRunner) run(start gate.Start, msg *pb.Start) {
	ctx, cancel := context.WithTimeout(r.ctx, start.Timeout)
	r.add(start.Task, runningTask{team: msg.GetTeam(), startedAt: r.now(), cancel: cancel})
	r.wg.Go(func() {
		defer cancel()
		res := r.endpoint.run(ctx, taskRequest{
			submission: start.Task.Submission,
			index:      start.Task.Index,
			team:       msg.GetTeam(),
			idempotent: msg.GetIdempotent(),
			payload:    msg.GetPayload(),
			recheck:    func() result.Code { return r.recheck(start) },
		})
		r.remove(start.Task)
		r.metrics.countEnd(r.ctx, res)
		r.delivery.recordEnd(r.now(), gate.Record{
			Task:    start.Task,
			Code:    res.code,
			Body:    res.body,
			Detail:  res.detail,
			RunTime: res.runTime,
		}, res.unsent)
	})
}

func (r *taskRunner) add(t gate.Task, task runningTask) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[t] = task
}

func (r *taskRunner) remove(t gate.Task) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, t)
}

// cancel cancels the request of a running task.
func (r *taskRunner) cancel(t gate.Task) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if task, ok := r.running[t]; ok {
		task.cancel()
	}
}

// stop cancels all tasks and waits for them to end.
func (r *taskRunner) stop() {
	r.cancelAll()
	r.wg.Wait()
}
