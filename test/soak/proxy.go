package soak

import (
	"net"
	"sync"
	"time"
)

// mode is how a proxy treats the connections through it.
type mode int

// The modes.
const (
	// forwardAll forwards everything.
	forwardAll mode = iota
	// forwardDelayed forwards everything with a delay.
	forwardDelayed
	// dropAll forwards nothing in either direction, and closes no connection.
	dropAll
	// dropFromClient forwards only what the server sends.
	dropFromClient
)

const (
	// slowDelay is the delay of each piece of data under forwardDelayed.
	slowDelay   = 40 * time.Millisecond
	dialTimeout = time.Second
	bufferBytes = 32 << 10
)

// proxy is a loopback TCP proxy in front of one server.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// closeConns closes every connection.
func (p *proxy) closeConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.closeConns()
}

func (p *proxy) addConn(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

func (p *proxy) closeConn(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	p.addConn(c)
	defer p.closeConn(c)
	s, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		return
	}
	p.addConn(s)
	defer p.closeConn(s)
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(s, c, false) })
	wg.Go(func() { p.copy(c, s, true) })
	wg.Wait()
}

// copy forwards one direction. Once it has dropped data it forwards nothing more,
// even if the mode changes, since the dropped data would be missing.
func (p *proxy) copy(to, from net.Conn, fromServer bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, bufferBytes)
	dropping := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		m := p.currentMode()
		dropping = dropping || m == dropAll || (m == dropFromClient && !fromServer)
		if dropping {
			continue
		}
		if m == forwardDelayed {
			time.Sleep(slowDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
