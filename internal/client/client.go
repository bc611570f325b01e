// Package client implements a client of an entry's APIs for callers and operators.
// It takes several addresses, and tries the next one if that cannot execute
// anything twice.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/pomelosill/pomelosill/internal/result"
)

const (
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = 2 * time.Second
	// maxAnswerBytes is the maximum size of a response. Longer ones are
	// truncated.
	maxAnswerBytes = 64 << 20
)

// Client sends requests to the entries at a list of addresses, trying them in
// order.
type Client struct {
	addresses []string
	token     string
	http      *http.Client
}

// New returns a client for addresses such as "10.0.0.1:7001" or
// "http://10.0.0.1:7001". If token is empty, requests have none.
func New(addresses []string, token string) (*Client, error) {
	if len(addresses) == 0 {
		return nil, result.Errorf(result.Malformed, "no entry address given")
	}
	c := &Client{token: token}
	for _, a := range addresses {
		c.addresses = append(c.addresses, baseURL(a))
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	c.http = &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}}
	return c, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func baseURL(address string) string {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return strings.TrimSuffix(address, "/")
}

// request is an HTTP request that can be sent to any of the addresses.
type request struct {
	method string
	path   string
	body   []byte
	// retryable is set if the request may be sent to another entry even though
	// the previous one may have executed it.
	retryable bool
	// tryNext, if not nil, reports whether to try the next address although this
	// one replied.
	tryNext func(reply) bool
}

// reply is the HTTP response of an entry.
type reply struct {
	status int
	body   []byte
}

// decode decodes the JSON body into v. Its error has the code OutcomeUnknown,
// since an unreadable response does not show whether the request was executed.
func (r reply) decode(v any) error {
	dec := json.NewDecoder(bytes.NewReader(r.body))
	dec.UseNumber()
	if err := dec.Decode(v); err != nil {
		return result.Errorf(result.OutcomeUnknown, "the response with status %d is not JSON of the expected form", r.status)
	}
	return nil
}

// send tries the addresses in order until one replies. If tryNext was true for
// every reply, it returns the last one. Without any reply its error has the code
// OutcomeUnknown if a request may have been sent, and EntryUnreachable otherwise.
func (c *Client) send(ctx context.Context, r request) (reply, error) {
	var failures []string
	sent := false
	var declined *reply
	for _, base := range c.addresses {
		rep, err := c.sendTo(ctx, base, r)
		if err == nil && r.tryNext != nil && r.tryNext(rep) {
			declined = &rep
			continue
		}
		if err == nil {
			return rep, nil
		}
		failures = append(failures, err.Error())
		sent = sent || !isDialError(err)
		if ctx.Err() != nil || (sent && !r.retryable) {
			break
		}
	}
	if declined != nil {
		return *declined, nil
	}
	code := result.EntryUnreachable
	if sent {
		code = result.OutcomeUnknown
	}
	return reply{}, result.Errorf(code, "%s", strings.Join(failures, "; "))
}

func (c *Client) sendTo(ctx context.Context, base string, r request) (reply, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return reply{}, err
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return reply{}, errors.Wrap(err, base+r.path)
	}
	return reply{status: resp.StatusCode, body: body}, nil
}

// isDialError reports whether no connection was established, so that nothing was
// sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
