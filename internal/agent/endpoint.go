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

// taskRequest is one task for the endpoint.
type taskRequest struct {
	submission uuid.UUID
	index      uint32
	team       string
	idempotent bool
	payload    []byte
	// recheck is asked just before the first byte of the request is
	// written. Any code but OK stops the request.
	recheck func() result.Code
}

// taskResult is how a request ended.
type taskResult struct {
	code    result.Code
	body    []byte
	detail  string
	runTime time.Duration
	// unsent is true when surely no byte of the request was written.
	unsent bool
}

// endpointClient runs tasks on the endpoint over HTTP.
type endpointClient struct {
	client       *http.Client
	url          string
	maxBodyBytes int64
}

func newEndpointClient(s Settings) *endpointClient {
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
	return &endpointClient{
		client:       &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
		url:          strings.TrimSuffix(s.EndpointURL, "/") + "/run",
		maxBodyBytes: s.MaxBodyBytes,
	}
}

// idleConnTimeout closes connections to the endpoint that are not used.
const idleConnTimeout = time.Minute

// refuseRedirect follows no redirect, as that could start the task again.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

func (e *endpointClient) close() {
	e.client.CloseIdleConnections()
}

// run sends one task and waits for its end. The request is written at most
// once: net/http sends a POST without an idempotency key again only when no
// byte of it was written.
func (e *endpointClient) run(ctx context.Context, r taskRequest) taskResult {
	a := &sendTracker{recheck: r.recheck}
	req, err := e.newRequest(a.trace(ctx), r)
	if err != nil {
		return taskResult{code: result.EndpointUnreachable, detail: err.Error(), unsent: true}
	}
	began := time.Now()
	resp, err := e.client.Do(req)
	if err != nil {
		return transportFailure(ctx, err, a, time.Since(began))
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, e.maxBodyBytes+1))
	run := time.Since(began)
	if err != nil {
		return taskResult{code: sentCode(ctx), detail: validUTF8(err.Error()), runTime: run}
	}
	if isSuccess(resp.StatusCode) && !hasBodyLength(resp) {
		return taskResult{code: result.OutcomeUnknown, detail: "the answer has no length, so it may have been cut", runTime: run}
	}
	return e.parseResponse(resp.StatusCode, data, run)
}

func (e *endpointClient) newRequest(ctx context.Context, r taskRequest) (*http.Request, error) {
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

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// hasBodyLength tells whether a response says where its body ends. One that ends
// with the connection looks whole when the endpoint dies on the way.
func hasBodyLength(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// parseResponse reads a whole response of the endpoint.
func (e *endpointClient) parseResponse(status int, data []byte, run time.Duration) taskResult {
	if int64(len(data)) > e.maxBodyBytes {
		detail := fmt.Sprintf("the answer is larger than %d bytes", e.maxBodyBytes)
		return taskResult{code: result.TaskFailed, detail: detail, runTime: run}
	}
	if !isSuccess(status) {
		detail := string(data[:min(len(data), maxDetailBytes)])
		return taskResult{code: result.TaskFailed, detail: validUTF8(detail), runTime: run}
	}
	return taskResult{code: result.OK, body: data, runTime: run}
}

// transportFailure tells what an error of the transport says about the task.
func transportFailure(ctx context.Context, err error, a *sendTracker, run time.Duration) taskResult {
	out := taskResult{detail: validUTF8(err.Error()), runTime: run}
	out.unsent = a.provablyUnsent(ctx)
	refused := a.refusalCode.Load()
	switch {
	case !out.unsent:
		out.code = sentCode(ctx)
	case refused != 0:
		out.code = result.Code(refused)
	default:
		out.code = unsentCode(ctx)
	}
	return out
}

// sentCode is the code of a task that may have run.
func sentCode(ctx context.Context) result.Code {
	switch ctx.Err() {
	case nil:
		return result.OutcomeUnknown
	case context.DeadlineExceeded:
		return result.DeadlineAfterStart
	default:
		return result.CancelledAfterStart
	}
}

// unsentCode is the code of a task of which nothing was sent.
func unsentCode(ctx context.Context) result.Code {
	switch ctx.Err() {
	case nil:
		return result.EndpointUnreachable
	case context.DeadlineExceeded:
		return result.DeadlinePassed
	default:
		return result.Cancelled
	}
}

// validUTF8 makes s fit for a protobuf string.
func validUTF8(s string) string {
	return strings.ToValidUTF8(s, "�")
}

// sendTracker watches whether anything of a request was written.
type sendTracker struct {
	recheck func() result.Code
	// refusalCode is the code of a refusal by permitted.
	refusalCode atomic.Uint32
	conn        *guardedConn
	// writesBefore is the number of writes on conn before the request.
	writesBefore int64
}

func (a *sendTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			a.conn, _ = info.Conn.(*guardedConn)
			a.writesBefore = a.conn.writes.Load()
			a.conn.beforeWrite = a.checkPermitted
		},
	})
}

// checkPermitted is called just before the first byte of the request is written.
func (a *sendTracker) checkPermitted() error {
	code := a.recheck()
	if code == result.OK {
		return nil
	}
	a.refusalCode.Store(uint32(code))
	return result.Errorf(code, "the start was no longer permitted")
}

// provablyUnsent tells whether surely no byte of the request was written, nor will
// be. Once there was a connection this can only be told of one that failed:
// then it is closed. When the context ended, the transport's writer may be
// about to write.
func (a *sendTracker) provablyUnsent(ctx context.Context) bool {
	if a.conn == nil {
		return true
	}
	return ctx.Err() == nil && a.conn.writes.Load() == a.writesBefore
}

// guardedConn asks before the first write of each request, and counts the
// writes before they are made.
type guardedConn struct {
	net.Conn
	// beforeWrite is set before a request is handed to the transport's writer.
	beforeWrite func() error
	writes      atomic.Int64
}

// Write writes p unless the guard gives an error.
func (c *guardedConn) Write(p []byte) (int, error) {
	if guard := c.beforeWrite; guard != nil {
		c.beforeWrite = nil
		if err := guard(); err != nil {
			return 0, err
		}
	}
	c.writes.Add(1)
	return c.Conn.Write(p)
}
