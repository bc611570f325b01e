package fleet

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
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
