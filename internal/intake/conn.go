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

// Costs of a request, in bytes of memory for each byte and each line that was read.
const (
	headerByteCost = 2
	headerLineCost = 200
	bodyByteCost   = 3
)

// Conn is a connection of a limited listener. The limiter's lock guards its fields.
type Conn struct {
	net.Conn
	limiter *Limiter
	phase   phase
	// cost is the estimated memory of the request in bytes.
	cost int64
	// usedAt orders the connections by their last use.
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
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.conns[c] {
		return
	}
	switch c.phase {
	case waiting:
		c.phase = readingHeader
		l.use(c)
		fallthrough
	case readingHeader:
		lines := bytes.Count(data, []byte{'\n'})
		l.charge(c, int64(len(data))*headerByteCost+int64(lines)*headerLineCost)
	case readingBody:
		l.charge(c, int64(len(data))*bodyByteCost)
	case serving:
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.limiter.mu.Lock()
	c.limiter.forget(c)
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}

// enter makes a connection enter a phase, and ends the cost of the one before.
func (c *Conn) enter(p phase) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.phase = p
	c.limiter.use(c)
	c.limiter.release(c)
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

// Complete tells the limiter that a request has been read and decoded: it is served now, and may take
// any time.
func Complete(r *http.Request) {
	if c := limitedConnOf(r); c != nil {
		_ = c.SetReadDeadline(time.Time{})
		c.enter(serving)
	}
}
