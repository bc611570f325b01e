package entry

import (
	"math"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/pomelosill/pomelosill/internal/cell"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/outbox"
)

// addSeeds adds the encoded messages as seeds.
func addSeeds(f *testing.F, messages ...proto.Message) {
	for _, m := range messages {
		data, err := proto.Marshal(m)
		must.NoError(f, err)
		f.Add(data)
	}
}

// newServingRegistry returns a registry and its only cell, which serves.
func newServingRegistry(t *testing.T) (*agentRegistry, *cell.Cell) {
	d := documentOwnedBy(2, "e1", 4)
	state := newControlState("e1")
	state.UpdateFromStore(d, 20, time.Now())
	c := servingCell(t, d)
	return &agentRegistry{
		control: state, freshness: 3 * time.Second, log: zap.NewNop(), counters: &counters{},
		limits:    agentLimits{maxFreshness: 3 * time.Second, minRetention: time.Minute},
		localCell: func(uint32) *cell.Cell { return c }, streams: map[string]*agentStream{},
	}, c
}

// FuzzAgentFrame applies frames with arbitrary content. None may end the process,
// violate an invariant, or keep a submission from its answer.
func FuzzAgentFrame(f *testing.F) {
	id := uuid.Must(uuid.NewV7())
	task := func(index uint32) *pb.TaskRef { return &pb.TaskRef{Submission: id[:], Index: index} }
	hello := &pb.Hello{Endpoint: "e-1", Incarnation: "i", Slots: math.MaxUint32, FailureDomain: "d", RecordRetentionNs: math.MaxInt64}
	ack := &pb.FenceAck{Generation: 4, Records: []*pb.Outcome{{}, {Task: task(0), Running: true}, {Task: task(0), Running: true}, {Task: task(1 << 31), Code: math.MaxUint32}}}
	addSeeds(f,
		&pb.AgentFrame{},
		&pb.AgentFrame{Hello: hello, FenceAck: &pb.FenceAck{Generation: 4}, Heartbeat: &pb.Heartbeat{SentNs: math.MinInt64, ControlRevision: math.MaxUint64}},
		&pb.AgentFrame{Hello: hello, FenceAck: ack, Heartbeat: &pb.Heartbeat{}, Outcomes: []*pb.Outcome{{}, {Task: task(0), RunNs: math.MaxInt64}, {Task: task(0), RunNs: math.MinInt64, Code: 601}}},
		&pb.AgentFrame{FenceAck: &pb.FenceAck{Generation: 4}, Heartbeat: &pb.Heartbeat{Leaving: true}, Outcomes: []*pb.Outcome{{Task: task(0), Code: 1 << 31}}},
	)
	f.Fuzz(func(t *testing.T, data []byte) {
		frame := &pb.AgentFrame{}
		if proto.Unmarshal(data, frame) != nil {
			return
		}
		a, c := newServingRegistry(t)
		st := &agentStream{hello: frame.GetHello(), out: outbox.New[*pb.OwnerFrame]()}
		if a.limits.validate(st.hello) != nil {
			st.hello = &pb.Hello{Endpoint: "e-1", Incarnation: "i", Slots: 2}
		}
		a.attach(st)
		a.handleFrame(st, frame)
		c.MarkAgentListStored(c.AgentListToStore(time.Now()), time.Now())
		var answers []*pb.Answer
		c.Submit(&pb.Submission{Id: id[:], Team: "alerts", TimeoutNs: int64(time.Minute), Tasks: []*pb.Task{{}, {}}}, func(a *pb.Answer) { answers = append(answers, a) }, time.Now())
		a.handleFrame(st, frame)
		c.Tick(time.Now().Add(time.Second))
		a.detach(st)
		c.Tick(time.Now().Add(2 * time.Hour))
		must.Len(t, 1, answers)
		must.Zero(t, c.State().Counters.InvariantFailures)
	})
}

// FuzzRelayRequest relays requests with arbitrary content to the owner of a cell.
// None may end the process, violate an invariant, or keep a submission from its
// answer.
func FuzzRelayRequest(f *testing.F) {
	id := uuid.Must(uuid.NewV7())
	addSeeds(f,
		&pb.RelayRequest{},
		&pb.RelayRequest{Submissions: []*pb.Submission{
			{}, {Id: id[:], Team: "alerts"}, {Id: id[:], Team: "alerts", TimeoutNs: math.MinInt64, Tasks: []*pb.Task{{DeclaredRunNs: math.MinInt64}}},
			{Id: id[:], Team: "alerts", Generation: 4, TimeoutNs: math.MaxInt64, Tasks: []*pb.Task{{DeclaredRunNs: math.MaxInt64}, {}}},
		}, Cancels: []*pb.Cancel{{}, {Id: id[:]}, {Id: id[:], Cell: math.MaxUint32}}},
	)
	f.Fuzz(func(t *testing.T, data []byte) {
		req := &pb.RelayRequest{}
		if proto.Unmarshal(data, req) != nil {
			return
		}
		a, c := newServingRegistry(t)
		e := &Entry{
			control: a.control, counters: &counters{}, confirmer: newAnswerConfirmer(a.control, func() {}, time.Minute),
			ownership: &ownership{cells: map[uint32]*ownedCell{0: {cell: c}}},
		}
		out := outbox.New[*pb.Answer]()
		e.handleRelay(req, out)
		c.Tick(time.Now().Add(time.Second))
		c.Close()
		answers, _ := out.TryTakeAll()
		must.Len(t, len(req.GetSubmissions()), append(answers, make([]*pb.Answer, len(e.confirmer.held))...))
		must.Zero(t, c.State().Counters.InvariantFailures)
	})
}
