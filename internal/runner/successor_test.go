package runner_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/platform/platformtest"
)

// newSuccessor returns another endpoint process for the host's runner, which was started
// later.
func newSuccessor(t *testing.T, h *host, service string) *platformtest.Endpoint {
	e := &platformtest.Endpoint{
		Service: service, Domain: domain, Capacity: h.endpoint.Capacity,
		Need: h.endpoint.Need, Duration: h.endpoint.Duration, Checker: h.checker,
	}
	server := httptest.NewServer(e.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	e.ID = strings.TrimPrefix(server.URL, "http://")
	time.Sleep(2 * time.Millisecond) // start times are in milliseconds
	e.Init()
	return e
}

// A heartbeat of another process must not make the runner give up the runs of an endpoint
// that is alive: their tasks would be started elsewhere while they go on.
func TestRunsOutlastHeartbeatOfAnotherProcess(t *testing.T) {
	for name, service := range map[string]string{"service not configured": "unknown", "same service": service} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t, 500*time.Millisecond, nil)
			d := h.connect("1")
			d.requireReady()
			run := d.sendOrder("a", 1, 0)
			must.True(t, eventually(func() bool { return h.endpoint.Running() == 1 }))
			other := newSuccessor(t, h, service)
			accepted := platformtest.PutHeartbeat(t.Context(), http.DefaultClient, h.listen, other.ID, other.Heartbeat(1, "ready"))
			must.Eq(t, service != "unknown", accepted)
			d.requireEnd(run, done)
			d.requireEnd(d.sendOrder("b", 1, 0), done)
			h.requireNoViolations()
			must.Eq(t, 1, h.checker.Starts("a"))
			must.Eq(t, 0, other.Running())
		})
	}
}

// A process that replaces one that has ended must be served at once, not only after its
// next heartbeat.
func TestSuccessorOfEndedProcessIsServed(t *testing.T) {
	h := newHost(t, time.Hour, nil)
	d := h.connect("1")
	d.requireReady()
	run := d.sendOrder("a", 1, 0)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 1 }))
	next := newSuccessor(t, h, service)
	h.endpoint.Crash()
	h.closeServer()
	must.True(t, next.SendHeartbeat(t.Context(), http.DefaultClient, h.listen, 1, "ready"))
	d.requireEnd(run, lost)
	must.True(t, eventually(func() bool {
		d.sendOrder("b", d.orders, 0)
		return next.Running() > 0
	}))
}
