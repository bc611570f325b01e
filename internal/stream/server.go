package stream

import (
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// acceptRetryDelay is the delay before accepting again after an error.
const acceptRetryDelay = 20 * time.Millisecond

// Server accepts connections and passes each to a handler.
type Server struct {
	listener net.Listener
	handle   func(*Conn)
	log      *zap.Logger
	handlers sync.WaitGroup

	mu     sync.Mutex
	conns  map[*Conn]bool
	closed bool
}

// Serve accepts connections on l until Close. Each connection is closed when
// its handler returns.
func Serve(l net.Listener, handle func(*Conn), log *zap.Logger) *Server {
	s := &Server{listener: l, handle: handle, log: log, conns: map[*Conn]bool{}}
	s.handlers.Go(s.accept)
	return s
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Error("failed to accept a connection", zap.Error(err))
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.handlers.Go(func() { s.serve(NewConn(c)) })
	}
}

func (s *Server) serve(c *Conn) {
	defer c.Close()
	if !s.add(c) {
		return
	}
	defer s.remove(c)
	s.handle(c)
}

func (s *Server) add(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = true
	return true
}

func (s *Server) remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Close closes every connection and waits for the handlers to return.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.handlers.Wait()
}
