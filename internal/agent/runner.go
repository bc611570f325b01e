package agent

import (
	"context"
	"sync"
	"time"

	"github.com/pomelosill/pomelosill/internal/gate"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
)

// taskRunner runs admitted tasks, each in a goroutine of its own.
type taskRunner struct {
	endpoint *endpointClient
	delivery *delivery
	metrics  *metrics
	now      func() time.Duration
	// recheck repeats the gate's checks of a start.
	recheck func(gate.Start) result.Code
	// ctx ends all tasks.
	ctx       context.Context
	cancelAll context.CancelFunc
	wg        sync.WaitGroup

	mu      sync.Mutex
	running map[gate.Task]runningTask
}

// runningTask is a task on the endpoint.
type runningTask struct {
	team      string
	startedAt time.Duration
	cancel    context.CancelFunc
}

func newTaskRunner(a *Agent) *taskRunner {
	ctx, end := context.WithCancel(context.Background())
	return &taskRunner{
		endpoint:  a.endpoint,
		delivery:  a.delivery,
		metrics:   a.metrics,
		now:       a.now,
		recheck:   func(s gate.Start) result.Code { return a.gate.Recheck(a.now(), s) },
		ctx:       ctx,
		cancelAll: end,
		running:   map[gate.Task]runningTask{},
	}
}

// run starts an admitted task.
func (r *taskRunner) run(ask gate.Start, s *pb.Start) {
	ctx, cancel := context.WithTimeout(r.ctx, ask.Timeout)
	r.add(ask.Task, runningTask{team: s.GetTeam(), startedAt: r.now(), cancel: cancel})
	r.wg.Go(func() {
		defer cancel()
		end := r.endpoint.run(ctx, taskRequest{
			submission: ask.Task.Submission,
			index:      ask.Task.Index,
			team:       s.GetTeam(),
			idempotent: s.GetIdempotent(),
			payload:    s.GetPayload(),
			recheck:    func() result.Code { return r.recheck(ask) },
		})
		r.remove(ask.Task)
		r.metrics.countEnd(r.ctx, end)
		r.delivery.recordEnd(r.now(), gate.Record{
			Task:   ask.Task,
			Code:   end.code,
			Body:   end.body,
			Detail: end.detail,
			Run:    end.runTime,
		}, end.unsent)
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

// cancel ends the request of a running task.
func (r *taskRunner) cancel(t gate.Task) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if task, ok := r.running[t]; ok {
		task.cancel()
	}
}

// stop ends all tasks and waits for them.
func (r *taskRunner) stop() {
	r.cancelAll()
	r.wg.Wait()
}
