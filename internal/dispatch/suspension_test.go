package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
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
	must.True(t, expired.answered)
	must.MapEmpty(t, r.runs, must.Sprint("before the callers' connections were checked"))
	d.tick(now + settleDelay)
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
