package simulate

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// chunkBytes is the maximum size of a chunk; maxQueuedChunks is how many
	// chunks a writer may be ahead of its reader. A writer that waits for longer may hold a
	// lock that others wait for, and simulated time stands still while anybody waits for a
	// lock.
	chunkBytes      = 32 << 10
	maxQueuedChunks = 4096
)

// conn is a connection between two nodes.
type conn struct {
	from, to string
	network  *simNetwork
	// ends are the ends of the two pipes that make up the connection, from the
	// client's to the server's.
	ends [4]net.Conn
	// stop is closed when the connection is closed, silenced when it must
	// deliver no more data without being closed.
	stop        chan struct{}
	silenced    chan struct{}
	closeOnce   sync.Once
	silenceOnce sync.Once
}

func (c *conn) close() {
	c.closeOnce.Do(func() {
		close(c.stop)
		for _, end := range c.ends {
			_ = end.Close()
		}
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
}

func (c *conn) silence() { c.silenceOnce.Do(func() { close(c.silenced) }) }

// connect opens a connection and returns its two ends.
func (n *simNetwork) connect(from, to string) (client, server net.Conn) {
	client, a := net.Pipe()
	b, server := net.Pipe()
	c := &conn{from: from, to: to, network: n, ends: [4]net.Conn{client, a, b, server}, stop: make(chan struct{}), silenced: make(chan struct{})}
	n.mu.Lock()
	n.conns[c] = true
	n.mu.Unlock()
	go c.forward(b, a, route{from, to})
	go c.forward(a, b, route{to, from})
	return &clientEnd{Conn: client, conn: c}, server
}

// clientEnd is the end of a connection that its opener holds.
type clientEnd struct {
	net.Conn
	conn *conn
	// resets makes Close discard the data in flight.
	resets atomic.Bool
}

// SetLinger works like that of net.TCPConn: with zero seconds Close discards the
// data in flight.
func (e *clientEnd) SetLinger(seconds int) error {
	e.resets.Store(seconds == 0)
	return nil
}

// Close implements net.Conn.
func (e *clientEnd) Close() error {
	if e.resets.Load() {
		e.conn.close()
	}
	return e.Conn.Close()
}

type chunk struct {
	data []byte
	due  time.Time
}

// forward reads the data of one direction and queues it for deliver.
func (c *conn) forward(dst, src net.Conn, r route) {
	chunks := make(chan chunk, maxQueuedChunks)
	go c.deliver(dst, chunks, r)
	defer close(chunks)
	buffer := make([]byte, chunkBytes)
	for {
		n, err := src.Read(buffer)
		if err != nil {
			return
		}
		select {
		case chunks <- chunk{bytes.Clone(buffer[:n]), c.network.arrivesAt(r, n)}:
		case <-c.stop:
			return
		}
	}
}

// sleepUntil waits until a time and reports whether the connection is still open then.
func (c *conn) sleepUntil(t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.stop:
		return false
	}
}

// deliver writes each chunk when it is due and the route is open. It closes the
// connection after the last chunk.
func (c *conn) deliver(dst net.Conn, chunks <-chan chunk, r route) {
	for ch := range chunks {
		if !c.sleepUntil(ch.due) || !c.network.waitOpen(r, c.stop) || !c.sleepUntil(c.network.receivedAt(r, len(ch.data))) {
			break
		}
		select {
		case <-c.silenced:
			continue
		default:
		}
		if _, err := dst.Write(ch.data); err != nil {
			break
		}
	}
	select {
	case <-c.silenced:
		<-c.stop
	default:
		time.Sleep(c.network.latency(r))
		c.network.waitOpen(r, c.stop)
	}
	c.close()
	for range chunks {
		continue
	}
}
