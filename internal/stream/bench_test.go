package stream_test

import (
	"context"
	"net/http"
	"testing"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1/pomelosillv1connect"
	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/stream"
)

// BenchmarkStream measures one round trip of a small message.
func BenchmarkStream(b *testing.B) {
	client, server := connPair(b)
	go echo(server)
	b.ReportAllocs()
	for b.Loop() {
		must.NoError(b, client.Send(startFrame("x")))
		must.NoError(b, client.Receive(&pb.RunnerFrame{}))
	}
}

func connPair(b *testing.B) (client, server *stream.Conn) {
	l, err := process.Listen(b.Context(), network.TCP, "127.0.0.1:0")
	must.NoError(b, err)
	accepted := make(chan *stream.Conn)
	go func() {
		c, err := l.Accept()
		if err == nil {
			accepted <- stream.NewConn(c)
		}
	}()
	client, err = stream.Dial(b.Context(), network.TCP, l.Addr().String())
	must.NoError(b, err)
	server = <-accepted
	b.Cleanup(func() {
		client.Close()
		server.Close()
		_ = l.Close()
	})
	return client, server
}

// echoService sends each frame of a connect-go stream back.
type echoService struct {
	pomelosillv1connect.UnimplementedPeerServiceHandler
}

func (echoService) Gossip(_ context.Context, st *connect.BidiStream[pb.GossipFrame, pb.GossipFrame]) error {
	for {
		f, err := st.Receive()
		if err != nil {
			return err
		}
		if err := st.Send(f); err != nil {
			return err
		}
	}
}

// BenchmarkConnect measures the same round trip over a connect-go stream.
func BenchmarkConnect(b *testing.B) {
	mux := http.NewServeMux()
	mux.Handle(pomelosillv1connect.NewPeerServiceHandler(echoService{}, process.WithoutCompression()))
	l, err := process.Listen(b.Context(), network.TCP, "127.0.0.1:0")
	must.NoError(b, err)
	server := process.NewServer(mux)
	go func() { _ = server.Serve(l) }()
	client := process.NewStreamClient(network.TCP)
	b.Cleanup(func() {
		client.CloseIdleConnections()
		_ = server.Close()
	})
	st := pomelosillv1connect.NewPeerServiceClient(client, "http://"+l.Addr().String()).Gossip(b.Context())
	b.ReportAllocs()
	for b.Loop() {
		must.NoError(b, st.Send(&pb.GossipFrame{Dispatcher: "x"}))
		_, err := st.Receive()
		must.NoError(b, err)
	}
	_ = st.CloseRequest()
}
