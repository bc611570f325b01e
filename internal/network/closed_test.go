package network_test

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/test/fleet"
)

func eventually(condition func() bool) bool {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// A connection that is open must not count as closed, or its caller would get no answer.
func TestOpenConnectionIsNotClosed(t *testing.T) {
	client, server := fleet.ConnPair(t)
	must.False(t, network.PeerClosed(server))
	_, err := client.Write([]byte("x"))
	must.NoError(t, err)
	must.False(t, network.PeerClosed(server), must.Sprint("unread bytes"))
	var next [1]byte
	_, err = server.Read(next[:])
	must.NoError(t, err)
	must.Eq(t, "x", string(next[:]))
	must.False(t, network.PeerClosed(server))
	must.False(t, network.PeerClosed(nil))
}

// The end of a connection must be found whether or not another goroutine reads from it.
func TestClosedConnectionIsFound(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"closed": func(c *net.TCPConn) { _ = c.Close() },
		"reset": func(c *net.TCPConn) {
			_ = c.SetLinger(0)
			_ = c.Close()
		},
	} {
		for _, reading := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				client, server := fleet.ConnPair(t)
				read := make(chan struct{})
				if reading {
					go func() {
						defer close(read)
						_, _ = server.Read(make([]byte, 1))
					}()
				} else {
					close(read)
				}
				end(client)
				must.True(t, eventually(func() bool { return network.PeerClosed(server) }))
				<-read
				must.True(t, network.PeerClosed(server), must.Sprint("after it was read"))
				_ = server.Close()
				must.True(t, network.PeerClosed(server), must.Sprint("closed here"))
			})
		}
	}
}

func BenchmarkPeerClosed(b *testing.B) {
	_, server := fleet.ConnPair(b)
	for b.Loop() {
		_ = network.PeerClosed(server)
	}
}
