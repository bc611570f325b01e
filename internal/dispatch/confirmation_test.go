package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
)

// An idle runner reads the operators' keys itself once its confirmation is 2.7 s old. It must
// be told of a later one before, and not with each of its heartbeats.
func TestIdleRunnerIsToldOfConfirmationsInTime(t *testing.T) {
	d, r := newServingDispatcher(t)
	start := clock.SinceBoot()
	told := func(now time.Duration) bool {
		d.onHeartbeatOf(r, now)
		items, _ := r.outbox.TryTakeAll()
		return len(items) > 0
	}
	d.policy.Confirm(1, start)
	must.True(t, told(start+time.Second), must.Sprint("the first heartbeat is echoed"))
	d.policy.Confirm(1, start+time.Second)
	must.False(t, told(start+time.Second+idleEchoInterval/2))
	r.lastEchoAt = start + maxToldAge
	must.False(t, told(start+maxToldAge-time.Millisecond))
	must.True(t, told(start+maxToldAge), must.Sprint("what it was told last is old"))
	must.False(t, told(start+maxToldAge), must.Sprint("it has been told"))
}

// onHeartbeatOf applies a heartbeat of the runner.
func (d *Dispatcher) onHeartbeatOf(r *runner, now time.Duration) {
	d.applyHeartbeat(r, &pb.RunnerFrame{Beat: &pb.RunnerBeat{SentNs: int64(now), PolicyRevision: 1}}, now)
}
