package runner_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
)

// If the runs of a silent dispatcher continued, a caller that resends its job
// through another dispatcher would have the same task running twice.
func TestSilentDispatchersRunsAreStopped(t *testing.T) {
	h := newHost(t, time.Hour, nil)
	d := h.connect("1")
	d.requireReady()
	d.sendOrder("a", 1, 0)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 1 }))
	start := time.Now()
	d.mu.Lock()
	d.muted = true
	d.mu.Unlock()
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 0 }))
	must.Less(t, 1300*time.Millisecond, time.Since(start), must.Sprint("callers may resend the job after this time"))
}

// A heartbeat that the network has delayed echoes an old timestamp. If it
// extended the lease, the runs of a dead dispatcher would continue.
func TestDelayedHeartbeatDoesNotExtendLease(t *testing.T) {
	h := newHost(t, time.Hour, nil)
	d := h.connect("1")
	d.requireReady()
	d.sendOrder("a", 1, 0)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 1 }))
	d.mu.Lock()
	oldEcho := d.echo
	d.muted = true
	d.mu.Unlock()
	end := time.Now().Add(1500 * time.Millisecond)
	for time.Now().Before(end) && h.endpoint.Running() > 0 {
		d.sendFrame(&pb.DispatcherFrame{Beat: &pb.DispatcherBeat{EchoNs: oldEcho}})
		time.Sleep(50 * time.Millisecond)
	}
	must.Eq(t, 0, h.endpoint.Running())
}

func TestRestartedDispatchersRunsAreStopped(t *testing.T) {
	h := newHost(t, time.Hour, nil)
	d := h.connect("1")
	d.requireReady()
	d.sendOrder("a", 1, 0)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 1 }))
	d.cancel()
	h.connect("2")
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 0 }))
}

// A broken connection must lose neither a run nor the event that reports its
// end.
func TestBrokenConnectionLosesNoEvent(t *testing.T) {
	h := newHost(t, 200*time.Millisecond, nil)
	d := h.connect("1")
	d.requireReady()
	run := d.sendOrder("a", 1, 0)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 1 }))
	d.cancel()
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 0 }))
	reconnected := h.connect("1")
	must.Len(t, 1, reconnected.held)
	reconnected.requireEnd(run, done)
}
