package dispatch

import (
	"context"
	"math"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/directory"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/placement"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/workload"
)

// addSeeds adds the encoded messages as seeds.
func addSeeds(f *testing.F, messages ...proto.Message) {
	for _, m := range messages {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
}

// newServingDispatcher returns a dispatcher with a policy, a linked runner and
// its connection, which neither listens nor dials.
func newServingDispatcher(t testing.TB) (*Dispatcher, *runner) {
	s := DefaultSettings()
	s.Name = "d-0"
	d, err := New(network.TCP, &s, zap.NewNop())
	must.NoError(t, err)
	d.runCtx, d.startedAt = t.Context(), clock.SinceBoot()
	route := policy.Route{Name: "r", Prefix: "/p/", Service: "svc", MaxAttempts: 2, Stretch: 1.6}
	d.policy.Apply(&policy.Snapshot{Revision: 1, Config: &policy.Config{Routes: []policy.Route{route}}})
	r := d.link(directory.Node{Name: "r-0", Role: directory.Runner, Address: "a:1"})
	_, cancel := context.WithCancelCause(t.Context())
	mustConnect(t, d, r, &pb.RunnerFrame{Incarnation: "1"}, cancel)
	return d, r
}

// FuzzRunnerFrame applies frames with arbitrary content. None may end the
// process, and a job must still be admitted or refused afterwards.
func FuzzRunnerFrame(f *testing.F) {
	run := &pb.RunRef{Task: workload.TaskID{Job: "j"}.String(), Attempt: 1}
	addSeeds(f,
		&pb.RunnerFrame{},
		&pb.RunnerFrame{Events: []*pb.RunEvent{{}, {Run: run, End: pb.RunEnd_RUN_END_DONE}, {Run: run, End: 99, Code: 1 << 31}}},
		&pb.RunnerFrame{Beat: &pb.RunnerBeat{SentNs: -1 << 63, PolicyRevision: 1 << 63}, Held: []*pb.RunRef{{}}},
		&pb.RunnerFrame{State: &pb.RunnerState{Ready: true, Healthy: true, Service: "svc", CapacityCpu: 1 << 63, UsedCpu: 1<<64 - 1, SpeedPercent: 1 << 63, Handled: 1<<64 - 1, OtherLoad: -1, WaitingCpu: 1 << 63}},
		&pb.RunnerFrame{State: &pb.RunnerState{Ready: true, Healthy: true, Service: "svc", CapacityCpu: 8000, SpeedPercent: 100, RatedSpeedPercent: 1<<64 - 1}, Policy: &pb.Policy{Revision: 9, Config: []byte("{")}},
		&pb.RunnerFrame{State: &pb.RunnerState{Ready: true, Healthy: true, Service: "svc", CapacityCpu: 8000, SpeedPercent: 100}, Policy: &pb.Policy{Revision: 9, Config: []byte("{")}},
		&pb.RunnerFrame{State: &pb.RunnerState{Slow: true, Service: "svc", CapacityCpu: 1 << 63, UsedCpu: 1<<64 - 1, SpeedPercent: 1 << 63}},
		&pb.RunnerFrame{State: &pb.RunnerState{
			Ready: true, Healthy: true, Service: "svc", CapacityCpu: 1, SpeedPercent: 100, WaitingCpuByPriority: []uint64{1<<64 - 1, 1, 1, 1, 1 << 63},
			OtherDemandByPriority: []float64{math.NaN(), math.Inf(1), -1, 1e308, 1e308}, OtherCallers: math.Inf(-1),
		}},
		&pb.RunnerFrame{Crashes: []*pb.CrashReport{{}, {Life: "1", AgeUs: -1 << 63, Runs: []*pb.CrashedRun{{}, {Task: run.GetTask(), AgeUs: -1 << 63, Contained: true}}}, {Life: "2", AgeUs: 1 << 62, Runs: []*pb.CrashedRun{{Task: run.GetTask(), Route: "r"}}}}},
	)
	f.Fuzz(func(t *testing.T, data []byte) {
		frame := &pb.RunnerFrame{}
		if proto.Unmarshal(data, frame) != nil {
			return
		}
		d, r := newServingDispatcher(t)
		d.applyPriorities(0, 1)
		job := &workload.Job{ID: "j", Steps: []workload.Step{{Count: 2, Resources: workload.Resources{MilliCPU: 1000}}}}
		now := clock.SinceBoot()
		route := &d.policy.Current().Config.Routes[0]
		_, _ = d.admit(job, route, "192.0.2.1", now, now+defaultCallerTimeout)
		d.onFrame(r, r.outbox, frame)
		second := *job
		second.ID = "k"
		_, _ = d.admit(&second, route, "192.0.2.1", now, now+defaultCallerTimeout)
		d.mu.Lock()
		defer d.mu.Unlock()
		for level, figure := range d.contentionState(placement.Anywhere, 1, now).Demand {
			if !(figure >= 0 && !math.IsInf(figure, 0)) {
				t.Fatalf("the demand of level %d is %v", level, figure)
			}
		}
		if share := d.loadShare(now); !(share > 0 && share <= 1) {
			t.Fatalf("the share of the load is %v", share)
		}
	})
}

// FuzzGossipFrame applies frames with arbitrary content.
func FuzzGossipFrame(f *testing.F) {
	addSeeds(f,
		&pb.GossipFrame{},
		&pb.GossipFrame{Dispatcher: "d-1", PolicyRevision: 1<<64 - 1, DirectoryDigest: 1<<64 - 1},
		&pb.GossipFrame{Policy: &pb.Policy{Revision: 1 << 63, Config: []byte(`{"version":-1,"routes":[null]}`)}, Nodes: []*pb.Node{{}, {Name: "d-0", Role: "dispatcher", Revision: 1 << 63}, {Name: "x", Role: "?", Address: "y"}}},
		&pb.GossipFrame{Crashes: crashReport("1", true)},
	)
	f.Fuzz(func(t *testing.T, data []byte) {
		frame := &pb.GossipFrame{}
		if proto.Unmarshal(data, frame) != nil {
			return
		}
		d, _ := newServingDispatcher(t)
		g := newGossipStream(d, func(*pb.GossipFrame) error { return nil }, nil)
		g.handleFrame(frame)
		g.nextFrame()
		for _, n := range d.directory.Nodes(directory.Runner) {
			must.NotEq(t, "", n.Address, must.Sprint("a node that can't be dialled"))
		}
		d.newWantedConnections()
	})
}
