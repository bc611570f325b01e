package runner

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/capacity"
	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/lease"
	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/runref"
	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform"
)

// newTestRunner returns a runner that does not listen and has no endpoint.
func newTestRunner(t *testing.T) *Runner {
	s := DefaultSettings()
	s.Name = "r"
	r, err := New(network.TCP, &s, zap.NewNop())
	must.NoError(t, err)
	r.baseCtx = t.Context()
	return r
}

// A dispatcher that reconnects is told which runs the runner has, and may place
// the others elsewhere. If an order that is still read from its previous
// connection were carried out, the task would run twice.
func TestFramesOfReplacedConnectionAreDropped(t *testing.T) {
	r := newTestRunner(t)
	first := &pb.DispatcherFrame{Dispatcher: "d", Incarnation: "1"}
	d, previous, ended := r.attach(first, func() {})
	close(ended)
	reconnected, current, _ := r.attach(first, func() {})
	must.True(t, d == reconnected, must.Sprint("the same dispatcher"))
	order := &pb.DispatcherFrame{Starts: []*pb.RunOrder{{Run: &pb.RunRef{Task: "j.0.0.0", Attempt: 1}, Number: 1}}}

	r.handleFrame(d, previous, order)
	must.Eq(t, 0, d.lastOrder)
	must.False(t, hasEvents(current))
	r.handleFrame(d, current, order)
	must.Eq(t, 1, d.lastOrder)
	must.True(t, hasEvents(current))
}

// hasEvents reports whether the outbox contains an event.
func hasEvents(out *frameOutbox) bool {
	items, _ := out.TryTakeAll()
	for _, f := range items {
		if len(f.GetEvents()) > 0 {
			return true
		}
	}
	return false
}

// A network partition may delay the first frame of a new connection for as long
// as the lease lasts. If that frame extended the lease, runs could continue for
// almost two leases after the last echoed heartbeat.
func TestReconnectingDoesNotExtendLease(t *testing.T) {
	r := newTestRunner(t)
	first := &pb.DispatcherFrame{Dispatcher: "d", Incarnation: "1"}
	d, _, ended := r.attach(first, func() {})
	close(ended)
	granted := d.leaseEnd
	must.Greater(t, clock.SinceBoot(), granted)

	_, _, ended = r.attach(first, func() {})
	close(ended)
	must.Eq(t, granted, d.leaseEnd, must.Sprint("before the lease has expired"))

	d.leaseEnd = clock.SinceBoot() - 1
	_, _, ended = r.attach(first, func() {})
	close(ended)
	must.Greater(t, clock.SinceBoot(), d.leaseEnd, must.Sprint("after the lease has expired and all runs are stopped"))

	reconnected, _, _ := r.attach(&pb.DispatcherFrame{Dispatcher: "d", Incarnation: "2"}, func() {})
	must.Greater(t, clock.SinceBoot(), reconnected.leaseEnd, must.Sprint("a new incarnation, which has no runs"))
}

// A dispatcher counts its runs as lost once its lease has expired, and may have
// placed them elsewhere. If a late order were carried out, the task would run
// twice.
func TestOrdersAfterLeaseExpiryAreRefused(t *testing.T) {
	r := newTestRunner(t)
	d, out, _ := r.attach(&pb.DispatcherFrame{Dispatcher: "d", Incarnation: "1"}, func() {})
	out.TryTakeAll()
	d.leaseEnd = clock.SinceBoot() - 1
	r.handleFrame(d, out, &pb.DispatcherFrame{Starts: []*pb.RunOrder{{Run: &pb.RunRef{Task: "j.0.0.0", Attempt: 1}, Number: 1}}})
	items, _ := out.TryTakeAll()
	must.Len(t, 1, items)
	must.Len(t, 1, items[0].GetEvents())
	must.Eq(t, pb.RunEnd_RUN_END_REFUSED, items[0].GetEvents()[0].GetEnd())
	must.Eq(t, uint32(result.LeaseLapsed), items[0].GetEvents()[0].GetCode())
	must.Eq(t, 1, d.lastOrder)
}

// A dispatcher without runs is echoed too rarely to keep its lease. Its next
// order must be judged by the echo that comes with it: one that the network, or
// a suspension of the dispatcher, has delayed carries an old echo.
func TestFirstOrderAfterIdleTimeNeedsNewEcho(t *testing.T) {
	for _, c := range []struct {
		name    string
		echoAge time.Duration
		want    result.Code
	}{
		{"new", lease.IdleHeartbeatInterval, result.NoPolicy},
		{"old", lease.DispatcherTTL + time.Millisecond, result.LeaseLapsed},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRunner(t)
			closed := false
			d, out, _ := r.attach(&pb.DispatcherFrame{Dispatcher: "d", Incarnation: "1"}, func() { closed = true })
			out.TryTakeAll()
			now := clock.SinceBoot()
			d.leaseEnd = now - time.Second
			r.checkDispatcherLease(d, now)
			must.False(t, closed, must.Sprint("no run depends on the lease"))
			r.handleFrame(d, out, &pb.DispatcherFrame{
				Beat:   &pb.DispatcherBeat{EchoNs: int64(now - c.echoAge)},
				Starts: []*pb.RunOrder{{Run: &pb.RunRef{Task: "j.0.0.0", Attempt: 1}, Number: 1}},
			})
			items, _ := out.TryTakeAll()
			must.Len(t, 1, items)
			must.Eq(t, uint32(c.want), items[0].GetEvents()[0].GetCode())
		})
	}
}

// A dispatcher that doesn't use an endpoint needs its state less often, so that
// its links cost little; a change of the availability is told at once.
func TestIdleDispatcherGetsStateLessOften(t *testing.T) {
	const interval = 40 * time.Millisecond
	r := newTestRunner(t)
	d, out, _ := r.attach(&pb.DispatcherFrame{Dispatcher: "d", Incarnation: "1"}, func() {})
	d.stateInterval = interval
	f, _ := r.nextFrame(d, out)
	must.NotNil(t, f.GetState())
	r.markStateChanged()
	f, wait := r.nextFrame(d, out)
	must.Nil(t, f)
	must.Between(t, interval, wait, idleStateFactor*interval)
	d.lastOrderAt = clock.SinceBoot()
	f, wait = r.nextFrame(d, out)
	must.Nil(t, f)
	must.Between(t, 0, wait, interval)
	r.lastAvailability.ready = true
	r.markStateChanged()
	f, _ = r.nextFrame(d, out)
	must.NotNil(t, f.GetState(), must.Sprint("the availability has changed"))
}

// An event that is still queued when its connection ends must be sent on the
// next one, and until then its run must be in the list of held runs. Otherwise
// the dispatcher would never learn how the run ended, or would take it for
// lost.
func TestUnsentEventsAreSentOnNextConnection(t *testing.T) {
	r := newTestRunner(t)
	first := &pb.DispatcherFrame{Dispatcher: "d", Incarnation: "1"}
	d, out, ended := r.attach(first, func() {})
	out.TryTakeAll()
	run := workload.RunID{Task: "j.0.0.0", Attempt: 1}
	r.sendEvent(d.owner(), newRunEvent(run, endDone, result.OK, 0))
	r.detach(d, out)
	close(ended)

	_, out, _ = r.attach(first, func() {})
	items, _ := out.TryTakeAll()
	f := &pb.RunnerFrame{}
	for _, item := range items {
		mergeFrame(f, item)
	}
	must.Len(t, 1, f.GetHeld())
	must.Len(t, 1, f.GetEvents())
	must.Eq(t, run, runref.Decode(f.GetEvents()[0].GetRun()))
}

// An order that may wait for some milliseconds must not wait for the periodic check,
// which doesn't run here: its job would lose the time that another endpoint needs.
func TestOrderIsRefusedWhenItsShortWaitEnds(t *testing.T) {
	r := newTestRunner(t)
	d, out, _ := r.attach(&pb.DispatcherFrame{Dispatcher: "d", Incarnation: "1"}, func() {})
	out.TryTakeAll()
	now := clock.SinceBoot()
	r.policy.Apply(&policy.Snapshot{Revision: 1, Config: &policy.Config{Routes: []policy.Route{{Service: "svc"}}}})
	r.policy.Confirm(1, clock.SinceBoot())
	r.mu.Lock()
	r.session = &session{
		endpoint: &workload.Endpoint{ID: "e", Service: "svc"}, tracker: capacity.New(workload.Resources{MilliCPU: 1000}),
		health: capacity.NewHealth(), lastResponseAt: now, heartbeatAt: now,
	}
	d.leaseEnd = now + time.Minute
	r.handleOrder(&order{owner: d.owner(), runID: workload.RunID{Task: "j.0.0.0", Attempt: 1}, service: "svc", waitDeadline: now + 10*time.Millisecond}, now)
	queued := len(r.queue)
	r.mu.Unlock()
	must.Eq(t, 1, queued)
	var code uint32
	for end := time.Now().Add(5 * time.Second); code == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		items, _ := out.TryTakeAll()
		for _, item := range items {
			for _, e := range item.GetEvents() {
				code = e.GetCode()
			}
		}
	}
	must.Eq(t, uint32(result.NoFreeSlot), code)
}

// After a suspension of the runner, a response of the endpoint may be handled
// before the periodic check of the leases. An order that was queued before must
// not start then if its dispatcher's lease has expired meanwhile: the caller may
// have resent the job, and the task would run twice.
func TestQueuedOrderIsNotStartedAfterLeaseExpiry(t *testing.T) {
	r := newTestRunner(t)
	d, out, _ := r.attach(&pb.DispatcherFrame{Dispatcher: "d", Incarnation: "1"}, func() {})
	out.TryTakeAll()
	now := clock.SinceBoot()
	r.policy.Apply(&policy.Snapshot{Revision: 1, Config: &policy.Config{Routes: []policy.Route{{Service: "svc"}}}})
	r.policy.Confirm(1, clock.SinceBoot())
	resources := workload.Resources{MilliCPU: 1000}
	r.session = &session{
		endpoint: &workload.Endpoint{ID: "e", Service: "svc"}, client: platform.NewEndpointClient(network.TCP, "127.0.0.1:1", "e"),
		tracker: capacity.New(resources), health: capacity.NewHealth(), cancel: func() {}, lastResponseAt: now, heartbeatAt: now,
	}
	r.session.tracker.Reconcile(workload.RenewalResponse{}, now, now)
	r.queue = []*order{{
		owner: d.owner(), runID: workload.RunID{Task: "j.0.0.0", Attempt: 1}, service: "svc", resources: resources,
		waitDeadline: now + time.Second,
	}}
	d.leaseEnd = now - 1
	r.startQueued(now)
	must.Eq(t, 0, r.session.tracker.RunCount())
	items, _ := out.TryTakeAll()
	must.Len(t, 1, items)
	must.Eq(t, uint32(result.LeaseLapsed), items[0].GetEvents()[0].GetCode())
}

// A frame may hold orders of several jobs, each job's spec only once.
func TestOrderRepeatsSpecOfPreviousOrder(t *testing.T) {
	var specs []string
	for _, o := range newOrders("d/1", []*pb.RunOrder{
		{Spec: "a"}, {RepeatsSpec: true}, {Spec: ""}, {RepeatsSpec: true}, {Spec: "b"}, {RepeatsSpec: true},
	}, 0) {
		specs = append(specs, o.spec)
	}
	must.Eq(t, []string{"a", "a", "", "", "b", "b"}, specs)
}

// An echo proves when the dispatcher was alive. If one from the future extended the
// lease, the runs of a dispatcher that then dies would never be stopped, and its jobs
// would run twice.
func TestEchoFromTheFutureDoesNotExtendLease(t *testing.T) {
	r := newTestRunner(t)
	d, out, _ := r.attach(&pb.DispatcherFrame{Dispatcher: "d", Incarnation: "1"}, func() {})
	for _, ahead := range []time.Duration{time.Hour, math.MaxInt64 / 2} {
		r.handleFrame(d, out, &pb.DispatcherFrame{Beat: &pb.DispatcherBeat{EchoNs: int64(clock.SinceBoot() + ahead)}})
		must.LessEq(t, clock.SinceBoot()+lease.DispatcherTTL, d.leaseEnd)
	}
}

// Durations in an order that overflow would turn into negative ones.
func TestDurationsInOrderAreClamped(t *testing.T) {
	o := newOrder("d", "", &pb.RunOrder{EstimateUs: math.MaxInt64, PatienceUs: math.MaxInt64, SlackUs: math.MaxInt64}, time.Hour)
	must.Greater(t, time.Hour, min(o.estimate, o.waitDeadline, o.startDeadline))
	o = newOrder("d", "", &pb.RunOrder{EstimateUs: math.MinInt64, PatienceUs: math.MinInt64, SlackUs: math.MinInt64}, time.Hour)
	must.Eq(t, 0, o.estimate)
	must.Less(t, time.Hour, max(o.waitDeadline, o.startDeadline))
}

// The demand of the other dispatchers must be their sum, and that of a dispatcher that
// is frozen must no longer count: the capacity that it left would be refused to others.
func TestDemandOfSilentDispatcherDoesNotCount(t *testing.T) {
	r := newTestRunner(t)
	link := func(name string, demand []float64) *dispatcher {
		d, out, _ := r.attach(&pb.DispatcherFrame{Dispatcher: name, Incarnation: "1"}, func() {})
		r.handleFrame(d, out, &pb.DispatcherFrame{Beat: &pb.DispatcherBeat{LinkDemandByPriority: demand, LinkCallers: 1.5}})
		return d
	}
	first, second := link("first", []float64{1, 2}), link("second", []float64{10, math.NaN(), math.Inf(-1), 1, 2})
	link("old version", nil).linkCallers = 0
	asker := link("asker", []float64{100})
	s := r.stateFor(asker)
	must.Eq(t, []float64{11, 2, 0, 3}, s.GetOtherDemandByPriority())
	must.Eq(t, 3, s.GetOtherCallers())
	second.lastReceivedAt -= maxDemandAge
	must.Eq(t, []float64{1, 2}, r.stateFor(asker).GetOtherDemandByPriority(), must.Sprint("silent"))
	r.detach(first, first.outbox)
	must.SliceEmpty(t, r.stateFor(asker).GetOtherDemandByPriority(), must.Sprint("disconnected"))
}

// The start time of a process may be wrong once, or go back with the clock of its host.
// If later heartbeats counted as old for ever, the endpoint would be lost until the
// runner is restarted.
func TestProcessWithEarlierStartTimeReplacesOneThatIsGone(t *testing.T) {
	r := newTestRunner(t)
	r.mu.Lock()
	defer r.mu.Unlock()
	heartbeat := func(startedAtMS int64) int64 {
		r.applyEndpointHeartbeat(&workload.Endpoint{ID: "e", Address: "127.0.0.1:1", StartedAtMS: startedAtMS}, clock.SinceBoot())
		return r.session.endpoint.StartedAtMS
	}
	must.Eq(t, math.MaxInt64, heartbeat(math.MaxInt64))
	must.Eq(t, math.MaxInt64, heartbeat(5), must.Sprint("it may have been delayed"))
	r.session.heartbeatAt -= 2 * maxHeartbeatDelay
	must.Eq(t, 5, heartbeat(5))
	r.session.heartbeatAt -= 2 * maxHeartbeatDelay
	r.session.lastResponseAt = clock.SinceBoot()
	must.Eq(t, 5, heartbeat(4), must.Sprint("the known process responds"))
}

// A runner that was suspended may read a heartbeat before it notices that the dispatcher's
// lease expired meanwhile. The heartbeat must not revive what waits: the job's caller may
// have sent it to another dispatcher.
func TestHeartbeatDoesNotReviveAnExpiredLease(t *testing.T) {
	r := newTestRunner(t)
	d, out, _ := r.attach(&pb.DispatcherFrame{Dispatcher: "d", Incarnation: "1"}, func() {})
	now := clock.SinceBoot()
	r.queue = []*order{{owner: d.owner(), runID: workload.RunID{Task: "t", Attempt: 1}, waitDeadline: now + time.Hour}}
	d.leaseEnd = now - 1
	start := &pb.RunOrder{Run: &pb.RunRef{Task: "u", Attempt: 1}}
	r.handleFrame(d, out, &pb.DispatcherFrame{Beat: &pb.DispatcherBeat{EchoNs: int64(now)}, Starts: []*pb.RunOrder{start}})
	must.SliceEmpty(t, r.queue)
	must.True(t, d.expired)
	must.Eq(t, now-1, d.leaseEnd)
}

// A start prolongs the endpoint's lease for all runs there. Those of a dispatcher whose lease
// has expired unnoticed must be stopped before an order of another one is started.
func TestFrameOfOneDispatcherDoesNotProlongTheRunsOfAnother(t *testing.T) {
	r := newTestRunner(t)
	silent, _, _ := r.attach(&pb.DispatcherFrame{Dispatcher: "silent", Incarnation: "1"}, func() {})
	other, out, _ := r.attach(&pb.DispatcherFrame{Dispatcher: "other", Incarnation: "1"}, func() {})
	now := clock.SinceBoot()
	r.queue = []*order{{owner: silent.owner(), runID: workload.RunID{Task: "t", Attempt: 1}, waitDeadline: now + time.Hour}}
	silent.leaseEnd = now - 1
	r.handleFrame(other, out, &pb.DispatcherFrame{Beat: &pb.DispatcherBeat{EchoNs: int64(now)}})
	must.SliceEmpty(t, r.queue)
	must.True(t, silent.expired)
	must.False(t, other.expired)
}
