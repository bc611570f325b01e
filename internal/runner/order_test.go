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
	d := h.dial("1")
	d.ready()
	d.ends(d.order("a", 1, 0), done)
	h.sound()
}

// Room for two: the third order waits, the fourth has no time to.
func TestOrdersWaitForRoom(t *testing.T) {
	h := newHost(t, 150*time.Millisecond, nil)
	d := h.dial("1")
	d.ready()
	first, second := d.order("a", 1, 0), d.order("b", 1, 0)
	third, fourth := d.order("c", 1, time.Second), d.order("e", 1, 0)
	must.Eq(t, uint32(result.NoFreeSlot), d.ends(fourth, refused).GetCode())
	for _, run := range []*pb.RunRef{first, second, third} {
		d.ends(run, done)
	}
	h.sound()
}

// Half of the orders get no answer, and some of these are carried out late:
// the room is never exceeded and no task runs twice at once.
func TestUnansweredOrders(t *testing.T) {
	var mu sync.Mutex
	n := 0
	h := newHost(t, 30*time.Millisecond, func(e *platformtest.Endpoint) {
		e.Fault = func(c platformtest.Call) platformtest.Fault {
			mu.Lock()
			defer mu.Unlock()
			n++
			switch {
			case c.Kind == "hold":
				return platformtest.None
			case n%4 == 0:
				return platformtest.Late
			case n%7 == 0:
				return platformtest.Lost
			}
			return platformtest.None
		}
	})
	d := h.dial("1")
	d.ready()
	for i := range 30 {
		job := "j" + strconv.Itoa(i)
		for attempt := uint64(1); ; attempt++ {
			run := d.order(job, attempt, time.Second)
			must.True(t, eventually(func() bool { return d.event(run) != nil }))
			if d.event(run).GetEnd() == done {
				break
			}
			must.Less(t, 20, attempt)
		}
	}
	h.sound()
}

// A start that is carried out late must find no room that was given away
// meanwhile: it is stopped before its room is free.
func TestLateStartTakesNoRoom(t *testing.T) {
	h := newHost(t, time.Hour, func(e *platformtest.Endpoint) {
		e.Fault = func(c platformtest.Call) platformtest.Fault {
			if c.Kind == "start" && strings.HasPrefix(c.Run.Task, "late") {
				return platformtest.Late
			}
			return platformtest.None
		}
	})
	d := h.dial("1")
	d.ready()
	first, second := d.order("late1", 1, 0), d.order("late2", 1, 0)
	for _, run := range []*pb.RunRef{first, second} {
		must.True(t, eventually(func() bool { return d.event(run) != nil }))
		must.NotEq(t, done, d.event(run).GetEnd())
	}
	d.order("c", 1, time.Second)
	d.order("e", 1, time.Second)
	must.True(t, eventually(func() bool { return h.endpoint.Running() == 2 }))
	time.Sleep(2 * platformtest.LateBy)
	must.Eq(t, 0, h.judge.Starts("late1")+h.judge.Starts("late2"))
	h.sound()
}

func TestRefusals(t *testing.T) {
	h := newHost(t, time.Hour, nil)
	d := h.dial("1")
	d.ready()
	d.tell(&pb.DispatcherFrame{Policy: &pb.Policy{Revision: 2, Config: []byte(config), Evacuated: []string{domain}}})
	must.Eq(t, uint32(result.OutOfService), d.ends(d.order("a", 1, 0), refused).GetCode())
	d.tell(&pb.DispatcherFrame{Policy: &pb.Policy{Revision: 1, Config: []byte(config)}})
	must.Eq(t, uint32(result.OutOfService), d.ends(d.order("b", 1, 0), refused).GetCode(), must.Sprint("an older policy must not count"))
	d.tell(&pb.DispatcherFrame{Policy: &pb.Policy{Revision: 3, Config: []byte(strings.ReplaceAll(config, "svc", "other"))}})
	must.Eq(t, uint32(result.CannotRun), d.ends(d.order("c", 1, 0), refused).GetCode())
	d.tell(&pb.DispatcherFrame{Policy: &pb.Policy{Revision: 4, Config: []byte(config)}})
	h.beat("draining")
	must.Eq(t, uint32(result.Leaving), d.ends(d.order("e", 1, 0), refused).GetCode())
	must.Eq(t, 0, h.judge.Starts("a")+h.judge.Starts("b")+h.judge.Starts("c")+h.judge.Starts("e"))
}

// A start whose first try had no answer and whose second was refused may run.
func TestRefusalAfterAnUnansweredTry(t *testing.T) {
	var tries atomic.Int64
	h := newHost(t, 200*time.Millisecond, func(e *platformtest.Endpoint) {
		e.Fault = func(c platformtest.Call) platformtest.Fault {
			if c.Kind != "start" {
				return platformtest.None
			}
			switch tries.Add(1) {
			case 1:
				return platformtest.Lost
			case 2:
				return platformtest.Shed
			}
			return platformtest.None
		}
	})
	d := h.dial("1")
	d.ready()
	d.ends(d.order("a", 1, 0), done)
	must.Eq(t, 1, h.judge.Starts("a"))
}
