package simulate

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

var (
	errUnreachable  = errors.New("host unreachable")
	errRefused      = errors.Wrap(syscall.ECONNREFUSED, "dial")
	errAddressInUse = errors.New("address already in use")
)

// listener accepts connections at one address.
type listener struct {
	network *simNetwork
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
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
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

// stack is the network stack of one node; it implements network.Network.
type stack struct {
	network *simNetwork
	name    string
	// killed is closed when the process is killed.
	killed chan struct{}
}

func (n *simNetwork) newStack(name string) *stack {
	return &stack{network: n, name: name, killed: make(chan struct{})}
}

func (s *stack) isKilled() bool {
	select {
	case <-s.killed:
		return true
	default:
		return false
	}
}

// Dial implements network.Network.
func (s *stack) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if s.isKilled() {
		return nil, errUnreachable
	}
	s.network.mu.Lock()
	l := s.network.listeners[addr]
	refused := l == nil || s.network.refusing[l.owner]
	s.network.mu.Unlock()
	if refused {
		time.Sleep(2 * baseLatency)
		return nil, errRefused
	}
	there, back := route{s.name, l.owner}, route{l.owner, s.name}
	if !s.network.waitOpen(there, ctx.Done()) || !s.network.waitOpen(back, ctx.Done()) {
		return nil, ctx.Err()
	}
	time.Sleep(s.network.latency(there) + s.network.latency(back))
	if s.isKilled() {
		return nil, errUnreachable
	}
	client, server := s.network.connect(s.name, l.owner)
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
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	if s.isKilled() {
		return nil, errUnreachable
	}
	if s.network.listeners[addr] != nil {
		return nil, errAddressInUse
	}
	l := &listener{network: s.network, address: addr, owner: s.name, queue: make(chan net.Conn), closed: make(chan struct{})}
	s.network.listeners[addr] = l
	return l, nil
}

// kill removes the process from the network. If its host stays up, its
// connections are closed, as by the kernel when a process dies; otherwise its
// peers receive nothing any more, as after a power failure.
func (s *stack) kill(hostUp bool) {
	close(s.killed)
	s.network.mu.Lock()
	var conns []*conn
	for c := range s.network.conns {
		if c.from == s.name || c.to == s.name {
			conns = append(conns, c)
		}
	}
	var listeners []*listener
	for _, l := range s.network.listeners {
		if l.owner == s.name {
			listeners = append(listeners, l)
		}
	}
	s.network.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, c := range conns {
		if hostUp {
			c.close()
		} else {
			c.silence()
		}
	}
}
