package agent

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/pomelosill/pomelosill/internal/result"
)

// maxDetailBytes bounds the part of a failed task's body that is passed on.
const maxDetailBytes = 4 << 10

// The headers that the endpoint gets with each task.
const (
	headerSubmission = "Pomelosill-Submission"
	headerTask       = "Pomelosill-Task"
	headerTeam       = "Pomelosill-Team"
	headerIdempotent = "Pomelosill-Idempotent"
)

// request is one task for the endpoint.
type request struct {
	submission uuid.UUID
	index      uint32
	team       string
	idempotent bool
	payload    []byte
	// permitted is asked just before the first byte of the request is
	// written. Any code but OK stops the request.
	permitted func() result.Code
}

// ending is how a request ended.
type ending struct {
	code   result.Code
	body   []byte
	detail string
	run    time.Duration
	// unsent is true when surely no byte of the request was written.
	unsent bool
}

// endpoint runs tasks on the endpoint over HTTP.
type endpoint struct {
	client  *http.Client
	url     string
	maxBody int64
}

func newEndpoint(s Settings) *endpoint {
	dialer := &net.Dialer{Timeout: s.ConnectTimeout.Std()}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &guardedConn{Conn: c}, nil
		},
		MaxConnsPerHost:     s.Connections,
		MaxIdleConnsPerHost: s.Connections,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &endpoint{
		client:  &http.Client{Transport: transport, CheckRedirect: keepRedirect},
		url:     strings.TrimSuffix(s.EndpointURL, "/") + "/run",
		maxBody: s.MaxBodyBytes,
	}
}

// idleConnTimeout closes connections to the endpoint that are not used.
const idleConnTimeout = time.Minute

// keepRedirect follows no redirect, as that could start the task again.
func keepRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

func (e *endpoint) close() {
	e.client.CloseIdleConnections()
}

// run sends one task and waits for its end. The request is written at most
// once: net/http sends a POST without an idempotency key again only when no
// byte of it was written.
func (e *endpoint) run(ctx context.Context, r request) ending {
	a := &attempt{permitted: r.permitted}
	req, err := e.newRequest(a.trace(ctx), r)
	if err != nil {
		return ending{code: result.EndpointUnreachable, detail: err.Error(), unsent: true}
	}
	began := time.Now()
	resp, err := e.client.Do(req)
	if err != nil {
		return failure(ctx, err, a, time.Since(began))
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, e.maxBody+1))
	run := time.Since(began)
	if err != nil {
		return ending{code: lost(ctx), detail: text(err.Error()), run: run}
	}
	if succeeded(resp.StatusCode) && !bounded(resp) {
		return ending{code: result.OutcomeUnknown, detail: "the answer has no length, so it may have been cut", run: run}
	}
	return e.answer(resp.StatusCode, data, run)
}

func (e *endpoint) newRequest(ctx context.Context, r request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url, bytes.NewReader(r.payload))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerSubmission, r.submission.String())
	req.Header.Set(headerTask, strconv.FormatUint(uint64(r.index), 10))
	req.Header.Set(headerTeam, r.team)
	req.Header.Set(headerIdempotent, strconv.FormatBool(r.idempotent))
	return req, nil
}

func succeeded(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// bounded tells whether a response says where its body ends. One that ends
// with the connection looks whole when the endpoint dies on the way.
func bounded(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// answer reads a whole response of the endpoint.
func (e *endpoint) answer(status int, data []byte, run time.Duration) ending {
	if int64(len(data)) > e.maxBody {
		detail := fmt.Sprintf("the answer is larger than %d bytes", e.maxBody)
		return ending{code: result.TaskFailed, detail: detail, run: run}
	}
	if !succeeded(status) {
		detail := string(data[:min(len(data), maxDetailBytes)])
		return ending{code: result.TaskFailed, detail: text(detail), run: run}
	}
	return ending{code: result.OK, body: data, run: run}
}

// failure tells what an error of the transport says about the task.
func failure(ctx context.Context, err error, a *attempt, run time.Duration) ending {
	out := ending{detail: text(err.Error()), run: run}
	out.unsent = a.unsent(ctx)
	refused := a.refused.Load()
	switch {
	case !out.unsent:
		out.code = lost(ctx)
	case refused != 0:
		out.code = result.Code(refused)
	default:
		out.code = unsent(ctx)
	}
	return out
}

// lost is the code of a task that may have run.
func lost(ctx context.Context) result.Code {
	switch ctx.Err() {
	case nil:
		return result.OutcomeUnknown
	case context.DeadlineExceeded:
		return result.DeadlineAfterStart
	default:
		return result.CancelledAfterStart
	}
}

// unsent is the code of a task of which nothing was sent.
func unsent(ctx context.Context) result.Code {
	switch ctx.Err() {
	case nil:
		return result.EndpointUnreachable
	case context.DeadlineExceeded:
		return result.DeadlinePassed
	default:
		return result.Cancelled
	}
}

// text makes s fit for a protobuf string.
func text(s string) string {
	return strings.ToValidUTF8(s, "�")
}

// attempt watches whether anything of a request was written.
type attempt struct {
	permitted func() result.Code
	// refused is the code of a refusal by permitted.
	refused atomic.Uint32
	conn    *guardedConn
	// before is the number of writes on conn before the request.
	before int64
}

func (a *attempt) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			a.conn, _ = info.Conn.(*guardedConn)
			a.before = a.conn.writes.Load()
			a.conn.guard = a.check
		},
	})
}

// check is called just before the first byte of the request is written.
func (a *attempt) check() error {
	code := a.permitted()
	if code == result.OK {
		return nil
	}
	a.refused.Store(uint32(code))
	return result.Errorf(code, "the start was no longer permitted")
}

// unsent tells whether surely no byte of the request was written, nor will
// be. Once there was a connection this can only be told of one that failed:
// then it is closed. When the context ended, the transport's writer may be
// about to write.
func (a *attempt) unsent(ctx context.Context) bool {
	if a.conn == nil {
		return true
	}
	return ctx.Err() == nil && a.conn.writes.Load() == a.before
}

// guardedConn asks before the first write of each request, and counts the
// writes before they are made.
type guardedConn struct {
	net.Conn
	// guard is set before a request is handed to the transport's writer.
	guard  func() error
	writes atomic.Int64
}

// Write writes p unless the guard gives an error.
func (c *guardedConn) Write(p []byte) (int, error) {
	if guard := c.guard; guard != nil {
		c.guard = nil
		if err := guard(); err != nil {
			return 0, err
		}
	}
	c.writes.Add(1)
	return c.Conn.Write(p)
}
