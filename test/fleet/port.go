package fleet

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// Ports are taken below the operating system's range of ephemeral ports, so that
// no outgoing connection takes one of them.
const (
	minPort = 10000
	maxPort = 32000
)

var ports = struct {
	sync.Mutex
	next int
}{next: minPort}

// loopbackAddress returns a loopback address derived from the process id, so that
// test processes that run side by side do not take each other's ports.
func loopbackAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 1+(pid>>8)%250, pid%256)
}

// FreeAddress returns an address with a free port. It returns each address only
// once per process.
func FreeAddress(t *testing.T) string {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	for ports.next < maxPort {
		addr := fmt.Sprintf("%s:%d", loopbackAddress(), ports.next)
		ports.next++
		l, err := net.Listen("tcp", addr)
		if err == nil {
			_ = l.Close()
			return addr
		}
	}
	t.Fatal("no free port left in the range for tests")
	return ""
}

// ConnPair returns both ends of a TCP connection on loopback. They are closed with the test.
func ConnPair(t testing.TB) (client, server *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	s, err := l.Accept()
	must.NoError(t, err)
	t.Cleanup(func() {
		_ = c.Close()
		_ = s.Close()
	})
	return c.(*net.TCPConn), s.(*net.TCPConn)
}
