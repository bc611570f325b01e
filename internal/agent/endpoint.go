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

// maxDetailBytes limits the part of a failed task's response body that is
// passed on.
const maxDetailBytes = 4 << 10

// The headers that are sent to the endpoint with each task.
const (
	headerSubmission = "Pomelosill-Submission"
	headerTask       = "Pomelosill-Task"
	headerTeam       = "Pomelosill-Team"
	headerIdempotent = "Pomelosill-Idempotent"
)

// taskRequest is a request to run one task on the endpoint.
type taskRequest struct {
	submission uuid.UUID
	index      uint32
	team       string
	idempotent bool
	payload    []byte
	// recheck is called just before the first byte of the request is written.
	// Any code but OK stops the request.
	recheck func() result.Code
}

// taskResult is the result of a taskRequest.
type taskResult struct {
	code    result.Code
	body    []byte
	detail  string
	runTime time.Duration
	// unsent is true if it is certain that no byte of the request was written.
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

// idleConnTimeout is how long an unused connection to the endpoint stays open.
const idleConnTimeout = time.Minute

// refuseRedirect prevents the client from following redirects, which could
// start the task again.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

func (e *endpointClient) close() {
	e.client.CloseIdleConnections()
}

// run sends one task and waits for its result. The request is written at most
// once: net/http only repeats a POST without an idempotency key if no byte of
// it was written.
func (e *endpointClient) run(ctx context.Context, r taskRequest) taskResult {
	tracker := &sendTracker{recheck: r.recheck}
	req, err := e.newRequest(tracker.trace(ctx), r)
	if err != nil {
		return taskResult{code: result.EndpointUnreachable, detail: err.Error(), unsent: true}
	}
	startTime := time.Now()
	resp, err := e.client.Do(req)
	if err != nil {
		return transportFailure(ctx, err, tracker, time.Since(startTime))
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, e.maxBodyBytes+1))
	runTime := time.Since(startTime)
	if err != nil {
		return taskResult{code: sentCode(ctx), detail: validUTF8(err.Error()), runTime: runTime}
	}
	if isSuccess(resp.StatusCode) && !hasDelimitedBody(resp) {
		return taskResult{code: result.OutcomeUnknown, detail: "the response has no length, so it may be truncated", runTime: runTime}
	}
	return e.parseResponse(resp.StatusCode, body, runTime)
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

// hasDelimitedBody reports whether the response says where its body ends.
// Otherwise the end of the connection ends the body, and a response that was
// cut off because the endpoint died looks complete.
func hasDelimitedBody(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// parseResponse converts a complete response of the endpoint to a taskResult.
func (e *endpointClient) parseResponse(status int, body []byte, runTime time.Duration) taskResult {
	if int64(len(body)) > e.maxBodyBytes {
		detail := fmt.Sprintf("the response body is larger than %d bytes", e.maxBodyBytes)
		return taskResult{code: result.TaskFailed, detail: detail, runTime: runTime}
	}
	if !isSuccess(status) {
		detail := string(body[:min(len(body), maxDetailBytes)])
		return taskResult{code: result.TaskFailed, detail: validUTF8(detail), runTime: runTime}
	}
	return taskResult{code: result.OK, body: body, runTime: runTime}
}

// transportFailure converts an error of the HTTP transport to a taskResult.
func transportFailure(ctx context.Context, err error, tracker *sendTracker, runTime time.Duration) taskResult {
	res := taskResult{detail: validUTF8(err.Error()), runTime: runTime}
	res.unsent = tracker.provablyUnsent(ctx)
	code := tracker.refusalCode.Load()
	switch {
	case !res.unsent:
		res.code = sentCode(ctx)
	case code != 0:
		res.code = result.Code(code)
	default:
		res.code = unsentCode(ctx)
	}
	return res
}

// sentCode returns the code of a task that may have run.
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

// unsentCode returns the code of a task of which nothing was sent.
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

// validUTF8 replaces invalid UTF-8 in s, which protobuf strings do not allow.
func validUTF8(s string) string {
	return strings.ToValidUTF8(s, "�")
}

// sendTracker tracks whether any byte of a request was written.
type sendTracker struct {
	recheck func() result.Code
	// refusalCode is the code with which recheck stopped the request, or 0.
	refusalCode atomic.Uint32
	conn        *guardedConn
	// writesBefore is the number of writes on conn before the request.
	writesBefore int64
}

func (t *sendTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			t.conn, _ = info.Conn.(*guardedConn)
			t.writesBefore = t.conn.writes.Load()
			t.conn.beforeWrite = t.checkPermitted
		},
	})
}

// checkPermitted is called just before the first byte of the request is
// written.
func (t *sendTracker) checkPermitted() error {
	code := t.recheck()
	if code == result.OK {
		return nil
	}
	t.refusalCode.Store(uint32(code))
	return result.Errorf(code, "the task may no longer start")
}

// provablyUnsent reports whether it is certain that no byte of the request was
// or will be written. If a connection was obtained, that is only certain if the
// connection failed, because it is closed then. After the context has ended,
// the transport may still be about to write.
func (t *sendTracker) provablyUnsent(ctx context.Context) bool {
	if t.conn == nil {
		return true
	}
	return ctx.Err() == nil && t.conn.writes.Load() == t.writesBefore
}

// guardedConn calls a function before the first write of each request, and
// counts the writes before making them.
type guardedConn struct {
	net.Conn
	// beforeWrite is set before a request is passed to the transport's writing
	// goroutine.
	beforeWrite func() error
	writes      atomic.Int64
}

// Write writes p unless beforeWrite returns an error.
func (c *guardedConn) Write(p []byte) (int, error) {
	if beforeWrite := c.beforeWrite; beforeWrite != nil {
		c.beforeWrite = nil
		if err := beforeWrite(); err != nil {
			return 0, err
		}
	}
	c.writes.Add(1)
	return c.Conn.Write(p)
}
