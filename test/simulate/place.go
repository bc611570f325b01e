package simulate

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

var (
	errUnreachable = errors.New("host unreachable")
	errRefused     = errors.New("connection refused")
	errTaken       = errors.New("address in use")
)

// listener accepts connections at one address.
type listener struct {
	f       *fabric
	address string
	place   string
	queue   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.f.mu.Lock()
		delete(l.f.listeners, l.address)
		l.f.mu.Unlock()
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

// Network implements net.Addr.
func (address) Network() string { return "simulated" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// place is one process's or stand-in's view of the network.
type place struct {
	f    *fabric
	name string
	// dead is closed when the process is killed.
	dead chan struct{}
}

func (f *fabric) place(name string) *place {
	return &place{f: f, name: name, dead: make(chan struct{})}
}

func (p *place) isDead() bool {
	select {
	case <-p.dead:
		return true
	default:
		return false
	}
}

// Dial implements network.Network.
func (p *place) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if p.isDead() {
		return nil, errUnreachable
	}
	p.f.mu.Lock()
	l := p.f.listeners[addr]
	p.f.mu.Unlock()
	if l == nil {
		time.Sleep(2 * latency)
		return nil, errRefused
	}
	there, back := route{p.name, l.place}, route{l.place, p.name}
	if !p.f.passes(there, ctx.Done()) || !p.f.passes(back, ctx.Done()) {
		return nil, ctx.Err()
	}
	time.Sleep(p.f.latency(there) + p.f.latency(back))
	if p.isDead() {
		return nil, errUnreachable
	}
	client, server := p.f.connect(p.name, l.place)
	select {
	case l.queue <- server:
		return client, nil
	case <-l.closed:
		_ = client.Close()
		return nil, errRefused
	}
}

// Listen implements network.Network.
func (p *place) Listen(_ context.Context, addr string) (net.Listener, error) {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	if p.isDead() {
		return nil, errUnreachable
	}
	if p.f.listeners[addr] != nil {
		return nil, errTaken
	}
	l := &listener{f: p.f, address: addr, place: p.name, queue: make(chan net.Conn), closed: make(chan struct{})}
	p.f.listeners[addr] = l
	return l, nil
}

// kill takes the process off the network. With power, its peers see their
// connections end; without, they hear nothing.
func (p *place) kill(power bool) {
	close(p.dead)
	p.f.mu.Lock()
	var conns []*conn
	for c := range p.f.conns {
		if c.from == p.name || c.to == p.name {
			conns = append(conns, c)
		}
	}
	var listeners []*listener
	for _, l := range p.f.listeners {
		if l.place == p.name {
			listeners = append(listeners, l)
		}
	}
	p.f.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, c := range conns {
		if power {
			c.close()
		} else {
			c.mute()
		}
	}
}
