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
	// answerBusy forwards nothing, and answers HTTP requests with status 503.
	answerBusy
)

// busyAnswer is the response under answerBusy.
const busyAnswer = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

const (
	// slowDelay is the delay of each piece of data under forwardDelayed.
	slowDelay   = 40 * time.Millisecond
	dialTimeout = time.Second
	bufferBytes = 32 << 10
)

// proxy is a loopback TCP proxy in front of one server.
type proxy struct {
	target string
	listen string

	mu       sync.Mutex
	listener net.Listener
	closed   bool
	mode     mode
	conns    map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, listen: l.Addr().String(), target: target, conns: map[net.Conn]bool{}}
	go p.accept(l)
	return p, nil
}

func (p *proxy) address() string { return p.listen }

// setListening makes the proxy's host refuse connections while it is false, and
// closes the open ones.
func (p *proxy) setListening(on bool) error {
	if !on {
		p.stopListening()
		p.closeConns()
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	l, err := net.Listen("tcp", p.listen)
	if err != nil {
		return err
	}
	p.listener = l
	go p.accept(l)
	return nil
}

func (p *proxy) stopListening() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
}

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
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.stopListening()
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

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
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
		if m == answerBusy {
			if _, err := from.Write([]byte(busyAnswer)); fromServer || err != nil {
				return
			}
			continue
		}
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
