package runner

import (
	"context"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/capacity"
	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform"
)

// silentNetwork is a network in which nothing responds.
type silentNetwork struct{ network.Network }

// Dial implements network.Network.
func (silentNetwork) Dial(ctx context.Context, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// newServingRunner returns a runner whose endpoint has the given capacity, and a
// connected dispatcher. Start requests of the runner get no response.
func newServingRunner(t *testing.T, milliCPU int64) (*Runner, *dispatcher) {
	r := newTestRunner(t)
	d, out, _ := r.attach(&pb.DispatcherFrame{Dispatcher: "d", Incarnation: "1"}, func() {})
	out.TryTakeAll()
	now := clock.SinceBoot()
	r.policy.Apply(&policy.Snapshot{Revision: 1, Config: &policy.Config{Routes: []policy.Route{{Service: "svc"}}}})
	r.policy.Confirm(1, clock.SinceBoot())
	r.session = &session{
		endpoint: &workload.Endpoint{ID: "e", Service: "svc"}, client: platform.NewEndpointClient(silentNetwork{}, "e:1", "e"),
		tracker: capacity.New(workload.Resources{MilliCPU: milliCPU}), health: capacity.NewHealth(), cancel: func() {}, lastResponseAt: now, heartbeatAt: now,
	}
	r.session.tracker.Reconcile(workload.RenewalResponse{}, now, now)
	return r, d
}

// order sends one order of a task that may wait, or not, and returns the runs that
// were refused meanwhile.
func (r *Runner) order(d *dispatcher, job string, priority uint32, cpu uint64, slack, wait time.Duration) []string {
	r.handleFrame(d, d.outbox, &pb.DispatcherFrame{Starts: []*pb.RunOrder{{
		Run: &pb.RunRef{Task: job, Attempt: 1}, Service: "svc", CpuMilli: cpu, EstimateUs: 100_000, Priority: priority,
		SlackUs: slack.Microseconds(), PatienceUs: wait.Microseconds(),
	}}})
	var refusals []string
	items, _ := d.outbox.TryTakeAll()
	for _, f := range items {
		for _, e := range f.GetEvents() {
			if result.Code(e.GetCode()) == result.NoFreeSlot {
				refusals = append(refusals, e.GetRun().GetTask())
			}
		}
	}
	return refusals
}

func (r *Runner) hasRun(job string) bool {
	_, found := r.session.tracker.Reservation(workload.RunID{Task: job, Attempt: 1})
	return found
}

func (r *Runner) queuedTasks() []string {
	var tasks []string
	for _, o := range r.queue {
		tasks = append(tasks, o.runID.Task)
	}
	return tasks
}

// Guards against an order that is refused, or waits, behind orders of lower levels that
// don't fit, while it fits. With equal levels it is refused, as before there were
// levels.
func TestOrderIsNotRefusedBehindLowerLevels(t *testing.T) {
	for _, c := range []struct {
		queued  uint32
		wait    time.Duration
		refused bool
	}{{2, 0, false}, {2, time.Second, false}, {1, 0, true}, {0, 0, true}} {
		r, d := newServingRunner(t, 2000)
		r.order(d, "first", 0, 1000, time.Second, 0)
		r.order(d, "large", c.queued, 2000, time.Second, time.Second)
		refusals := r.order(d, "small", 1, 1000, time.Second, c.wait)
		must.Eq(t, c.refused, len(refusals) > 0, must.Sprintf("%+v", c))
		must.Eq(t, !c.refused, r.hasRun("small"), must.Sprintf("%+v", c))
		must.Eq(t, []string{"large"}, r.queuedTasks())
		must.SliceEmpty(t, r.order(d, "later", c.queued, 2000, time.Second, time.Second), must.Sprint("it may wait"))
		must.SliceNotEmpty(t, r.order(d, "none free", 0, 1500, time.Second, 0), must.Sprint("no capacity"))
	}
}

// Guards against an order of the first level that waits behind others, against a level
// that starves at the runner, and against a level out of range.
func TestQueueIsOrderedByLevel(t *testing.T) {
	for _, c := range []struct {
		startedLevel uint32
		want         []string
	}{{3, []string{"4", "3", "1", "0", "5", "2"}}, {0, []string{"1", "0", "5", "4", "3", "2"}}} {
		r, d := newServingRunner(t, 1000)
		r.order(d, "first", c.startedLevel, 1000, time.Second, 0)
		for i, o := range []struct {
			priority uint32
			slack    time.Duration
		}{{1 << 31, 100 * time.Millisecond}, {2, 100 * time.Millisecond}, {0, -time.Second}, {0, 900 * time.Millisecond}, {0, 800 * time.Millisecond}, {4, 200 * time.Millisecond}} {
			r.order(d, strconv.Itoa(i), o.priority, 1000, o.slack, time.Second)
		}
		must.Eq(t, c.want, r.queuedTasks())
		must.Eq(t, []uint64{3000, 0, 1000, 2000}, r.endpointState().GetWaitingCpuByPriority())
		must.Eq(t, 6000, r.endpointState().GetWaitingCpu())
		levels := r.State().Levels
		must.Eq(t, 2, levels[3].QueuedOrders)
		must.Eq(t, 2000, levels[3].QueuedMilliCPU)
		must.Eq(t, 1, levels[c.startedLevel].StartedFraction)
	}
}

// Guards against a level that seems to have its minimum share because of starts that
// were refused, or of overflow runs.
func TestRefusedAndOverflowRunsHaveNoShare(t *testing.T) {
	r, d := newServingRunner(t, 2000)
	now := clock.SinceBoot()
	o := newOrder(d.owner(), "", &pb.RunOrder{Run: &pb.RunRef{Task: "a", Attempt: 1}, CpuMilli: 1000, Priority: 1}, now)
	r.started.Add(0, 0.1, now)
	r.countStarted(o, now)
	must.Greater(t, 0.5, r.started.Fraction(1))
	r.startOnEndpoint(r.session, o, workload.StartRequest{Run: o.runID}, 0)
	must.Less(t, 1e-9, r.started.Fraction(1))
	o.overflow = true
	r.countStarted(o, now)
	must.Less(t, 1e-9, r.started.Fraction(1))
}

// A job that was sent again through another dispatcher has runs with the same ids. If
// the stop of the first dispatcher took effect on the order or the run of the second, that
// one would wait for its end in vain, or lose it.
func TestStopOfOneDispatcherLeavesTheRunsOfAnother(t *testing.T) {
	r, first := newServingRunner(t, 1000)
	second, _, _ := r.attach(&pb.DispatcherFrame{Dispatcher: "e", Incarnation: "1"}, func() {})
	stop := &pb.DispatcherFrame{Stops: []*pb.RunRef{{Task: "j", Attempt: 1}}}
	running := capacity.Reservation{Run: workload.RunID{Task: "k", Attempt: 1}, Owner: second.owner(), Resources: workload.Resources{MilliCPU: 1000}}
	must.True(t, r.session.tracker.Reserve(running, clock.SinceBoot()))
	r.order(first, "j", 0, 1000, time.Second, time.Minute)
	r.order(second, "j", 0, 1000, time.Second, time.Minute)
	r.handleFrame(first, first.outbox, stop)
	must.Eq(t, []string{"j"}, r.queuedTasks())
	must.Eq(t, second.owner(), r.queue[0].owner)

	r.handleFrame(second, second.outbox, stop)
	must.SliceEmpty(t, r.queue)
	stop.Stops[0].Task = "k"
	r.handleFrame(first, first.outbox, stop)
	run, _ := r.session.tracker.Reservation(running.Run)
	must.Eq(t, capacity.StartSent, run.State)
	r.handleFrame(second, second.outbox, stop)
	must.Eq(t, capacity.Stopping, run.State)
}

// A runner that was replaced may be asked to stop a run of its predecessor before it has
// heard from its endpoint, where the run may continue. If it answered that the run is lost,
// the task would start elsewhere meanwhile.
func TestStopBeforeTheFirstHeartbeatIsNotAnswered(t *testing.T) {
	r := newTestRunner(t)
	d, out, _ := r.attach(&pb.DispatcherFrame{Dispatcher: "d", Incarnation: "1"}, func() {})
	out.TryTakeAll()
	r.handleFrame(d, out, &pb.DispatcherFrame{Stops: []*pb.RunRef{{Task: "j", Attempt: 1}}})
	items, _ := out.TryTakeAll()
	must.SliceEmpty(t, items)
}
