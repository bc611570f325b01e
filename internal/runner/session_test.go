package runner_test

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/platform/platformtest"
)

// A runner that starts anew stops what its predecessor started, and is ready
// only then.
func TestRestartedRunnerTakesOver(t *testing.T) {
	h := newHost(t, 400*time.Millisecond, nil)
	d := h.dial("1")
	d.ready()
	d.order("a", 1, 0)
	d.order("b", 1, 0)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 2 }))
	d.cancel()
	h.endpoint.Stall(true)
	h.kill()
	h.start()
	again := h.dial("1")
	again.ready()
	must.Eq(t, 0, h.endpoint.Running())
	h.endpoint.Stall(false)
	again.ends(again.order("a", 2, 0), done)
	h.sound()
}

// A heartbeat from before, delivered late, must not bring the endpoint back.
func TestOldHeartbeatChangesNothing(t *testing.T) {
	h := newHost(t, time.Hour, nil)
	d := h.dial("1")
	d.ready()
	old := h.endpoint.Heartbeat(h.sequence, "ready")
	h.beat("draining")
	req, err := http.NewRequest(http.MethodPut, "http://"+h.listen+"/instances/"+h.endpoint.ID, bytes.NewReader(old))
	must.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	must.Eq(t, uint32(result.Leaving), d.ends(d.order("a", 1, 0), refused).GetCode())
}

// The end of the endpoint's process ends its runs.
func TestCrashedEndpointsRunsAreLost(t *testing.T) {
	h := newHost(t, time.Hour, nil)
	d := h.dial("1")
	d.ready()
	run := d.order("a", 1, 0)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 1 }))
	h.endpoint.Crash()
	d.ends(run, lost)
}

// Orders that reach an endpoint after its rebirth, before anybody has noticed,
// run in its new life. They must not be taken for lost with the old one.
func TestRebornEndpointKeepsItsNewRuns(t *testing.T) {
	// listTime is longer than a renewal waits at the endpoint.
	const listTime = 130 * time.Millisecond
	for _, told := range []string{"by its lists", "by its heartbeat"} {
		t.Run(told, func(t *testing.T) {
			var unlisted atomic.Bool
			h := newHost(t, 700*time.Millisecond, func(e *platformtest.Endpoint) {
				e.Fault = func(c platformtest.Call) platformtest.Fault {
					if c.Kind == "hold" && unlisted.Load() {
						return platformtest.Lost
					}
					return platformtest.None
				}
			})
			d := h.dial("1")
			d.ready()
			old := d.order("old", 1, 0)
			must.True(t, eventually(func() bool { return h.judge.Starts("old") == 1 }))
			unlisted.Store(true)
			time.Sleep(listTime)
			h.endpoint.Rebirth()
			run := d.order("a", 1, 0)
			must.True(t, eventually(func() bool { return h.judge.Starts("a") == 1 }))
			if told == "by its heartbeat" {
				h.beat("ready")
			}
			unlisted.Store(false)
			d.ends(run, done)
			d.ends(old, lost)
			h.sound()
		})
	}
}

// A life that is reborn under its id has seen no fencing token. Orders to the
// life before may still be under way: the next token must be higher than theirs.
func TestRebornEndpointGetsAHigherToken(t *testing.T) {
	h := newHost(t, time.Hour, nil)
	h.dial("1").ready()
	before := h.endpoint.Fence()
	must.Positive(t, before)
	h.endpoint.Rebirth()
	must.True(t, eventually(func() bool { return h.endpoint.Fence() > before }))
}
