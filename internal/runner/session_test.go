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
	d := h.connect("1")
	d.requireReady()
	d.sendOrder("a", 1, 0)
	d.sendOrder("b", 1, 0)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 2 }))
	d.cancel()
	h.endpoint.Stall(true)
	h.stopRunner()
	h.startRunner()
	again := h.connect("1")
	again.requireReady()
	must.Eq(t, 0, h.endpoint.Running())
	h.endpoint.Stall(false)
	again.requireEnd(again.sendOrder("a", 2, 0), done)
	h.requireNoViolations()
}

// A heartbeat from before, delivered late, must not bring the endpoint back.
func TestOldHeartbeatChangesNothing(t *testing.T) {
	h := newHost(t, time.Hour, nil)
	d := h.connect("1")
	d.requireReady()
	old := h.endpoint.Heartbeat(h.sequence, "ready")
	h.sendHeartbeat("draining")
	req, err := http.NewRequest(http.MethodPut, "http://"+h.listen+"/instances/"+h.endpoint.ID, bytes.NewReader(old))
	must.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	must.Eq(t, uint32(result.Leaving), d.requireEnd(d.sendOrder("a", 1, 0), refused).GetCode())
}

// The end of the endpoint's process ends its runs.
func TestCrashedEndpointsRunsAreLost(t *testing.T) {
	h := newHost(t, time.Hour, nil)
	d := h.connect("1")
	d.requireReady()
	run := d.sendOrder("a", 1, 0)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 1 }))
	h.endpoint.Crash()
	d.requireEnd(run, lost)
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
				e.ChooseFault = func(c platformtest.Call) platformtest.Fault {
					if c.Kind == "hold" && unlisted.Load() {
						return platformtest.FaultLostAnswer
					}
					return platformtest.FaultNone
				}
			})
			d := h.connect("1")
			d.requireReady()
			old := d.sendOrder("old", 1, 0)
			must.True(t, eventually(func() bool { return h.checker.Starts("old") == 1 }))
			unlisted.Store(true)
			time.Sleep(listTime)
			h.endpoint.Restart()
			run := d.sendOrder("a", 1, 0)
			must.True(t, eventually(func() bool { return h.checker.Starts("a") == 1 }))
			if told == "by its heartbeat" {
				h.sendHeartbeat("ready")
			}
			unlisted.Store(false)
			d.requireEnd(run, done)
			d.requireEnd(old, lost)
			h.requireNoViolations()
		})
	}
}

// A life that is reborn under its id has seen no fencing token. Orders to the
// life before may still be under way: the next token must be higher than theirs.
func TestRebornEndpointGetsAHigherToken(t *testing.T) {
	h := newHost(t, time.Hour, nil)
	h.connect("1").requireReady()
	before := h.endpoint.FencingToken()
	must.Positive(t, before)
	h.endpoint.Restart()
	must.True(t, eventually(func() bool { return h.endpoint.FencingToken() > before }))
}
