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
	owner   string
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

// stack is the network stack of one process or stand-in.
type stack struct {
	f    *fabric
	name string
	// dead is closed when the process is killed.
	dead chan struct{}
}

func (f *fabric) stack(name string) *stack {
	return &stack{f: f, name: name, dead: make(chan struct{})}
}

func (s *stack) isDead() bool {
	select {
	case <-s.dead:
		return true
	default:
		return false
	}
}

// Dial implements network.Network.
func (s *stack) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if s.isDead() {
		return nil, errUnreachable
	}
	s.f.mu.Lock()
	l := s.f.listeners[addr]
	s.f.mu.Unlock()
	if l == nil {
		time.Sleep(2 * latency)
		return nil, errRefused
	}
	there, back := route{s.name, l.owner}, route{l.owner, s.name}
	if !s.f.passes(there, ctx.Done()) || !s.f.passes(back, ctx.Done()) {
		return nil, ctx.Err()
	}
	time.Sleep(s.f.latency(there) + s.f.latency(back))
	if s.isDead() {
		return nil, errUnreachable
	}
	client, server := s.f.connect(s.name, l.owner)
	select {
	case l.queue <- server:
		return client, nil
	case <-l.closed:
		_ = client.Close()
		return nil, errRefused
	}
}

// Listen implements network.Network.
func (s *stack) Listen(_ context.Context, addr string) (net.Listener, error) {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	if s.isDead() {
		return nil, errUnreachable
	}
	if s.f.listeners[addr] != nil {
		return nil, errTaken
	}
	l := &listener{f: s.f, address: addr, owner: s.name, queue: make(chan net.Conn), closed: make(chan struct{})}
	s.f.listeners[addr] = l
	return l, nil
}

// kill takes the process off the network. With power, its peers see their
// connections end; without, they hear nothing.
func (s *stack) kill(power bool) {
	close(s.dead)
	s.f.mu.Lock()
	var conns []*conn
	for c := range s.f.conns {
		if c.from == s.name || c.to == s.name {
			conns = append(conns, c)
		}
	}
	var listeners []*listener
	for _, l := range s.f.listeners {
		if l.owner == s.name {
			listeners = append(listeners, l)
		}
	}
	s.f.mu.Unlock()
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
