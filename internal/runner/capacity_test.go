package runner_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/settings"
	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform/platformtest"
)

// oneTask is the capacity for one of the two tasks that the endpoint has at first.
var oneTask = workload.Resources{MilliCPU: taskCPU, MemoryMB: 100}

// sendTwo orders two runs that may wait, and returns after they would have started.
func (d *dispatcher) sendTwo() {
	d.sendOrder("a", 1, 2*time.Second)
	d.sendOrder("b", 1, 2*time.Second)
	time.Sleep(200 * time.Millisecond)
}

// A process that was started again under the same ID is first seen by its answer
// to a renewal, which doesn't tell its capacity. Its heartbeats are numbered from
// one again.
func TestNewProcessGetsNoRunsBeforeItsCapacityIsKnown(t *testing.T) {
	h := newHost(t, time.Hour, nil)
	d := h.connect("1")
	d.requireReady()
	h.sequence = 100
	h.sendHeartbeat("ready")
	h.endpoint.RestartWithCapacity(oneTask)
	time.Sleep(200 * time.Millisecond)
	d.sendTwo()
	must.Eq(t, 0, h.endpoint.Running())
	h.sequence = 0
	h.sendHeartbeat("ready")
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 1 }))
	h.requireNoViolations()
}

// A runner that was suspended, or gets no heartbeats for another reason, doesn't
// know whether the capacity has shrunk meanwhile.
func TestNoRunIsStartedOnAnOldCapacity(t *testing.T) {
	h := newHost(t, time.Hour, nil)
	h.stopRunner()
	h.heartbeatInterval = settings.Duration(400 * time.Millisecond)
	h.startRunner()
	d := h.connect("1")
	d.requireReady()
	h.endpoint.SetCapacity(oneTask)
	time.Sleep(platformtest.ShrinkGrace + 100*time.Millisecond)
	d.sendTwo()
	must.Eq(t, 0, h.endpoint.Running())
	h.sendHeartbeat("ready")
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 1 }))
	h.requireNoViolations()
}

func TestCapacityThatGrowsAgainIsUsed(t *testing.T) {
	h := newHost(t, time.Hour, nil)
	d := h.connect("1")
	d.requireReady()
	both := h.endpoint.Capacity
	h.endpoint.SetCapacity(oneTask)
	h.sendHeartbeat("ready")
	d.sendTwo()
	must.Eq(t, 1, h.endpoint.Running())
	h.endpoint.SetCapacity(both)
	h.sendHeartbeat("ready")
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 2 }))
	h.requireNoViolations()
}
