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
	// RequestBytes is the estimated memory of requests.
	RequestBytes int64
	// Connections is the number of open connections.
	Connections int
}

const (
	// requestsPercent is the part of a process's memory for requests that are being read, and
	// connectionsPercent that for connections, which take connectionBytes each: their
	// goroutine, their buffers and those of the kernel.
	requestsPercent    = 12
	connectionsPercent = 25
	connectionBytes    = 32 << 10
	// defaultMemoryBytes is the memory of a process that isn't told it.
	defaultMemoryBytes = 256 << 20
)

// LimitsOf returns the limits for a process that may use so many bytes of memory, zero if that is
// unknown.
func LimitsOf(memoryBytes int64) Limits {
	if memoryBytes <= 0 {
		memoryBytes = defaultMemoryBytes
	}
	return Limits{
		RequestBytes: memoryBytes / 100 * requestsPercent,
		Connections:  int(memoryBytes / 100 * connectionsPercent / connectionBytes),
	}
}

// Limiter applies limits to the connections of listeners. It is safe for concurrent use.
type Limiter struct {
	limits Limits
	log    *zap.Logger

	mu    sync.Mutex
	conns map[*Conn]bool
	// requestBytes is the sum of the connections' costs.
	requestBytes int64
	// uses counts the uses of connections, to order them.
	uses uint64
	// closedForMemory and closedForNumber count the connections that were closed since
	// loggedAt, by the limit that was reached.
	closedForMemory, closedForNumber int
	loggedAt                         time.Time
}

// NewLimiter returns a limiter with the limits.
func NewLimiter(l Limits, log *zap.Logger) *Limiter {
	return &Limiter{limits: l, log: log, conns: map[*Conn]bool{}}
}

// add adds a new connection. At the limit it closes the one that was used least recently of those
// without a complete request, and reports false if there is none.
func (l *Limiter) add(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.limits.Connections {
		l.closedForNumber++
		l.logClosed()
		oldest := l.leastRecentlyUsed()
		if oldest == nil {
			return false
		}
		l.drop(oldest)
	}
	l.use(c)
	l.conns[c] = true
	return true
}

func (l *Limiter) use(c *Conn) {
	l.uses++
	c.usedAt = l.uses
}

// leastRecentlyUsed returns the connection without a complete request that was used least
// recently, nil if there is none.
func (l *Limiter) leastRecentlyUsed() *Conn {
	var oldest *Conn
	for c := range l.conns {
		if c.phase != serving && (oldest == nil || c.usedAt < oldest.usedAt) {
			oldest = c
		}
	}
	return oldest
}

// charge adds to the cost of a connection. Above the limit it closes the connections that cost
// most, but for the only one.
func (l *Limiter) charge(c *Conn, cost int64) {
	c.cost += cost
	l.requestBytes += cost
	for l.requestBytes > l.limits.RequestBytes {
		costliest, count := l.costliest()
		if count < 2 {
			return
		}
		l.closedForMemory++
		l.logClosed()
		l.drop(costliest)
	}
}

// costliest returns the connection that costs most, and how many have a cost.
func (l *Limiter) costliest() (costliest *Conn, count int) {
	for c := range l.conns {
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
func (l *Limiter) release(c *Conn) {
	l.requestBytes -= c.cost
	c.cost = 0
}

// drop closes a connection at once.
func (l *Limiter) drop(c *Conn) {
	l.forget(c)
	if inner, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// What was received and not read is discarded.
		_ = inner.SetLinger(0)
	}
	_ = c.Conn.Close()
}

func (l *Limiter) forget(c *Conn) {
	if l.conns[c] {
		l.release(c)
		delete(l.conns, c)
	}
}

// logInterval is the minimum time between two lines about closed connections.
const logInterval = time.Second

func (l *Limiter) logClosed() {
	if time.Since(l.loggedAt) < logInterval {
		return
	}
	l.log.Warn("intake: connections closed", zap.Int("for memory", l.closedForMemory), zap.Int("for their number", l.closedForNumber),
		zap.Int64("request bytes", l.requestBytes), zap.Int("open", len(l.conns)))
	l.closedForMemory, l.closedForNumber, l.loggedAt = 0, 0, time.Now()
}

// Listener returns a listener whose connections are limited.
func (l *Limiter) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, limiter: l}
}

type listener struct {
	net.Listener
	limiter *Limiter
}

// receiveBufferBytes is the size of the kernel's buffer for bytes that are not read yet. It holds
// the largest segment of the loopback interface: with less, each waits for a timer.
const receiveBufferBytes = 64 << 10

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
		c := &Conn{Conn: inner, limiter: l.limiter}
		if l.limiter.add(c) {
			return c, nil
		}
		_ = inner.Close()
	}
}
