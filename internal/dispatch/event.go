package dispatch

import (
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/runref"
	"github.com/pomelosill/pomelosill/platform"
)

// handleRunEvent applies a runner's report about a run. It is called with the
// lock held.
func (d *Dispatcher) handleRunEvent(r *runner, e *pb.RunEvent) {
	run := runref.Decode(e.GetRun())
	t, found := r.runs[run]
	if !found {
		delete(r.stopping, run)
		return
	}
	code := result.Code(e.GetCode())
	if e.GetEnd() == pb.RunEnd_RUN_END_STALLED {
		d.onRunStalled(r, t)
		return
	}
	if e.GetEnd() == pb.RunEnd_RUN_END_STARTED {
		t.job.mayHaveRun = true
		return
	}
	delete(r.runs, run)
	delete(r.stopping, run)
	if e.GetEnd() != pb.RunEnd_RUN_END_REFUSED {
		t.job.mayHaveRun = true
	}
	t.noteStart(e, clock.SinceBoot())
	if t.job.answered {
		return
	}
	switch e.GetEnd() {
	case pb.RunEnd_RUN_END_DONE:
		d.recordRunTime(r, t, e.GetRunUs())
		d.onTaskDone(t)
	case pb.RunEnd_RUN_END_FAILED:
		d.onTaskFailed(r, t)
	case pb.RunEnd_RUN_END_REFUSED:
		d.onStartRefused(r, t, code)
	default:
		d.onRunLost(r, t, code)
	}
}

func (d *Dispatcher) onTaskDone(t *task) {
	j := t.job
	t.state = taskDone
	j.openTasks[t.id.Step]--
	if j.done() {
		if t.contained {
			d.crashes.ContainedJobDone(j.route.Name)
		}
		d.learnRunTime(j)
		d.finish(j, platform.Answer{Code: result.OK})
		return
	}
	if j.openTasks[t.id.Step] == 0 {
		j.unblockSteps()
		d.addWaiting(j)
	}
}

func (d *Dispatcher) onTaskFailed(r *runner, t *task) {
	j := t.job
	t.failures++
	j.avoid[r.node.Name] = true
	d.log.Info("task: failed", zap.String("task", t.name), zap.Uint64("attempt", t.attempt),
		zap.String("runner", r.node.Name), zap.Int("failures", t.failures), zap.Int("max", j.route.MaxAttempts))
	if t.failures >= max(j.route.MaxAttempts, 1) {
		d.finish(j, platform.Answer{Code: result.OK, Failed: true})
		return
	}
	d.enqueueTask(t)
}

func (d *Dispatcher) onStartRefused(r *runner, t *task, code result.Code) {
	d.log.Info("task: start refused", zap.String("task", t.name), zap.Uint64("attempt", t.attempt),
		zap.String("runner", r.node.Name), zap.Stringer("code", code), zap.Duration("after", r.lastFrameAt-t.placedAt))
	d.uncountStarted(t, r.lastFrameAt)
	switch code {
	case result.AlreadyStarted:
		// An earlier submission of the job has run there, or may have.
		t.job.mayHaveRun = true
		t.attempt += attemptSkip
	case result.NoFreeSlot:
		t.redirects++
	case result.LeaseLapsed:
	default:
		t.job.avoid[r.node.Name] = true
	}
	d.retryTask(t)
}

func (d *Dispatcher) onRunLost(r *runner, t *task, code result.Code) {
	d.log.Info("task: run lost", zap.String("task", t.name), zap.Uint64("attempt", t.attempt),
		zap.String("runner", r.node.Name), zap.Stringer("code", code), zap.Bool("moving", t.moving))
	t.job.avoid[r.node.Name] = true
	if !t.moving {
		t.lostRuns++
	}
	d.retryTask(t)
}

// retryTask queues a task for another run, unless it has used all attempts, or
// its runs were lost so often that it may be the cause.
func (d *Dispatcher) retryTask(t *task) {
	if t.attempt >= maxTaskAttempts || t.lostRuns >= maxLostRuns {
		d.finish(t.job, platform.Answer{Code: result.StillRunning})
		return
	}
	d.enqueueTask(t)
}

// enqueueTask queues a task for placement.
func (d *Dispatcher) enqueueTask(t *task) {
	t.state, t.overflow = taskQueued, false
	d.addWaiting(t.job)
}

// maxMoves bounds how often a task is moved: one that is slow at every endpoint
// takes longer by itself.
const maxMoves = 2

// onRunStalled stops a stalled run in order to start its task at another
// endpoint.
func (d *Dispatcher) onRunStalled(r *runner, t *task) {
	if t.moving || t.job.answered || t.moves >= maxMoves {
		return
	}
	t.moving = true
	t.moves++
	t.job.avoid[r.node.Name] = true
	d.log.Info("task: run stalled, moving the task to another endpoint", zap.String("task", t.name), zap.Uint64("attempt", t.attempt), zap.String("runner", r.node.Name))
	d.stopRun(t)
}
