package runner

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/pomelosill/pomelosill/internal/capacity"
	"github.com/pomelosill/pomelosill/internal/clock"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/workload"
	"github.com/pomelosill/pomelosill/platform"
)

// FuzzHandleFrame applies frames with arbitrary content. None may end the
// process, nor start a run that exceeds the endpoint's capacity.
func FuzzHandleFrame(f *testing.F) {
	for _, frame := range []*pb.DispatcherFrame{
		{},
		{Starts: []*pb.RunOrder{nil, {}, {Run: &pb.RunRef{Task: "j.0.0.0"}, Service: "svc", CpuMilli: 1 << 63, Number: 1}}},
		{Starts: []*pb.RunOrder{{Run: &pb.RunRef{Task: "j.0.0.0", Attempt: 1}, Service: "svc", CpuMilli: 10, RepeatsSpec: true, EstimateUs: -1, PatienceUs: -1 << 62, SlackUs: 1 << 62, Priority: 1<<32 - 1}}},
		{Starts: []*pb.RunOrder{{Run: &pb.RunRef{Task: "x"}, Service: "svc", Contained: true, Route: "r"}, {Run: &pb.RunRef{Task: "j.0.0.0"}, Service: "svc", Contained: true}}},
		{Starts: []*pb.RunOrder{{Run: &pb.RunRef{Task: "j.0.0.0"}, Service: "svc", CpuMilli: 10, Overflow: true, Contained: true, PatienceUs: 1 << 62}}},
		{Beat: &pb.DispatcherBeat{EchoNs: -1 << 63, StateGapUs: -1 << 63, LinkLoad: -1}, Stops: []*pb.RunRef{nil, {Task: "x"}}},
		{Policy: &pb.Policy{Revision: 1 << 63, Config: []byte("{"), Evacuated: []string{""}}},
	} {
		data, err := proto.Marshal(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		frame := &pb.DispatcherFrame{}
		if proto.Unmarshal(data, frame) != nil {
			return
		}
		r := newTestRunner(t)
		d, out, _ := r.attach(&pb.DispatcherFrame{Dispatcher: "d", Incarnation: "1"}, func() {})
		now := clock.SinceBoot()
		r.policy.Apply(&policy.Snapshot{Revision: 1, Config: &policy.Config{Routes: []policy.Route{{Service: "svc"}}}})
		r.policy.Confirm(1, clock.SinceBoot())
		free := workload.Resources{MilliCPU: 1000, MemoryMB: 1000, GPUs: 1}
		r.session = &session{
			endpoint: &workload.Endpoint{ID: "e", Service: "svc"}, client: platform.NewEndpointClient(network.TCP, "127.0.0.1:1", "e"),
			tracker: capacity.New(free), health: capacity.NewHealth(), cancel: func() {}, lastResponseAt: now, heartbeatAt: now,
		}
		r.session.tracker.Reconcile(workload.RenewalResponse{}, now, now)
		r.handleFrame(d, out, frame)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.checkAll()
		used := r.session.tracker.Used()
		if !used.Fits(free) || used.MilliCPU < 0 || used.MemoryMB < 0 || used.GPUs < 0 {
			t.Fatalf("%+v of %+v is used", used, free)
		}
	})
}
