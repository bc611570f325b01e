package dispatch_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/dispatch"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1/pomelosillv1connect"
	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/settings"
)

// starvedLateness is the lateness of the ticks of a starved dispatcher.
const starvedLateness = int64(100 * time.Millisecond)

// newForwardingSystem returns a system of two dispatchers, of which the first forwards all
// jobs to the second.
func newForwardingSystem(t *testing.T, duration time.Duration, configure ...func(*dispatch.Settings)) *testSystem {
	sys := newSystem(t, systemOptions{dispatchers: 2, endpoints: 2, runDuration: constantDuration(duration),
		configureDispatcher: func(i int, s *dispatch.Settings) {
			if i == 0 {
				s.ProcessorCores = 0.19
			}
			for _, change := range configure {
				change(s)
			}
		}})
	sys.dispatchers[0].lateness.Store(starvedLateness)
	must.True(t, eventually(func() bool {
		state := sys.dispatchers[0].State().Handover
		return state.Starved && len(state.Peers) == 1
	}))
	return sys
}

// startForwarded sends jobs of two tasks to the first dispatcher until one of them runs
// that was forwarded: on a busy machine, the second declines jobs for moments in which it
// has no usable runner. It returns the job's number and where its status will be sent.
func (sys *testSystem) startForwarded(ctx context.Context, estimatedMS int64) (int, <-chan int) {
	sender := sys.dispatchers[0]
	end := time.Now().Add(eventuallyTimeout)
	for n := 1; ; n++ {
		answered := make(chan int, 1)
		go func() {
			status, _ := sys.post(ctx, sender, "/p/"+jobID(n), fmt.Sprintf(jobTemplate, 2, estimatedMS))
			answered <- status
		}()
		must.True(sys.t, eventually(func() bool { return sys.running() == 2 || len(answered) > 0 }))
		if len(answered) == 0 && sender.State().Handover.Forwarded == 1 {
			return n, answered
		}
		must.True(sys.t, time.Now().Before(end), must.Sprint("no job was forwarded"))
		sys.cancelJob(sender, n)
		must.True(sys.t, eventually(func() bool { return sys.running() == 0 }))
	}
}

// handedOver counts the log lines of jobs that were forwarded.
func (sys *testSystem) handedOver() int { return strings.Count(sys.log.String(), `"job: handed over"`) }

func (sys *testSystem) running() int { return sys.endpoints[0].Running() + sys.endpoints[1].Running() }

// A starved dispatcher must get its jobs done at a peer, and tell operators so.
func TestStarvedDispatcherForwards(t *testing.T) {
	sys := newForwardingSystem(t, 300*time.Millisecond)
	n, answered := sys.startForwarded(t.Context(), 300)
	must.Eq(t, 0, sys.dispatchers[0].State().Jobs)
	must.Eq(t, 1, sys.dispatchers[1].State().Handover.Received)
	must.Eq(t, http.StatusOK, <-answered)
	must.Eq(t, 2, sys.checker.Starts(jobID(n)))
	must.True(t, eventually(func() bool { return sys.dispatchers[1].State().Handover.Received == 0 }))
	must.True(t, eventually(func() bool { return strings.Contains(sys.log.String(), `"handover: started"`) && sys.handedOver() > 0 }))
	sys.dispatchers[0].lateness.Store(0)
	must.True(t, eventually(func() bool { return strings.Contains(sys.log.String(), `"handover: stopped"`) }))
}

// Retries of a forwarded job at the same dispatcher must wait for the same answer.
func TestRetryOfForwardedJobJoins(t *testing.T) {
	sys := newForwardingSystem(t, 300*time.Millisecond)
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() {
			if status, text := sys.post(t.Context(), sys.dispatchers[0], "/p/"+jobID(1), fmt.Sprintf(jobTemplate, 2, 300)); status != http.StatusOK {
				t.Errorf("status %d: %s", status, text)
			}
		})
	}
	wg.Wait()
	must.Eq(t, 2, sys.checker.Starts(jobID(1)))
	must.True(t, eventually(func() bool { return sys.handedOver() > 0 }))
	must.Eq(t, 1, sys.handedOver(), must.Sprint("a job was sent twice"))
}

// The peer must stop the runs soon after the caller has disconnected, after a DELETE at the
// sender, and after the sender has gone.
func TestCancellationReachesThePeer(t *testing.T) {
	for name, cancel := range map[string]func(*testSystem, context.CancelFunc, int){
		"disconnect": func(_ *testSystem, disconnect context.CancelFunc, _ int) { disconnect() },
		"delete": func(sys *testSystem, _ context.CancelFunc, n int) {
			must.Eq(sys.t, http.StatusOK, sys.cancelJob(sys.dispatchers[0], n))
		},
		"sender gone": func(sys *testSystem, _ context.CancelFunc, _ int) { sys.dispatchers[0].stop() },
	} {
		t.Run(name, func(t *testing.T) {
			sys := newForwardingSystem(t, time.Hour)
			ctx, disconnect := context.WithCancel(t.Context())
			defer disconnect()
			n, _ := sys.startForwarded(ctx, 5000)
			cancel(sys, disconnect, n)
			// A run without progress is moved, so that none may run for a moment before.
			must.True(t, eventually(func() bool { return sys.running() == 0 && sys.dispatchers[1].State().Jobs == 0 }))
		})
	}
}

// cancelJob sends a DELETE for the job with the number and returns the status.
func (sys *testSystem) cancelJob(d *dispatcherProcess, n int) int {
	req, err := http.NewRequestWithContext(sys.t.Context(), http.MethodDelete, "http://"+d.callerAddress+"/p/"+jobID(n), nil)
	must.NoError(sys.t, err)
	req.Host = callerHost
	resp, err := http.DefaultClient.Do(req)
	must.NoError(sys.t, err)
	must.NoError(sys.t, resp.Body.Close())
	return resp.StatusCode
}

// When the connection of the sender closes, as when its process is killed, the peer must
// stop the runs.
func TestClosedConnectionCancelsForwardedJob(t *testing.T) {
	sys := newForwardingSystem(t, time.Hour)
	tracked := &trackedNetwork{Network: network.TCP}
	client := pomelosillv1connect.NewPeerServiceClient(process.NewStreamClient(tracked), "http://"+sys.dispatchers[1].peerAddress)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = client.Submit(t.Context(), connect.NewRequest(&pb.SubmitRequest{
			Dispatcher: "x", Host: callerHost, Path: "/p/" + jobID(1), Body: []byte(fmt.Sprintf(jobTemplate, 2, 5000)), WaitUs: 10e6,
		}))
	}()
	must.True(t, eventually(func() bool { return sys.running() == 2 }))
	tracked.closeAll()
	<-done
	must.True(t, eventually(func() bool { return sys.running() == 0 }))
}

// A sender that is frozen or cut off closes no connection. The peer must stop the runs before
// the callers send their jobs again elsewhere, where a second run would start beside them.
func TestSilentSenderCancelsForwardedJob(t *testing.T) {
	// bound is beyond the 0.8 s that it takes, for a busy machine, and below the 4 s that the
	// usual pings would take.
	const bound = 3 * time.Second
	sys := newForwardingSystem(t, time.Hour)
	tracked := &trackedNetwork{Network: network.TCP}
	client := pomelosillv1connect.NewPeerServiceClient(process.NewStreamClient(tracked), "http://"+sys.dispatchers[1].peerAddress)
	go func() {
		_, _ = client.Submit(t.Context(), connect.NewRequest(&pb.SubmitRequest{
			Dispatcher: "x", Host: callerHost, Path: "/p/" + jobID(1), Body: []byte(fmt.Sprintf(jobTemplate, 2, 5000)), WaitUs: 10e6,
		}))
	}()
	must.True(t, eventually(func() bool { return sys.running() == 2 }))
	tracked.silent.Store(true)
	silentAt := time.Now()
	must.True(t, eventually(func() bool { return sys.running() == 0 && sys.dispatchers[1].State().Jobs == 0 }))
	must.Less(t, bound, time.Since(silentAt))
}

// An oversized message must be refused before it is held in memory and decoded.
func TestOversizedForwardedJobIsRefused(t *testing.T) {
	sys := newForwardingSystem(t, time.Hour)
	client := pomelosillv1connect.NewPeerServiceClient(process.NewStreamClient(network.TCP), "http://"+sys.dispatchers[1].peerAddress)
	_, err := client.Submit(t.Context(), connect.NewRequest(&pb.SubmitRequest{
		Dispatcher: "x", Host: callerHost, Path: "/p/" + jobID(1), Body: make([]byte, 9<<20), WaitUs: 10e6,
	}))
	must.Eq(t, connect.CodeResourceExhausted, connect.CodeOf(err))
}

// Both dispatchers must answer the jobs in flight when one of them shuts down.
func TestShutdownAnswersForwardedJobs(t *testing.T) {
	for i, name := range []string{"sender", "peer"} {
		t.Run(name, func(t *testing.T) {
			// A dispatcher that shuts down serves on for half of the grace period. The runs end
			// after that.
			const runTime = 2 * time.Second
			sys := newForwardingSystem(t, runTime, func(s *dispatch.Settings) { s.Grace = settings.Duration(3 * time.Second) })
			_, answered := sys.startForwarded(context.Background(), runTime.Milliseconds())
			sys.dispatchers[i].stop()
			must.Eq(t, http.StatusOK, <-answered)
			<-sys.dispatchers[i].done
		})
	}
}

// While a peer shuts down, is gone or is starved, too, the sender must serve its jobs, and
// no job may be forwarded twice.
func TestSenderServesWhatPeersDoNotTake(t *testing.T) {
	for name, fail := range map[string]func(*dispatcherProcess){
		"shutting down": func(d *dispatcherProcess) {
			d.stop()
			eventually(func() bool { return !isReady(d) })
		},
		"gone": func(d *dispatcherProcess) {
			d.stop()
			<-d.done
		},
		"starved": func(d *dispatcherProcess) {
			d.lateness.Store(starvedLateness)
			eventually(func() bool { return d.State().Handover.Starved })
		},
	} {
		t.Run(name, func(t *testing.T) {
			sys := newForwardingSystem(t, 10*time.Millisecond)
			fail(sys.dispatchers[1])
			status, text := sys.postUntilAccepted(sys.dispatchers[0], "/p/"+jobID(1), fmt.Sprintf(jobTemplate, 2, 100))
			must.Eq(t, http.StatusOK, status, must.Sprint(text))
			must.Eq(t, 2, sys.checker.Starts(jobID(1)))
			must.SliceEmpty(t, sys.checker.Violations())
		})
	}
}

// A dispatcher that forwards most jobs must report not ready for a while, so that new
// connections are made to others, but serve on.
func TestForwardingDispatcherReportsNotReady(t *testing.T) {
	sys := newForwardingSystem(t, 10*time.Millisecond)
	must.True(t, eventually(func() bool { return !isReady(sys.dispatchers[0]) }))
	must.True(t, isReady(sys.dispatchers[1]))
	status, _ := sys.post(t.Context(), sys.dispatchers[0], "/p/"+jobID(1), fmt.Sprintf(jobTemplate, 1, 100))
	must.Eq(t, http.StatusOK, status)
	sys.waitReady(sys.dispatchers[0])
}

// trackedNetwork closes its connections on request. While it is silent, what is written to
// them is lost.
type trackedNetwork struct {
	network.Network
	silent atomic.Bool
	mu     sync.Mutex
	conns  []net.Conn
}

// silentConn is a connection of a tracked network.
type silentConn struct {
	net.Conn
	network *trackedNetwork
}

func (c silentConn) Write(p []byte) (int, error) {
	if c.network.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (n *trackedNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := n.Network.Dial(ctx, address)
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil {
		c = silentConn{c, n}
		n.conns = append(n.conns, c)
	}
	return c, err
}

func (n *trackedNetwork) closeAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		_ = c.Close()
	}
}
