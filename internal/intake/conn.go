package intake

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"
)

// phase is what a connection does.
type phase int

const (
	// waiting connections have no request.
	waiting phase = iota
	// readingHeader and readingBody connections have a part of one.
	readingHeader
	readingBody
	// serving connections have a complete one.
	serving
)

// Costs in bytes of memory for each byte and each line that was read.
const (
	headerByteCost = 2
	headerLineCost = 200
	bodyByteCost   = 3
)

// Conn is a connection of a limited listener. The gate's lock guards its fields.
type Conn struct {
	net.Conn
	gate   *Gate
	phase  phase
	cost   int64
	usedAt uint64
}

// NetConn returns the connection that this one wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.onRead(b[:n])
	}
	return n, err
}

func (c *Conn) onRead(data []byte) {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.conns[c] {
		return
	}
	switch c.phase {
	case waiting:
		c.phase = readingHeader
		g.use(c)
		fallthrough
	case readingHeader:
		lines := bytes.Count(data, []byte{'\n'})
		g.charge(c, int64(len(data))*headerByteCost+int64(lines)*headerLineCost)
	case readingBody:
		g.charge(c, int64(len(data))*bodyByteCost)
	case serving:
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.gate.mu.Lock()
	c.gate.forget(c)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

// enter makes a connection enter a phase, and ends the cost of the one before.
func (c *Conn) enter(p phase) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.phase = p
	c.gate.use(c)
	c.gate.release(c)
}

type connKey struct{}

// ConnContext returns the context of a connection's requests, for http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf returns the connection of a request, nil if it is unknown.
func ConnOf(r *http.Request) net.Conn {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	return c
}

// limitedConnOf returns the connection of a request, nil if it isn't limited.
func limitedConnOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// bodyTimeout bounds the time that a body takes.
const bodyTimeout = 15 * time.Second

// Handler returns a handler that serves the requests of limited connections with next. It keeps
// only the named headers of a request: the others occupy memory for as long as it is served.
func Handler(next http.Handler, headers ...string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		keepHeaders(r, headers)
		c := limitedConnOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if r.ContentLength == 0 {
			c.enter(serving)
		} else {
			c.enter(readingBody)
			_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
		}
		defer c.enter(waiting)
		next.ServeHTTP(w, r)
	})
}

func keepHeaders(r *http.Request, names []string) {
	kept := make(http.Header, len(names))
	for _, name := range names {
		if values := r.Header.Values(name); len(values) > 0 {
			kept[http.CanonicalHeaderKey(name)] = []string{values[0]}
		}
	}
	r.Header = kept
}

// Complete tells the gate that a request has been read and decoded: it is served now, and may take
// any time.
func Complete(r *http.Request) {
	if c := limitedConnOf(r); c != nil {
		_ = c.SetReadDeadline(time.Time{})
		c.enter(serving)
	}
}
