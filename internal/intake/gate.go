// Package intake bounds the memory and the connections that requests occupy while they are being
// read. Clients that don't behave send requests of legal size that cost many times that size,
// or stop short of the end of very many. Under pressure the connections that cost most are closed;
// without pressure no request is refused.
package intake

import (
	"net"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Limits bound what all requests that are being read may occupy together.
type Limits struct {
	// Memory is the estimated memory in bytes.
	Memory int64
	// Connections is the number of open connections.
	Connections int
}

const (
	// readingFraction is the part of a host's memory for requests that are being read, and
	// connectionsFraction that for connections, which take connectionBytes each: their
	// goroutine, their buffers and those of the kernel.
	readingFraction     = 8
	connectionsFraction = 4
	connectionBytes     = 32 << 10
	// defaultMemory is that of a host of which the memory is not known.
	defaultMemory = 256 << 20
)

// LimitsOf returns the limits for a process that may use so many bytes of memory, zero if that is
// unknown.
func LimitsOf(memory int64) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	return Limits{Memory: memory / readingFraction, Connections: int(memory / connectionsFraction / connectionBytes)}
}

// Gate applies limits to the connections of listeners. It is safe for concurrent use.
type Gate struct {
	limits Limits
	log    *zap.Logger

	mu    sync.Mutex
	conns map[*Conn]bool
	// memory is the sum of the connections' costs.
	memory int64
	// uses counts the uses of connections, to order them.
	uses uint64
	// closed counts the connections that were closed since loggedAt.
	closed   Closed
	loggedAt time.Time
}

// Closed counts closed connections by the limit that was reached.
type Closed struct{ Memory, Connections int }

// NewGate returns a gate with the limits.
func NewGate(l Limits, log *zap.Logger) *Gate {
	return &Gate{limits: l, log: log, conns: map[*Conn]bool{}}
}

// add adds a new connection. At the limit it closes the one that was used least recently of those
// without a complete request, and reports false if there is none.
func (g *Gate) add(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns) >= g.limits.Connections {
		g.closed.Connections++
		g.logClosed()
		oldest := g.leastRecentlyUsed()
		if oldest == nil {
			return false
		}
		g.drop(oldest)
	}
	g.use(c)
	g.conns[c] = true
	return true
}

func (g *Gate) use(c *Conn) {
	g.uses++
	c.usedAt = g.uses
}

// leastRecentlyUsed returns the connection without a complete request that was used least
// recently, nil if there is none.
func (g *Gate) leastRecentlyUsed() *Conn {
	var oldest *Conn
	for c := range g.conns {
		if c.phase != serving && (oldest == nil || c.usedAt < oldest.usedAt) {
			oldest = c
		}
	}
	return oldest
}

// charge adds to the cost of a connection. Above the limit it closes the connections that cost
// most, but for the only one.
func (g *Gate) charge(c *Conn, cost int64) {
	c.cost += cost
	g.memory += cost
	for g.memory > g.limits.Memory {
		costliest, count := g.costliest()
		if count < 2 {
			return
		}
		g.closed.Memory++
		g.logClosed()
		g.drop(costliest)
	}
}

// costliest returns the connection that costs most, and how many have a cost.
func (g *Gate) costliest() (costliest *Conn, count int) {
	for c := range g.conns {
		if c.cost == 0 {
			continue
		}
		count++
		if costliest == nil || c.cost > costliest.cost {
			costliest = c
		}
	}
	return costliest, count
}

// release ends the cost of a connection.
func (g *Gate) release(c *Conn) {
	g.memory -= c.cost
	c.cost = 0
}

// drop closes a connection at once.
func (g *Gate) drop(c *Conn) {
	g.forget(c)
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// What was received and not read is discarded.
		_ = l.SetLinger(0)
	}
	_ = c.Conn.Close()
}

func (g *Gate) forget(c *Conn) {
	if g.conns[c] {
		g.release(c)
		delete(g.conns, c)
	}
}

// logInterval is the minimum time between two lines about closed connections.
const logInterval = time.Second

func (g *Gate) logClosed() {
	if time.Since(g.loggedAt) < logInterval {
		return
	}
	g.log.Warn("intake: connections closed", zap.Int("for memory", g.closed.Memory), zap.Int("for their number", g.closed.Connections),
		zap.Int64("memory", g.memory), zap.Int("open", len(g.conns)))
	g.closed, g.loggedAt = Closed{}, time.Now()
}

// Listener returns a listener whose connections the gate limits.
func (g *Gate) Listener(l net.Listener) net.Listener { return &listener{Listener: l, gate: g} }

type listener struct {
	net.Listener
	gate *Gate
}

// receiveBufferBytes is the size of the kernel's buffer for bytes that are not read yet. Callers'
// requests are smaller.
const receiveBufferBytes = 16 << 10

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if b, ok := inner.(interface{ SetReadBuffer(bytes int) error }); ok {
			_ = b.SetReadBuffer(receiveBufferBytes)
		}
		c := &Conn{Conn: inner, gate: l.gate}
		if l.gate.add(c) {
			return c, nil
		}
		_ = inner.Close()
	}
}
