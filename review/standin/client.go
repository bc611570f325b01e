//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// resendDelay is how long after a lost answer a client sends a job again.
const resendDelay = 1300 * time.Millisecond

// newJobID returns an ID of 16 hexadecimal digits.
func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// newChannel returns a client with connections of its own.
func newChannel() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
}

// jobBody returns the body of a best-effort job whose tasks of each step run for the
// given milliseconds.
func jobBody(ms []int, steps ...map[string]any) []byte {
	spec, _ := json.Marshal(map[string]any{"ms": ms})
	body, _ := json.Marshal(map[string]any{"spec": string(spec), "steps": steps, "best_effort": true})
	return body
}

// call sends a client's request to a front and returns the status, or zero if there
// was no answer.
func (f *fleet) call(ctx context.Context, c *http.Client, host int, method, id string, body []byte, wait time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.address(host, portFront)+prefix+id, strings.NewReader(string(body)))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = hostName
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	f.rec.printf("client: %s %s to front-%d", method, id, host)
	status, text := 0, ""
	resp, err := c.Do(req)
	if err != nil {
		text = err.Error()
	} else {
		data, _ := io.ReadAll(io.LimitReader(resp.Body, 1000))
		_ = resp.Body.Close()
		status, text = resp.StatusCode, string(data)
	}
	f.rec.printf("client: %s %s answered %d %s", method, id, status, text)
	return status, text
}
