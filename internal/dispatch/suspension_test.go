package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/runref"
)

// readyFrame is a frame with which the test runner gets work.
func readyFrame() *pb.RunnerFrame {
	return &pb.RunnerFrame{
		Beat:  &pb.RunnerBeat{SentNs: int64(clock.SinceBoot())},
		State: &pb.RunnerState{Ready: true, Healthy: true, Service: "svc", CapacityCpu: 8000, SpeedPercent: 100},
	}
}

// A dispatcher that was suspended reads the frames that runners have sent meanwhile, and
// these extend its lease. If it placed a job before it has noticed that the caller has
// left, the job might run at another dispatcher as well.
func TestJobIsNotPlacedRightAfterASuspension(t *testing.T) {
	d, r := newServingDispatcher(t)
	expired := d.enqueueTestJob("1", "r")
	waiting := d.enqueueTestJob("2", "r")
	now := clock.SinceBoot()
	expired.deadline, d.suspension.tickedAt = now, now-maxTickDelay-time.Millisecond
	d.onFrame(r, r.outbox, readyFrame())
	must.True(t, r.usable(clock.SinceBoot()))
	must.MapEmpty(t, r.runs, must.Sprint("before the jobs were checked"))
	now = clock.SinceBoot()
	d.tick(now)
	d.onFrame(r, r.outbox, readyFrame())
	must.MapEmpty(t, r.runs, must.Sprint("before the callers' connections were checked"))
	d.tick(now + settleDelay)
	must.True(t, expired.answered)
	must.Eq(t, taskPlaced, waiting.tasks[0][0].state)
	must.MapLen(t, 1, r.runs)
}

// A dispatcher that was suspended must read what its runners have sent meanwhile before
// it takes them for silent: with the connections it would discard the ends of runs, and
// work that is done would be done again.
func TestRunnersAreNotSilentBecauseOfASuspension(t *testing.T) {
	d, r := newServingDispatcher(t)
	closed := false
	r.cancel = func(error) { closed = true }
	r.lastFrameAt = clock.SinceBoot()
	now := r.lastFrameAt + 2*idleConnectionTimeout
	d.suspension.tickedAt = now - maxTickDelay - time.Millisecond
	d.tick(now)
	must.False(t, closed)
	d.tick(now + settleDelay)
	must.True(t, closed, must.Sprint("still silent"))
}

// A job whose run has ended during a suspension is answered with its result, even if
// late. If it expired before the end is read, its caller would send it again.
func TestEndDuringASuspensionIsAnswered(t *testing.T) {
	d, r, run := newDispatcherWithRun(t)
	now := clock.SinceBoot()
	run.job.deadline, d.suspension.tickedAt = now, now-maxTickDelay-time.Millisecond
	d.tick(now)
	d.onFrame(r, r.outbox, &pb.RunnerFrame{Events: []*pb.RunEvent{{Run: runref.Encode(run.runID()), End: pb.RunEnd_RUN_END_DONE}}})
	must.Eq(t, result.OK, (<-run.job.answer).Code)
}

// A dispatcher all of whose ticks are late must still place and expire jobs.
func TestLateTicksDontStopTheDispatcher(t *testing.T) {
	var s suspension
	settled := 0
	for now := time.Second; now <= 11*time.Second; now += time.Second {
		if s.tick(now); s.settled(now) {
			settled++
		}
	}
	must.GreaterEq(t, 5, settled)
}
