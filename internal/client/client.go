// Package client speaks to entries as callers and operators do. It knows
// several addresses and goes on to the next one when that can do no harm.
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
	// dialTimeout bounds the making of one connection.
	dialTimeout = 2 * time.Second
	// maxAnswerBytes bounds one answer.
	maxAnswerBytes = 64 << 20
)

// Client talks to the entries at a list of addresses, first to last.
type Client struct {
	addresses []string
	token     string
	http      *http.Client
}

// New returns a client for addresses such as "10.0.0.1:7001" or
// "http://10.0.0.1:7001". An empty token sends none.
func New(addresses []string, token string) (*Client, error) {
	if len(addresses) == 0 {
		return nil, result.Errorf(result.Malformed, "no address given")
	}
	c := &Client{token: token}
	for _, a := range addresses {
		c.addresses = append(c.addresses, baseURL(a))
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	c.http = &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}}
	return c, nil
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func baseURL(address string) string {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return strings.TrimSuffix(address, "/")
}

// request is one HTTP request that can be sent to any of the addresses.
type request struct {
	method string
	path   string
	body   []byte
	// retryable requests may reach a second entry after a first one may have
	// acted on them.
	retryable bool
	// tryNext tells that another address may have a better answer.
	tryNext func(reply) bool
}

// reply is what an entry answered.
type reply struct {
	status int
	body   []byte
}

// decode reads the body's JSON into v. Its error has the code OutcomeUnknown:
// what cannot be read says nothing of what was done.
func (r reply) decode(v any) error {
	dec := json.NewDecoder(bytes.NewReader(r.body))
	dec.UseNumber()
	if err := dec.Decode(v); err != nil {
		return result.Errorf(result.OutcomeUnknown, "the answer with status %d is not JSON of the expected form", r.status)
	}
	return nil
}

// send tries the addresses in order until one answers. If all that answered
// sent it elsewhere it returns the last of these answers, and otherwise
// EntryUnreachable if no request left, and OutcomeUnknown if one may have.
func (c *Client) send(ctx context.Context, r request) (reply, error) {
	var failures []string
	left := false
	var declined *reply
	for _, base := range c.addresses {
		got, err := c.sendTo(ctx, base, r)
		if err == nil && r.tryNext != nil && r.tryNext(got) {
			declined = &got
			continue
		}
		if err == nil {
			return got, nil
		}
		failures = append(failures, err.Error())
		left = left || !isDialError(err)
		if ctx.Err() != nil || (left && !r.retryable) {
			break
		}
	}
	if declined != nil {
		return *declined, nil
	}
	code := result.EntryUnreachable
	if left {
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

// isDialError tells that no connection was made, so that nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
