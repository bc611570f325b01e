package runner_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
)

// The runs of a dispatcher that falls silent are stopped: its callers may send
// their jobs through another.
func TestSilentDispatchersRunsAreStopped(t *testing.T) {
	h := newHost(t, time.Hour, nil)
	d := h.connect("1")
	d.requireReady()
	d.sendOrder("a", 1, 0)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 1 }))
	began := time.Now()
	d.mu.Lock()
	d.muted = true
	d.mu.Unlock()
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 0 }))
	must.Less(t, 1300*time.Millisecond, time.Since(began), must.Sprint("a caller may send the job again by then"))
}

// A heartbeat that was held up on its way echoes an old clock and prolongs
// nothing.
func TestLateHeartbeatProlongsNothing(t *testing.T) {
	h := newHost(t, time.Hour, nil)
	d := h.connect("1")
	d.requireReady()
	d.sendOrder("a", 1, 0)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 1 }))
	d.mu.Lock()
	old := d.echo
	d.muted = true
	d.mu.Unlock()
	end := time.Now().Add(1500 * time.Millisecond)
	for time.Now().Before(end) && h.endpoint.Running() > 0 {
		d.sendFrame(&pb.DispatcherFrame{Beat: &pb.DispatcherBeat{EchoNs: old}})
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

// A connection that breaks loses no event and no run.
func TestReconnectedDispatcherGetsItsEvents(t *testing.T) {
	h := newHost(t, 200*time.Millisecond, nil)
	d := h.connect("1")
	d.requireReady()
	run := d.sendOrder("a", 1, 0)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 1 }))
	d.cancel()
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 0 }))
	again := h.connect("1")
	must.Len(t, 1, again.held)
	again.requireEnd(run, done)
}
