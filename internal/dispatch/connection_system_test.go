package dispatch_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/dispatch"
	"github.com/pomelosill/pomelosill/internal/network"
)

// heldNetwork accepts connections at one address only after it was released, like a process
// that gets no processor time.
type heldNetwork struct {
	network.Network
	address  string
	released chan struct{}
}

type heldListener struct {
	net.Listener
	released chan struct{}
}

func (n *heldNetwork) Listen(ctx context.Context, address string) (net.Listener, error) {
	l, err := n.Network.Listen(ctx, address)
	if err != nil || address != n.address {
		return l, err
	}
	return &heldListener{Listener: l, released: n.released}, nil
}

func (l *heldListener) Accept() (net.Conn, error) {
	<-l.released
	return l.Listener.Accept()
}

// A request may wait to be read until its caller has left and sent the job to another
// dispatcher. If its tasks were started, they would run twice at the same time.
func TestJobOfCallerThatLeftIsNotStarted(t *testing.T) {
	for name, linger := range map[string]int{"closed": -1, "reset": 0} {
		t.Run(name, func(t *testing.T) {
			held := &heldNetwork{Network: network.TCP, released: make(chan struct{})}
			sys := newSystem(t, systemOptions{dispatchers: 1, endpoints: 1, runDuration: constantDuration(50 * time.Millisecond), network: held,
				configureDispatcher: func(_ int, s *dispatch.Settings) { held.address = s.Listen }})
			d := sys.dispatchers[0]
			const callers = 10
			for n := range callers {
				c, err := net.Dial("tcp", d.callerAddress)
				must.NoError(t, err)
				body := fmt.Sprintf(jobTemplate, 1, 50)
				_, err = fmt.Fprintf(c, "POST /p/%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", jobID(n), callerHost, len(body), body)
				must.NoError(t, err)
				must.NoError(t, c.(*net.TCPConn).SetLinger(linger))
				must.NoError(t, c.Close())
			}
			close(held.released)
			status, _ := sys.postUntilAccepted(d, "/p/"+jobID(callers), fmt.Sprintf(jobTemplate, 1, 50))
			must.Eq(t, http.StatusOK, status)
			for n := range callers {
				must.Eq(t, 0, sys.checker.Starts(jobID(n)))
			}
		})
	}
}
