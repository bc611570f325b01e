package fleet

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

// Ports are taken below the range that the system gives to clients.
const (
	minPort = 10000
	maxPort = 32000
)

var ports = struct {
	sync.Mutex
	next int
}{next: minPort}

// loopbackAddress is an address of this test process alone, so that two test
// processes cannot take each other's ports.
func loopbackAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 1+(pid>>8)%250, pid%256)
}

// FreeAddress returns an address that can be bound now and that this process
// gives out once.
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
	t.Fatal("no free port is left")
	return ""
}
