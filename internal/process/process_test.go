package process

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/network"
)

// droppingConn passes a connection's bytes on until it drops everything in both
// directions, without closing anything.
type droppingConn struct {
	net.Conn
	dropping atomic.Bool
	closed   chan struct{}
	once     sync.Once
}

func (b *droppingConn) Read(p []byte) (int, error) {
	n, err := b.Conn.Read(p)
	if b.dropping.Load() {
		<-b.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (b *droppingConn) Write(p []byte) (int, error) {
	if b.dropping.Load() {
		return len(p), nil
	}
	return b.Conn.Write(p)
}

func (b *droppingConn) Close() error {
	b.once.Do(func() { close(b.closed) })
	return b.Conn.Close()
}

// A stream to a host that vanished without a word must end, so that what was
// sent on it goes out on another.
func TestStreamToAVanishedHostEnds(t *testing.T) {
	l, err := Listen(t.Context(), network.TCP, "127.0.0.1:0")
	must.NoError(t, err)
	release := make(chan struct{})
	server := NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).Flush()
		<-release
	}))
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	defer close(release)

	client := NewStreamClient(network.TCP)
	transport, ok := client.Transport.(*http.Transport)
	must.True(t, ok)
	var hole *droppingConn
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		hole = &droppingConn{Conn: c, closed: make(chan struct{})}
		return hole, err
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr().String(), nil)
	must.NoError(t, err)
	res, err := client.Do(req)
	must.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	hole.dropping.Store(true)
	_, err = io.ReadAll(res.Body)
	must.Error(t, err)
	must.NoError(t, ctx.Err(), must.Sprint("the stream did not end by itself"))
}
