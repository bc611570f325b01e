package intake

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
)

// client is one end of a connection of which the other is limited.
type client struct {
	t *testing.T
	net.Conn
	server *Conn
}

// connect opens a connection through the limiter.
func (l *Limiter) connect(t *testing.T) (*client, bool) {
	far, near := net.Pipe()
	c := &client{t: t, Conn: far, server: &Conn{Conn: near, limiter: l}}
	t.Cleanup(func() {
		_ = far.Close()
		_ = near.Close()
	})
	return c, l.add(c.server)
}

func (l *Limiter) mustConnect(t *testing.T) *client {
	c, added := l.connect(t)
	must.True(t, added)
	return c
}

// send sends bytes that the server reads.
func (c *client) send(data string) {
	c.t.Helper()
	go func() { _, _ = io.WriteString(c.Conn, data) }()
	_, err := io.ReadFull(c.server, make([]byte, len(data)))
	must.NoError(c.t, err)
}

// closed reports whether the server's end is closed.
func (c *client) closed() bool {
	c.server.limiter.mu.Lock()
	defer c.server.limiter.mu.Unlock()
	return !c.server.limiter.conns[c.server]
}

func TestCostliestConnectionIsClosedUnderPressure(t *testing.T) {
	l := NewLimiter(Limits{RequestBytes: 10_000, Connections: 10}, zap.NewNop())
	small, lines, body := l.mustConnect(t), l.mustConnect(t), l.mustConnect(t)
	small.send("GET / HTTP/1.1\r\n")
	body.server.enter(readingBody)
	body.send(strings.Repeat("x", 2000))
	must.False(t, small.closed() || lines.closed() || body.closed())
	// Its size is a tenth of that of the body.
	lines.send(strings.Repeat("a:\n", 60))
	must.True(t, lines.closed())
	must.False(t, small.closed() || body.closed())
	_, err := lines.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
}

// A request of any size is read while there is no other.
func TestOnlyRequestIsNeverClosed(t *testing.T) {
	l := NewLimiter(Limits{RequestBytes: 100, Connections: 10}, zap.NewNop())
	c := l.mustConnect(t)
	l.mustConnect(t)
	c.send(strings.Repeat("a:\n", 5000))
	must.False(t, c.closed())
}

func TestCostsEndWithTheRequest(t *testing.T) {
	l := NewLimiter(Limits{RequestBytes: 10_000, Connections: 10}, zap.NewNop())
	first, second := l.mustConnect(t), l.mustConnect(t)
	for range 10 {
		for _, c := range []*client{first, second} {
			c.send("POST / HTTP/1.1\r\n")
			c.server.enter(readingBody)
			c.send(strings.Repeat("x", 2000))
			c.server.enter(serving)
			c.send("P")
			c.server.enter(waiting)
		}
	}
	must.Eq(t, 0, l.requestBytes)
	must.NoError(t, first.server.Close())
	first.server.enter(waiting)
	must.MapLen(t, 1, l.conns)
}

func TestLeastRecentlyUsedConnectionIsClosedAtTheLimit(t *testing.T) {
	l := NewLimiter(Limits{RequestBytes: 1 << 20, Connections: 3}, zap.NewNop())
	served, idle, reading := l.mustConnect(t), l.mustConnect(t), l.mustConnect(t)
	served.server.enter(serving)
	idle.server.enter(waiting)
	reading.send("G")
	fourth := l.mustConnect(t)
	must.True(t, idle.closed())
	l.mustConnect(t)
	must.True(t, reading.closed())
	must.False(t, served.closed() || fourth.closed())
	for c := range l.conns {
		c.enter(serving)
	}
	_, added := l.connect(t)
	must.False(t, added, must.Sprint("all are being served"))
	must.MapLen(t, 3, l.conns)
}

// The headers of a request occupy memory for as long as it is served.
func TestHandlerDropsOtherHeaders(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(nil))
	r.Header.Add("x-kept", "70")
	r.Header.Add("X-Kept", "80")
	for range 100 {
		r.Header.Add("Other", "1")
	}
	var got http.Header
	Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got = r.Header }), "X-Kept").ServeHTTP(httptest.NewRecorder(), r)
	must.Eq(t, http.Header{"X-Kept": {"70"}}, got)
}

func TestLimitsOfKnownAndUnknownMemory(t *testing.T) {
	must.Eq(t, Limits{RequestBytes: 12 << 20, Connections: 800}, LimitsOf(100<<20))
	must.Eq(t, LimitsOf(defaultMemoryBytes), LimitsOf(0))
}
