package stream_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/stream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serve starts a server and returns it with its address.
func serve(t *testing.T, handle func(*stream.Conn)) (string, *stream.Server) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := stream.Serve(l, handle, zap.NewNop())
	t.Cleanup(s.Close)
	return l.Addr().String(), s
}

func dial(t *testing.T, address string) *stream.Conn {
	c, err := stream.Dial(t.Context(), network.TCP, address)
	must.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

// echo replies to every frame with the spec of its first start, in the Runner
// field.
func echo(c *stream.Conn) {
	for {
		f := &pb.DispatcherFrame{}
		if err := c.Receive(f); err != nil {
			return
		}
		if err := c.Send(&pb.RunnerFrame{Runner: f.GetStarts()[0].GetSpec()}); err != nil {
			return
		}
	}
}

func startFrame(spec string) *pb.DispatcherFrame {
	return &pb.DispatcherFrame{Starts: []*pb.RunOrder{{Spec: spec}}}
}

func TestMessagesOfAllSizesAreUnchanged(t *testing.T) {
	address, _ := serve(t, echo)
	c := dial(t, address)
	for _, size := range []int{0, 1, 100, 8 << 10, 200 << 10, 1 << 20} {
		spec := strings.Repeat("x", size)
		must.NoError(t, c.Send(startFrame(spec)))
		got := &pb.RunnerFrame{Runner: "previous value"}
		must.NoError(t, c.Receive(got))
		must.True(t, got.GetRunner() == spec, must.Sprintf("sent %d bytes, received %d", size, len(got.GetRunner())))
	}
}

func TestManyMessagesKeepTheirOrder(t *testing.T) {
	address, _ := serve(t, echo)
	c := dial(t, address)
	specs := strings.Split(strings.Repeat("a b c d e ", 50), " ")
	go func() {
		for _, s := range specs {
			_ = c.Send(startFrame(s))
		}
	}()
	for _, s := range specs {
		got := &pb.RunnerFrame{}
		must.NoError(t, c.Receive(got))
		must.Eq(t, s, got.GetRunner())
	}
}

// receiveRaw sends raw bytes to a Conn and returns the error of its Receive.
func receiveRaw(raw []byte) error {
	local, remote := net.Pipe()
	go func() {
		_, _ = remote.Write(raw)
		_ = remote.Close()
	}()
	c := stream.NewConn(local)
	defer c.Close()
	return c.Receive(&pb.RunnerFrame{})
}

func TestMalformedMessagesAreErrors(t *testing.T) {
	must.ErrorIs(t, receiveRaw(nil), io.EOF)
	cases := map[string][]byte{
		"truncated message":    {10, 1, 2},
		"malformed size":       {0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"size above the limit": {0x80, 0x80, 0x80, 0x80, 0x01},
		"malformed message":    {3, 0xff, 0xff, 0xff},
	}
	for name, raw := range cases {
		err := receiveRaw(raw)
		must.Error(t, err, must.Sprint(name))
		must.False(t, errors.Is(err, io.EOF), must.Sprint(name))
	}
}

func TestCloseEndsBlockedCalls(t *testing.T) {
	block := make(chan struct{})
	address, _ := serve(t, func(*stream.Conn) { <-block })
	defer close(block)
	c := dial(t, address)
	ended := make(chan error, 2)
	go func() { ended <- c.Receive(&pb.RunnerFrame{}) }()
	go func() {
		for {
			if err := c.Send(startFrame(strings.Repeat("x", 1<<20))); err != nil {
				ended <- err
				return
			}
		}
	}()
	time.Sleep(50 * time.Millisecond)
	c.Close()
	must.Error(t, <-ended)
	must.Error(t, <-ended)
}

func TestServerCloseEndsConnections(t *testing.T) {
	address, server := serve(t, echo)
	c := dial(t, address)
	must.NoError(t, c.Send(startFrame("x")))
	must.NoError(t, c.Receive(&pb.RunnerFrame{}))
	server.Close()
	must.Error(t, c.Receive(&pb.RunnerFrame{}))
	_, err := stream.Dial(t.Context(), network.TCP, address)
	must.Error(t, err)
}

func TestDialReturnsWhenItsContextIsCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := stream.Dial(ctx, network.TCP, "127.0.0.1:1")
	must.ErrorIs(t, err, context.Canceled)
}
