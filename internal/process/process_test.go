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

// droppingConn is a connection that can be set to drop all bytes in both
// directions without closing, like one to a host that has lost its network.
type droppingConn struct {
	net.Conn
	dropping atomic.Bool
	closed   chan struct{}
	once     sync.Once
}

func (c *droppingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.dropping.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *droppingConn) Write(p []byte) (int, error) {
	if c.dropping.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *droppingConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// TestStreamToUnreachableHostEnds guards against streams that stay open to a
// host that has lost power or network, and so closes no connection. They must
// end by themselves, so that what was sent on them can be sent elsewhere.
func TestStreamToUnreachableHostEnds(t *testing.T) {
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
	var conn *droppingConn
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		conn = &droppingConn{Conn: c, closed: make(chan struct{})}
		return conn, err
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr().String(), nil)
	must.NoError(t, err)
	res, err := client.Do(req)
	must.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	conn.dropping.Store(true)
	_, err = io.ReadAll(res.Body)
	must.Error(t, err)
	must.NoError(t, ctx.Err(), must.Sprint("the stream did not end by itself"))
}
