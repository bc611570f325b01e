package simulate

import (
	"sync"
	"time"
)

// latency is the time of a message from host to host.
const latency = time.Millisecond

// fabric connects the hosts of a simulation.
type fabric struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	// cuts are the pairs of names, in one direction, that nothing passes.
	cuts map[route]bool
	// slow delays what passes on a route.
	slow    map[route]time.Duration
	changed chan struct{}
}

// route is one direction between two processes or stand-ins, by name.
type route struct{ from, to string }

func newFabric() *fabric {
	return &fabric{
		listeners: map[string]*listener{}, conns: map[*conn]bool{}, cuts: map[route]bool{},
		slow: map[route]time.Duration{}, changed: make(chan struct{}),
	}
}

// set changes what passes.
func (f *fabric) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

// cut stops, or lets pass, what goes on the routes.
func (f *fabric) cut(on bool, routes ...route) {
	f.set(func() {
		for _, r := range routes {
			if on {
				f.cuts[r] = true
			} else {
				delete(f.cuts, r)
			}
		}
	})
}

// delay makes the routes slow by a duration.
func (f *fabric) delay(by time.Duration, routes ...route) {
	f.set(func() {
		for _, r := range routes {
			f.slow[r] = by
		}
	})
}

// passes waits until a route is open; it returns false when stop is closed.
func (f *fabric) passes(r route, stop <-chan struct{}) bool {
	for {
		f.mu.Lock()
		open, changed := !f.cuts[r], f.changed
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

func (f *fabric) latency(r route) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return latency + f.slow[r]
}

// each calls do for every open connection between two of them.
func (f *fabric) each(a, b string, do func(*conn)) {
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

// reset closes the connections between two of them, silence lets them pass
// nothing any more.
func (f *fabric) reset(a, b string) { f.each(a, b, (*conn).close) }

func (f *fabric) silence(a, b string) { f.each(a, b, (*conn).mute) }

// closeAll closes every connection.
func (f *fabric) closeAll() {
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
