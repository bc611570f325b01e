package simulate

import (
	"sync"
	"time"
)

// baseLatency is the time of a message from host to host.
const baseLatency = time.Millisecond

// simNetwork connects the hosts of a simulation.
type simNetwork struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	// blocked are the pairs of names, in one direction, that nothing passes.
	blocked map[route]bool
	// delays delays what passes on a route.
	delays  map[route]time.Duration
	changed chan struct{}
}

// route is one direction between two processes or stand-ins, by name.
type route struct{ from, to string }

func newSimNetwork() *simNetwork {
	return &simNetwork{
		listeners: map[string]*listener{}, conns: map[*conn]bool{}, blocked: map[route]bool{},
		delays: map[route]time.Duration{}, changed: make(chan struct{}),
	}
}

// update changes what passes.
func (f *simNetwork) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

// setBlocked stops, or lets pass, what goes on the routes.
func (f *simNetwork) setBlocked(on bool, routes ...route) {
	f.update(func() {
		for _, r := range routes {
			if on {
				f.blocked[r] = true
			} else {
				delete(f.blocked, r)
			}
		}
	})
}

// setDelay makes the routes slow by a duration.
func (f *simNetwork) setDelay(by time.Duration, routes ...route) {
	f.update(func() {
		for _, r := range routes {
			f.delays[r] = by
		}
	})
}

// waitOpen waits until a route is open; it returns false when stop is closed.
func (f *simNetwork) waitOpen(r route, stop <-chan struct{}) bool {
	for {
		f.mu.Lock()
		open, changed := !f.blocked[r], f.changed
		f.mu.Unlock()
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

func (f *simNetwork) latency(r route) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return baseLatency + f.delays[r]
}

// forEachConn calls do for every open connection between two of them.
func (f *simNetwork) forEachConn(a, b string, do func(*conn)) {
	f.mu.Lock()
	var all []*conn
	for c := range f.conns {
		if (c.from == a && c.to == b) || (c.from == b && c.to == a) {
			all = append(all, c)
		}
	}
	f.mu.Unlock()
	for _, c := range all {
		do(c)
	}
}

// closeConns closes the connections between two of them, silence lets them pass
// nothing any more.
func (f *simNetwork) closeConns(a, b string) { f.forEachConn(a, b, (*conn).close) }

func (f *simNetwork) silenceConns(a, b string) { f.forEachConn(a, b, (*conn).silence) }

// closeAll closes every connection.
func (f *simNetwork) closeAll() {
	f.mu.Lock()
	var all []*conn
	for c := range f.conns {
		all = append(all, c)
	}
	f.mu.Unlock()
	for _, c := range all {
		c.close()
	}
}
