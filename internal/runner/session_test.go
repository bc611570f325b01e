package runner_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform/platformtest"
)

// A restarted runner doesn't know the runs that its predecessor started. It
// must stop them before it reports itself ready, or it would exceed the
// endpoint's capacity.
func TestRestartedRunnerStopsUnknownRuns(t *testing.T) {
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
	reconnected := h.connect("1")
	reconnected.requireReady()
	must.Eq(t, 0, h.endpoint.Running())
	h.endpoint.Stall(false)
	reconnected.requireEnd(reconnected.sendOrder("a", 2, 0), done)
	h.requireNoViolations()
}

// A heartbeat from before the endpoint began to drain may be delivered late. It
// must not make the runner start runs again.
func TestStaleHeartbeatIsIgnored(t *testing.T) {
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

// The runs of an endpoint process that has died must be reported as lost.
func TestCrashedEndpointsRunsAreLost(t *testing.T) {
	h := newHost(t, time.Hour, nil)
	d := h.connect("1")
	d.requireReady()
	run := d.sendOrder("a", 1, 0)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 1 }))
	h.endpoint.Crash()
	d.requireEnd(run, lost)
}

// An endpoint may restart under its ID, and start requests may reach the new
// process before the runner has noticed the restart. If such runs were reported
// as lost together with those of the old process, the task would run twice.
func TestRestartedEndpointKeepsNewRuns(t *testing.T) {
	// renewalTime is longer than a renewal waits at the endpoint.
	const renewalTime = 130 * time.Millisecond
	for _, detection := range []string{"by renewal", "by heartbeat"} {
		t.Run(detection, func(t *testing.T) {
			var dropRenewals atomic.Bool
			h := newHost(t, 700*time.Millisecond, func(e *platformtest.Endpoint) {
				e.ChooseFault = func(c platformtest.Call) platformtest.Fault {
					if c.Kind == "hold" && dropRenewals.Load() {
						return platformtest.FaultLostAnswer
					}
					return platformtest.FaultNone
				}
			})
			d := h.connect("1")
			d.requireReady()
			old := d.sendOrder("old", 1, 0)
			must.True(t, eventually(func() bool { return h.checker.Starts("old") == 1 }))
			dropRenewals.Store(true)
			time.Sleep(renewalTime)
			h.endpoint.Restart()
			run := d.sendOrder("a", 1, 0)
			must.True(t, eventually(func() bool { return h.checker.Starts("a") == 1 }))
			if detection == "by heartbeat" {
				h.sendHeartbeat("ready")
			}
			dropRenewals.Store(false)
			d.requireEnd(run, done)
			d.requireEnd(old, lost)
			h.requireNoViolations()
		})
	}
}

// An endpoint that has restarted under its ID has seen no fencing token, and
// requests to the old process may still arrive. Only a higher token than theirs
// makes it refuse them.
func TestRestartedEndpointGetsHigherFencingToken(t *testing.T) {
	h := newHost(t, time.Hour, nil)
	h.connect("1").requireReady()
	before := h.endpoint.FencingToken()
	must.Positive(t, before)
	h.endpoint.Restart()
	must.True(t, eventually(func() bool { return h.endpoint.FencingToken() > before }))
}

// A runner that is suspended between two tries of a start has lost the permission for
// it: its dispatcher counts the run as lost, and the endpoint may have been restarted
// and know neither the run nor a fencing token.
func TestStartIsNotRepeatedAfterASuspension(t *testing.T) {
	var suspended atomic.Int64
	startedAt := time.Now()
	t.Cleanup(clock.Simulate(func() time.Duration {
		return time.Hour + time.Since(startedAt) + time.Duration(suspended.Load())
	}))
	var starts atomic.Int64
	h := newHost(t, time.Hour, func(e *platformtest.Endpoint) {
		e.ChooseFault = func(c platformtest.Call) platformtest.Fault {
			if c.Kind != "start" {
				return platformtest.FaultNone
			}
			if starts.Add(1) == 1 {
				suspended.Store(int64(2 * time.Second))
			}
			return platformtest.FaultLostAnswer
		}
	})
	d := h.connect("1")
	d.requireReady()
	d.sendOrder("a", 1, 0)
	time.Sleep(300 * time.Millisecond)
	must.Eq(t, 1, starts.Load())
}

// The first list of an endpoint that has restarted under its ID is requested with the fencing
// token of before: a start that was left unanswered may begin after it. The run must not be
// reported as lost because of that list, and then start beside the one that replaces it.
func TestRestartedEndpointsFirstListProvesNoEnd(t *testing.T) {
	var restarted atomic.Bool
	// listsAgainAt is when the endpoint lists its runs again, in Unix nanoseconds.
	var listsAgainAt atomic.Int64
	h := newHost(t, time.Hour, func(e *platformtest.Endpoint) {
		e.ChooseFault = func(c platformtest.Call) platformtest.Fault {
			switch {
			case c.Kind == "start":
				return platformtest.FaultDelayed
			case c.Kind == "stop":
				listsAgainAt.CompareAndSwap(0, time.Now().Add(2*platformtest.CallDelay).UnixNano())
			case listsAgainAt.Load() > 0 && restarted.CompareAndSwap(false, true):
				e.Restart()
			case time.Now().UnixNano() < listsAgainAt.Load():
				return platformtest.FaultOverloaded
			}
			return platformtest.FaultNone
		}
	})
	d := h.connect("1")
	d.requireReady()
	d.requireEnd(d.sendOrder("a", 1, 0), lost)
	time.Sleep(2 * platformtest.CallDelay)
	must.Eq(t, 0, h.checker.Starts("a"), must.Sprint("the run began after it was reported as lost"))
}

// A start request may be under way when a renewal finds the endpoint's process gone, and reach
// the next one. The run must not be reported as lost while it may still begin.
func TestStartUnderWayOutlivesTheProcess(t *testing.T) {
	var gone atomic.Bool
	refused := make(chan struct{})
	h := newHost(t, 0, func(e *platformtest.Endpoint) {
		e.Duration = func(run workload.RunID) time.Duration {
			if strings.HasPrefix(run.Task, "first") {
				return 40 * time.Millisecond
			}
			return 300 * time.Millisecond
		}
		e.ChooseFault = func(c platformtest.Call) platformtest.Fault {
			switch {
			case c.Kind == "start" && strings.HasPrefix(c.Run.Task, "a"):
				gone.Store(true)
				select {
				case <-refused:
				case <-time.After(waitTimeout):
				}
			case c.Kind == "hold" && gone.CompareAndSwap(true, false):
				close(refused)
				return platformtest.FaultMisdirected
			}
			return platformtest.FaultNone
		}
	})
	d := h.connect("1")
	d.requireReady()
	d.sendOrder("first", 1, 0)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 1 }))
	d.requireEnd(d.sendOrder("a", 1, 0), done)
	h.requireNoViolations()
}

// An answer that says that the endpoint's process is gone may be overtaken by one of the next
// process. The runs there must not be reported as lost because of it.
func TestOvertakenRefusalEndsNoRun(t *testing.T) {
	var armed atomic.Bool
	waiting, listed := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(listed) })
	h := newHost(t, 400*time.Millisecond, func(e *platformtest.Endpoint) {
		e.ChooseFault = func(c platformtest.Call) platformtest.Fault {
			switch {
			case c.Kind == "start":
				return platformtest.FaultLostAnswer
			case c.Kind == "hold" && c.Waits && armed.CompareAndSwap(true, false):
				close(waiting)
				select {
				case <-listed:
				case <-time.After(waitTimeout):
				}
				return platformtest.FaultMisdirected
			case c.Kind == "hold" && !c.Waits && e.Running() > 0:
				time.AfterFunc(10*time.Millisecond, release)
			}
			return platformtest.FaultNone
		}
	})
	d := h.connect("1")
	d.requireReady()
	armed.Store(true)
	<-waiting
	d.requireEnd(d.sendOrder("a", 1, 0), done)
	h.requireNoViolations()
}
