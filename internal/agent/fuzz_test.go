package agent

import (
	"context"
	"math"
	"net/http"
	"testing"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/pomelosill/pomelosill/internal/gate"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
)

// unreachable is the transport to an endpoint that no request reaches.
type unreachable struct{}

func (unreachable) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errors.New("unreachable")
}

// FuzzOwnerFrame applies frames with arbitrary content. None may end the
// process, run more tasks than there are slots, or permit starts for longer than
// the freshness limit.
func FuzzOwnerFrame(f *testing.F) {
	id := uuid.Must(uuid.NewV7())
	fence := &pb.Fence{Generation: 1}
	stamp := &pb.Stamp{Generation: 1, InService: true}
	for _, frame := range []*pb.OwnerFrame{
		{},
		{Fence: fence, Stamp: stamp, Starts: []*pb.Start{newStart(1, id, 0), newStart(1, id, 1), newStart(1, id, 1), {}}, Cancels: []*pb.TaskRef{{Submission: id[:]}, {}}, Released: [][]byte{id[:], {1}}},
		{Fence: fence, Stamp: &pb.Stamp{Generation: 1, InService: true, AgeNs: math.MaxInt64}},
		{Fence: fence, Stamp: &pb.Stamp{Generation: 1, InService: true, EchoNs: math.MinInt64, AgeNs: 1}},
		{Fence: fence, Stamp: stamp, Starts: []*pb.Start{{Generation: 1, TimeoutNs: math.MaxInt64, Task: &pb.TaskRef{Submission: id[:], Index: math.MaxUint32}, Team: "\r\n"}}},
		{Location: &pb.Location{Cell: math.MaxUint32, Owner: "a", Deputy: "a", ControlRevision: math.MaxUint64, Entries: []string{""}}, Fence: &pb.Fence{Cell: math.MaxUint32, Generation: math.MaxUint64}},
	} {
		data, err := proto.Marshal(frame)
		must.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		frame := &pb.OwnerFrame{}
		if proto.Unmarshal(data, frame) != nil {
			return
		}
		a := newDetachedAgent(t)
		st := newStream("entry", a.now())
		a.handleFrame(st, frame)
		a.handleFrame(st, frame)
		state := a.gate.State(a.now())
		must.Between(t, 0, state.Running, a.settings.Slots)
		later := a.now() + 2*a.settings.Freshness.Std()
		start := gate.Start{Cell: state.Cell, Generation: state.Generation}
		must.Positive(t, a.gate.Recheck(later, start), must.Sprint("a start is permitted after the freshness limit"))
	})
}

// newDetachedAgent returns an agent that opens no connections.
func newDetachedAgent(t *testing.T) *Agent {
	s := DefaultSettings()
	s.Endpoint, s.Slots, s.EndpointURL = "e-1", 2, "http://127.0.0.1:1"
	a, err := New(s, "test", zap.NewNop())
	must.NoError(t, err)
	a.endpoint.client.Transport = unreachable{}
	a.links.attach = func(ctx context.Context, _ string) error {
		<-ctx.Done()
		return ctx.Err()
	}
	t.Cleanup(func() {
		a.cancelStreams()
		a.links.wait()
		a.runner.stop()
	})
	return a
}
