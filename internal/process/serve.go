package process

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/network"
)

// Binding is an address with what is served there; an empty address serves
// nothing.
type Binding struct {
	Address string
	Handler http.Handler
}

// ServeAll binds every address and serves it until its server is closed. Its
// error has the code AddressInUse; nothing is served then.
func ServeAll(ctx context.Context, n network.Network, sites []Binding, log *zap.Logger) ([]*http.Server, error) {
	var servers []*http.Server
	for _, s := range sites {
		if s.Address == "" {
			continue
		}
		l, err := Listen(ctx, n, s.Address)
		if err != nil {
			CloseAll(servers)
			return nil, err
		}
		server := NewServer(s.Handler)
		servers = append(servers, server)
		go func() {
			if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				log.Error("server: ended", zap.String("address", s.Address), zap.Error(err))
			}
		}()
	}
	return servers, nil
}

// CloseAll closes servers with their connections.
func CloseAll(servers []*http.Server) {
	for _, s := range servers {
		_ = s.Close()
	}
}
