package simulate

import (
	"sync"
	"time"
)

// baseLatency is the latency of a message on a route without faults.
const baseLatency = time.Millisecond

// simNetwork connects the nodes of a simulation.
type simNetwork struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	// blocked are the routes on which nothing is delivered.
	blocked map[route]bool
	// refusing are the nodes without a process, whose hosts refuse connections.
	refusing map[string]bool
	// delays are added to the latency of routes.
	delays  map[route]time.Duration
	changed chan struct{}
	// links are the links of nodes that have a limited one.
	links map[string]*link
}

// link is what connects a node to the network. It carries so many bytes a second in each
// direction, one message after the other.
type link struct {
	bytesPerSecond float64
	// sendsAt and receivesAt are when the last message will have been carried.
	sendsAt, receivesAt time.Time
}

// carry returns when the link will have carried a message of so many bytes that comes now.
// occupied is when it will have carried the one before in the same direction.
func (l *link) carry(occupied *time.Time, size int) time.Time {
	*occupied = latest(*occupied, time.Now()).Add(time.Duration(float64(size) / l.bytesPerSecond * float64(time.Second)))
	return *occupied
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// limitLink gives a node a link of so many bytes a second.
func (n *simNetwork) limitLink(node string, bytesPerSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[node] = &link{bytesPerSecond: bytesPerSecond}
}

// arrivesAt returns when a message that is sent now arrives at the receiver's link.
func (n *simNetwork) arrivesAt(r route, size int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	sent := time.Now()
	if l := n.links[r.from]; l != nil {
		sent = l.carry(&l.sendsAt, size)
	}
	return sent.Add(baseLatency + n.delays[r])
}

// receivedAt returns when the receiver's link will have carried a message that has just arrived.
func (n *simNetwork) receivedAt(r route, size int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.links[r.to]; l != nil {
		return l.carry(&l.receivesAt, size)
	}
	return time.Now()
}

// route is one direction between two nodes: processes or stand-ins, by name.
type route struct{ from, to string }

func newSimNetwork() *simNetwork {
	return &simNetwork{
		listeners: map[string]*listener{}, conns: map[*conn]bool{}, blocked: map[route]bool{}, refusing: map[string]bool{},
		delays: map[route]time.Duration{}, changed: make(chan struct{}), links: map[string]*link{},
	}
}

// update makes a change and wakes the goroutines that wait for a route.
func (n *simNetwork) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	close(n.changed)
	n.changed = make(chan struct{})
}

// setBlocked blocks or unblocks routes.
func (n *simNetwork) setBlocked(on bool, routes ...route) {
	n.update(func() {
		for _, r := range routes {
			if on {
				n.blocked[r] = true
			} else {
				delete(n.blocked, r)
			}
		}
	})
}

// setDelay sets the added latency of routes.
func (n *simNetwork) setDelay(by time.Duration, routes ...route) {
	n.update(func() {
		for _, r := range routes {
			n.delays[r] = by
		}
	})
}

// setRunning makes a node's host refuse connections while its process is not
// running, and closes the process's connections when it ends.
func (n *simNetwork) setRunning(name string, running bool) {
	n.mu.Lock()
	n.refusing[name] = !running
	n.mu.Unlock()
	if running {
		return
	}
	n.closeConnsOf(name)
}

// closeConnsOf closes every connection of a node.
func (n *simNetwork) closeConnsOf(name string) {
	n.mu.Lock()
	var conns []*conn
	for c := range n.conns {
		if c.from == name || c.to == name {
			conns = append(conns, c)
		}
	}
	n.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
}

// waitOpen waits until a route is not blocked, and reports whether that happened
// before stop was closed.
func (n *simNetwork) waitOpen(r route, stop <-chan struct{}) bool {
	for {
		n.mu.Lock()
		open, changed := !n.blocked[r], n.changed
		n.mu.Unlock()
		if open {
			return true
		}
		select {
		case <-changed:
		case <-stop:
			return false
		}
	}
}

func (n *simNetwork) latency(r route) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return baseLatency + n.delays[r]
}

// forEachConn calls do for every open connection between a and b.
func (n *simNetwork) forEachConn(a, b string, do func(*conn)) {
	n.mu.Lock()
	var all []*conn
	for c := range n.conns {
		if (c.from == a && c.to == b) || (c.from == b && c.to == a) {
			all = append(all, c)
		}
	}
	n.mu.Unlock()
	for _, c := range all {
		do(c)
	}
}

// closeConns closes the connections between a and b.
func (n *simNetwork) closeConns(a, b string) { n.forEachConn(a, b, (*conn).close) }

// silenceConns discards all further data on the connections between a and b
// without closing them.
func (n *simNetwork) silenceConns(a, b string) { n.forEachConn(a, b, (*conn).silence) }

// closeAll closes every connection.
func (n *simNetwork) closeAll() {
	n.mu.Lock()
	var all []*conn
	for c := range n.conns {
		all = append(all, c)
	}
	n.mu.Unlock()
	for _, c := range all {
		c.close()
	}
}
