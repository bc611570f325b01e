package runner_test

import (
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/platform/platformtest"
)

func TestRunIsStartedAndReported(t *testing.T) {
	h := newHost(t, 50*time.Millisecond, nil)
	d := h.connect("1")
	d.requireReady()
	d.requireEnd(d.sendOrder("a", 1, 0), done)
	h.requireNoViolations()
}

// With capacity for two runs, the third order waits and the fourth, which may
// not wait, is refused.
func TestOrdersWaitForCapacity(t *testing.T) {
	h := newHost(t, 150*time.Millisecond, nil)
	d := h.connect("1")
	d.requireReady()
	first, second := d.sendOrder("a", 1, 0), d.sendOrder("b", 1, 0)
	third, fourth := d.sendOrder("c", 1, time.Second), d.sendOrder("e", 1, 0)
	must.Eq(t, uint32(result.NoFreeSlot), d.requireEnd(fourth, refused).GetCode())
	for _, run := range []*pb.RunRef{first, second, third} {
		d.requireEnd(run, done)
	}
	h.requireNoViolations()
}

// About a third of the start and stop requests get no response, and most of
// these take effect late. Neither may make the endpoint exceed its capacity or
// run a task twice at the same time.
func TestUnansweredOrdersRunNoTaskTwice(t *testing.T) {
	var mu sync.Mutex
	n := 0
	h := newHost(t, 30*time.Millisecond, func(e *platformtest.Endpoint) {
		e.ChooseFault = func(c platformtest.Call) platformtest.Fault {
			mu.Lock()
			defer mu.Unlock()
			n++
			switch {
			case c.Kind == "hold":
				return platformtest.FaultNone
			case n%4 == 0:
				return platformtest.FaultDelayed
			case n%7 == 0:
				return platformtest.FaultLostAnswer
			}
			return platformtest.FaultNone
		}
	})
	d := h.connect("1")
	d.requireReady()
	for i := range 30 {
		job := "j" + strconv.Itoa(i)
		for attempt := uint64(1); ; attempt++ {
			run := d.sendOrder(job, attempt, time.Second)
			must.True(t, eventually(func() bool { return d.event(run) != nil }))
			if d.event(run).GetEnd() == done {
				break
			}
			must.Less(t, 20, attempt)
		}
	}
	h.requireNoViolations()
}

// A start that takes effect late must not use capacity that has been given to
// another run: the runner stops the run before it frees the capacity.
func TestDelayedStartUsesNoFreedCapacity(t *testing.T) {
	h := newHost(t, time.Hour, func(e *platformtest.Endpoint) {
		e.ChooseFault = func(c platformtest.Call) platformtest.Fault {
			if c.Kind == "start" && strings.HasPrefix(c.Run.Task, "late") {
				return platformtest.FaultDelayed
			}
			return platformtest.FaultNone
		}
	})
	d := h.connect("1")
	d.requireReady()
	first, second := d.sendOrder("late1", 1, 0), d.sendOrder("late2", 1, 0)
	for _, run := range []*pb.RunRef{first, second} {
		must.True(t, eventually(func() bool { return d.event(run) != nil }))
		must.NotEq(t, done, d.event(run).GetEnd())
	}
	d.sendOrder("c", 1, time.Second)
	d.sendOrder("e", 1, time.Second)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 2 }))
	time.Sleep(2 * platformtest.CallDelay)
	must.Eq(t, 0, h.checker.Starts("late1")+h.checker.Starts("late2"))
	h.requireNoViolations()
}

func TestDisallowedOrdersAreRefused(t *testing.T) {
	h := newHost(t, time.Hour, nil)
	d := h.connect("1")
	d.requireReady()
	d.sendFrame(&pb.DispatcherFrame{Policy: &pb.Policy{Revision: 2, Config: []byte(policyConfig), Evacuated: []string{domain}}})
	must.Eq(t, uint32(result.OutOfService), d.requireEnd(d.sendOrder("a", 1, 0), refused).GetCode())
	d.sendFrame(&pb.DispatcherFrame{Policy: &pb.Policy{Revision: 1, Config: []byte(policyConfig)}})
	must.Eq(t, uint32(result.OutOfService), d.requireEnd(d.sendOrder("b", 1, 0), refused).GetCode(), must.Sprint("an older policy must be ignored"))
	d.sendFrame(&pb.DispatcherFrame{Policy: &pb.Policy{Revision: 3, Config: []byte(strings.ReplaceAll(policyConfig, "svc", "other"))}})
	must.Eq(t, uint32(result.CannotRun), d.requireEnd(d.sendOrder("c", 1, 0), refused).GetCode())
	d.sendFrame(&pb.DispatcherFrame{Policy: &pb.Policy{Revision: 4, Config: []byte(policyConfig)}})
	h.sendHeartbeat("draining")
	must.Eq(t, uint32(result.Leaving), d.requireEnd(d.sendOrder("e", 1, 0), refused).GetCode())
	must.Eq(t, 0, h.checker.Starts("a")+h.checker.Starts("b")+h.checker.Starts("c")+h.checker.Starts("e"))
}

// If the first try of a start is unanswered and the retry is refused, the run
// may have started. It must not be reported as refused.
func TestRefusedRetryOfUnansweredStartIsNotReported(t *testing.T) {
	var tries atomic.Int64
	h := newHost(t, 200*time.Millisecond, func(e *platformtest.Endpoint) {
		e.ChooseFault = func(c platformtest.Call) platformtest.Fault {
			if c.Kind != "start" {
				return platformtest.FaultNone
			}
			switch tries.Add(1) {
			case 1:
				return platformtest.FaultLostAnswer
			case 2:
				return platformtest.FaultOverloaded
			}
			return platformtest.FaultNone
		}
	})
	d := h.connect("1")
	d.requireReady()
	d.requireEnd(d.sendOrder("a", 1, 0), done)
	must.Eq(t, 1, h.checker.Starts("a"))
}

// An endpoint may be back as another kind while orders wait at its runner. Those that require
// a label that it no longer has must not be started there.
func TestWaitingOrderIsNotStartedAtAnotherKind(t *testing.T) {
	h := newHost(t, 300*time.Millisecond, nil)
	d := h.connect("1")
	d.requireReady()
	first, second := d.sendOrder("a", 1, 0), d.sendOrder("b", 1, 0)
	must.Eq(t, uint32(result.CannotRun), d.requireEnd(d.sendLabelledOrder("c", 1, time.Second, "x"), refused).GetCode())
	labelled, plain := d.sendLabelledOrder("e", 1, 5*time.Second, "a"), d.sendOrder("f", 1, 5*time.Second)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 2 }))
	h.endpoint.Labels = []string{"b"}
	h.endpoint.Restart()
	h.sendHeartbeat("ready")
	must.Eq(t, uint32(result.CannotRun), d.requireEnd(labelled, refused).GetCode())
	d.requireEnd(plain, done)
	for _, run := range []*pb.RunRef{first, second} {
		d.requireEnd(run, lost)
	}
	must.Eq(t, 0, h.checker.Starts("e"))
	h.requireNoViolations()
}
