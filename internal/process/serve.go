package process

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/intake"
	"github.com/pomelosill/pomelosill/internal/network"
)

// Binding is a listen address and the handler that is served there. A binding
// with an empty address is ignored.
type Binding struct {
	Address string
	Handler http.Handler
	// PingTimeout is how long an HTTP/2 connection may be silent before a ping is sent,
	// and how long the client may take to answer it. Zero means two seconds.
	PingTimeout time.Duration
	// ConnContext, if not nil, returns the context of a new connection's requests.
	ConnContext func(ctx context.Context, c net.Conn) context.Context
	// Limiter, if not nil, limits the connections, which are those of clients that nobody
	// controls. They speak HTTP/1 only.
	Limiter *intake.Limiter
}

// newServer returns the server of the binding.
func (b *Binding) newServer() *http.Server {
	server := newServer(b.Handler, cmp.Or(b.PingTimeout, pingTimeout))
	server.ConnContext = b.ConnContext
	if b.Limiter != nil {
		server.Protocols.SetUnencryptedHTTP2(false)
	}
	return server
}

// ServeAll listens on every address and serves it until its server is closed.
// If an address can't be bound, it serves none and returns an error with the
// code AddressInUse.
func ServeAll(ctx context.Context, n network.Network, bindings []Binding, log *zap.Logger) ([]*http.Server, error) {
	var servers []*http.Server
	for _, b := range bindings {
		if b.Address == "" {
			continue
		}
		l, err := Listen(ctx, n, b.Address)
		if err != nil {
			CloseAll(servers)
			return nil, err
		}
		server := b.newServer()
		if b.Limiter != nil {
			l = b.Limiter.Listener(l)
		}
		servers = append(servers, server)
		go func() {
			if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				log.Error("server: stopped unexpectedly", zap.String("address", b.Address), zap.Error(err))
			}
		}()
	}
	return servers, nil
}

// CloseAll closes the servers and their connections.
func CloseAll(servers []*http.Server) {
	for _, s := range servers {
		_ = s.Close()
	}
}
