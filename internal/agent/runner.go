package agent

import (
	"context"
	"sync"
	"time"

	"github.com/pomelosill/pomelosill/internal/gate"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
)

// runner runs admitted tasks, each in a goroutine of its own.
type runner struct {
	endpoint *endpoint
	delivery *delivery
	metrics  *metrics
	now      func() time.Duration
	// permitted repeats the gate's checks of a start.
	permitted func(gate.Start) result.Code
	// ctx ends all tasks.
	ctx context.Context
	end context.CancelFunc
	wg  sync.WaitGroup

	mu      sync.Mutex
	running map[gate.Task]runningTask
}

// runningTask is a task on the endpoint.
type runningTask struct {
	team   string
	since  time.Duration
	cancel context.CancelFunc
}

func newRunner(a *Agent) *runner {
	ctx, end := context.WithCancel(context.Background())
	return &runner{
		endpoint:  a.endpoint,
		delivery:  a.delivery,
		metrics:   a.metrics,
		now:       a.now,
		permitted: func(s gate.Start) result.Code { return a.gate.Recheck(a.now(), s) },
		ctx:       ctx,
		end:       end,
		running:   map[gate.Task]runningTask{},
	}
}

// run starts an admitted task.
func (r *runner) run(ask gate.Start, s *pb.Start) {
	ctx, cancel := context.WithTimeout(r.ctx, ask.Timeout)
	r.add(ask.Task, runningTask{team: s.GetTeam(), since: r.now(), cancel: cancel})
	r.wg.Go(func() {
		defer cancel()
		end := r.endpoint.run(ctx, request{
			submission: ask.Task.Submission,
			index:      ask.Task.Index,
			team:       s.GetTeam(),
			idempotent: s.GetIdempotent(),
			payload:    s.GetPayload(),
			permitted:  func() result.Code { return r.permitted(ask) },
		})
		r.remove(ask.Task)
		r.metrics.countEnd(r.ctx, end)
		r.delivery.end(r.now(), gate.Record{
			Task:   ask.Task,
			Code:   end.code,
			Body:   end.body,
			Detail: end.detail,
			Run:    end.run,
		}, end.unsent)
	})
}

func (r *runner) add(t gate.Task, task runningTask) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[t] = task
}

func (r *runner) remove(t gate.Task) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, t)
}

// cancel ends the request of a running task.
func (r *runner) cancel(t gate.Task) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if task, ok := r.running[t]; ok {
		task.cancel()
	}
}

// stop ends all tasks and waits for them.
func (r *runner) stop() {
	r.end()
	r.wg.Wait()
}
