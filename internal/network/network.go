// Package network opens and accepts connections: over TCP or, in tests, over a
// simulated network with injected faults.
package network

import (
	"context"
	"net"
	"time"
)

// Network opens and accepts connections.
type Network interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
	Listen(ctx context.Context, address string) (net.Listener, error)
}

// TCP is the host's TCP network.
var TCP Network = tcp{}

type tcp struct{}

func (tcp) Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

func (tcp) Listen(ctx context.Context, address string) (net.Listener, error) {
	var lc net.ListenConfig
	return lc.Listen(ctx, "tcp", address)
}

// DialContextFunc returns a dial function for net/http that limits the time to
// open a connection.
func DialContextFunc(n Network, timeout time.Duration) func(ctx context.Context, _, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return n.Dial(ctx, address)
	}
}
