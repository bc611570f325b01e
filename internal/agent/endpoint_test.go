package agent

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/result"
)

// newRawEndpoint accepts TCP connections, passes each to serve, and returns its
// URL.
func newRawEndpoint(t *testing.T, serve func(c net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			serve(c)
			_ = c.Close()
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
	return "http://" + listener.Addr().String()
}

// readRequest reads one complete request.
func readRequest(c net.Conn) {
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
}

// resetConn closes c so that its peer receives a reset.
func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// respondWith returns a handler that reads a request and writes the given
// response.
func respondWith(response string) func(net.Conn) {
	return func(c net.Conn) {
		readRequest(c)
		_, _ = io.WriteString(c, response)
	}
}

// TestEndpointResponsesAndFaults guards against a code that says that a task
// did not run although a byte of its request may have been sent, and against
// accepting a truncated or too large response.
func TestEndpointResponsesAndFaults(t *testing.T) {
	cases := []struct {
		name   string
		serve  func(c net.Conn)
		ctx    func(ctx context.Context) (context.Context, context.CancelFunc)
		refuse result.Code
		want   result.Code
		unsent bool
		// orUnsent also allows EndpointUnreachable, because the reset races
		// with the first byte of the request.
		orUnsent bool
		detail   string
	}{
		{name: "complete response", serve: respondWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), want: result.OK},
		{name: "chunked response", serve: respondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), want: result.OK},
		{name: "no content", serve: respondWith("HTTP/1.1 204 No Content\r\n\r\n"), want: result.OK},
		{name: "no body length", serve: respondWith("HTTP/1.1 200 OK\r\n\r\n{\"half\":"), want: result.OutcomeUnknown, detail: "the response has no length, so it may be truncated"},
		{name: "no body length, HTTP/1.0", serve: respondWith("HTTP/1.0 200 OK\r\n\r\n12"), want: result.OutcomeUnknown, detail: "the response has no length, so it may be truncated"},
		{name: "refused connection", want: result.EndpointUnreachable, unsent: true},
		{name: "reset at once", serve: resetConn, want: result.OutcomeUnknown, orUnsent: true},
		{name: "reset during the request", serve: func(c net.Conn) {
			_, _ = c.Read(make([]byte, 10))
			resetConn(c)
		}, want: result.OutcomeUnknown},
		{name: "reset after the request", serve: func(c net.Conn) {
			readRequest(c)
			resetConn(c)
		}, want: result.OutcomeUnknown},
		{name: "closed during the response", serve: respondWith("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf"), want: result.OutcomeUnknown},
		{name: "not HTTP", serve: respondWith("hello\r\n\r\n"), want: result.OutcomeUnknown},
		{name: "deadline during the task", serve: func(c net.Conn) {
			readRequest(c)
			_, _ = c.Read(make([]byte, 1))
		}, ctx: withTimeout, want: result.DeadlineAfterStart},
		{name: "error status", serve: respondWith("HTTP/1.1 500 No\r\nContent-Length: 4\r\n\r\nwhy\xff"), want: result.TaskFailed, detail: "why�"},
		{name: "redirected", serve: respondWith("HTTP/1.1 307 Go\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n"), want: result.TaskFailed},
		{name: "body at the limit", serve: respondWith("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + strings.Repeat("x", 100)), want: result.OK},
		{name: "body above the limit", serve: respondWith("HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + strings.Repeat("x", 101)), want: result.TaskFailed, detail: "the response body is larger than 100 bytes"},
		{name: "refused by the recheck", serve: respondWith(""), refuse: result.StaleStamp, want: result.StaleStamp, unsent: true},
		{name: "cancelled before the request", serve: respondWith(""), ctx: cancelled, want: result.Cancelled, unsent: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var requests atomic.Int64
			url := "http://127.0.0.1:1"
			if c.serve != nil {
				url = newRawEndpoint(t, func(conn net.Conn) {
					requests.Add(1)
					c.serve(conn)
				})
			}
			s := testSettings(url)
			s.MaxBodyBytes = 100
			e := newEndpointClient(s)
			defer e.close()
			ctx := t.Context()
			if c.ctx != nil {
				var cancel context.CancelFunc
				ctx, cancel = c.ctx(ctx)
				defer cancel()
			}
			res := e.run(ctx, taskRequest{
				submission: newSubmission(t),
				payload:    []byte("{}"),
				recheck:    func() result.Code { return c.refuse },
			})
			if c.orUnsent && res.unsent {
				c.want, c.unsent = result.EndpointUnreachable, true
			}
			must.Eq(t, c.want, res.code, must.Sprint(res.detail))
			must.Eq(t, c.unsent, res.unsent)
			must.Eq(t, c.unsent, res.code.NotRun())
			must.LessEq(t, int64(1), requests.Load())
			if c.detail != "" {
				must.Eq(t, c.detail, res.detail)
			}
		})
	}
}

func withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, 50*time.Millisecond)
}

func cancelled(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	cancel()
	return ctx, cancel
}

// TestReusedConnectionResetSendsTheTaskOnce guards against a task that starts
// twice: a connection that has served a request is reset during the second one,
// and net/http must not send that request again.
func TestReusedConnectionResetSendsTheTaskOnce(t *testing.T) {
	var requests atomic.Int64
	url := newRawEndpoint(t, func(c net.Conn) {
		reader := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			if requests.Add(1) > 1 {
				resetConn(c)
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	for _, payload := range []string{"{}", ""} {
		requests.Store(0)
		e := newEndpointClient(testSettings(url))
		req := taskRequest{submission: newSubmission(t), payload: []byte(payload), recheck: func() result.Code { return result.OK }}
		must.Eq(t, result.OK, e.run(t.Context(), req).code)
		must.Eq(t, result.OutcomeUnknown, e.run(t.Context(), req).code)
		must.Eq(t, int64(2), requests.Load())
		e.close()
	}
}
