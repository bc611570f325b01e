// Package scenario runs load scenarios against a running fleet and returns the
// result of each as one line of the report.
package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/pomelosill/pomelosill/internal/api"
	"github.com/pomelosill/pomelosill/internal/result"
)

// Fleet holds the addresses of the processes of a fleet. It is the settings file
// of the load tool. Every address is a URL.
type Fleet struct {
	// Entries holds the addresses of the entries for callers.
	Entries []string `json:"entries"`
	// Debug holds the addresses of the entries' debug pages, in the same order.
	Debug []string `json:"debug"`
	// Admin holds the addresses of the entries for operators.
	Admin     []string   `json:"admin"`
	Endpoints []Endpoint `json:"endpoints"`
	// StoreURL is the address of the stand-in for the platform's store.
	StoreURL string `json:"platform"`
	// Slots is the number of slots of each endpoint.
	Slots int `json:"slots"`
	// CallerToken and OperatorToken may be empty if the entries require none.
	CallerToken   string `json:"caller_token"`
	OperatorToken string `json:"operator_token"`
}

// Endpoint is one stand-in endpoint.
type Endpoint struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	URL    string `json:"url"`
}

// Validate implements settings.Settings.
func (f *Fleet) Validate() error {
	switch {
	case len(f.Endpoints) == 0:
		return result.Errorf(result.SettingsValue, "endpoints: at least one is required")
	case f.Slots < 1:
		return result.Errorf(result.SettingsValue, "slots: must be at least 1")
	case len(f.Debug) != len(f.Entries):
		return result.Errorf(result.SettingsValue, "debug: one address per entry is required")
	}
	return nil
}

// totalSlots returns the number of slots of the whole fleet.
func (f *Fleet) totalSlots() int { return f.Slots * len(f.Endpoints) }

func (f *Fleet) endpointURLs() []string {
	var urls []string
	for _, e := range f.Endpoints {
		urls = append(urls, e.URL)
	}
	return urls
}

// slotsInDomain returns the number of slots in a failure domain.
func (f *Fleet) slotsInDomain(domain string) int {
	n := 0
	for _, e := range f.Endpoints {
		if e.Domain == domain {
			n += f.Slots
		}
	}
	return n
}

// lastDomain returns the failure domain of the last endpoint.
func (f *Fleet) lastDomain() string { return f.Endpoints[len(f.Endpoints)-1].Domain }

// commandTimeout is how long the entry waits for a command to take effect
// before it replies.
const commandTimeout = 4 * time.Second

// runStatement sends a statement to the first operators' address that answers.
func (f *Fleet) runStatement(ctx context.Context, client *http.Client, text string) error {
	body, err := json.Marshal(api.Statement{Text: text, WaitMS: commandTimeout.Milliseconds()})
	if err != nil {
		return err
	}
	lastErr := errors.New("no operators' address in the fleet file")
	for _, admin := range f.Admin {
		var reply api.Reply
		lastErr = f.postJSON(ctx, client, admin+"/v1/query", body, &reply)
		if lastErr != nil {
			continue
		}
		if reply.Code != result.OK && reply.Code != result.CommandUnconfirmed {
			return errors.Errorf("statement %q failed: %s %s", text, reply.Code, reply.Detail)
		}
		return nil
	}
	return lastErr
}

func (f *Fleet) postJSON(ctx context.Context, client *http.Client, url string, body []byte, reply any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	if f.OperatorToken != "" {
		req.Header.Set("Authorization", "Bearer "+f.OperatorToken)
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(reply)
}

// endpointFaults holds the faults of a stand-in endpoint that scenarios set.
type endpointFaults struct {
	FailAll    bool    `json:"fail_all,omitempty"`
	SlowFactor float64 `json:"slow_factor,omitempty"`
}

func (f *Fleet) setFaults(ctx context.Context, client *http.Client, endpoint int, faults endpointFaults) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	var got endpointFaults
	return f.postJSON(ctx, client, f.Endpoints[endpoint].URL+"/faults", body, &got)
}

// storeCallCounts is the store's reply with the number of calls of each kind.
type storeCallCounts struct {
	Calls struct {
		Get            int64 `json:"get"`
		CompareAndSwap int64 `json:"compare_and_swap"`
		Delete         int64 `json:"delete"`
		Grant          int64 `json:"grant"`
		KeepAlive      int64 `json:"keep_alive"`
		Revoke         int64 `json:"revoke"`
		Watch          int64 `json:"watch"`
	} `json:"calls"`
}

func (f *Fleet) countStoreCalls(ctx context.Context, client *http.Client) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.StoreURL+"/calls", nil)
	if err != nil {
		return 0, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var reply storeCallCounts
	err = json.NewDecoder(resp.Body).Decode(&reply)
	c := reply.Calls
	return c.Get + c.CompareAndSwap + c.Delete + c.Grant + c.KeepAlive + c.Revoke + c.Watch, err
}

// roundTripSamples is the number of round trips of which minRoundTrip takes the
// shortest.
const roundTripSamples = 50

// minRoundTrip measures the shortest round trip to an endpoint.
func (f *Fleet) minRoundTrip(ctx context.Context, client *http.Client) (time.Duration, error) {
	shortest := time.Hour
	for range roundTripSamples {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.Endpoints[0].URL+"/faults", nil)
		if err != nil {
			return 0, err
		}
		start := time.Now()
		resp, err := client.Do(req)
		if err != nil {
			return 0, err
		}
		_ = resp.Body.Close()
		shortest = min(shortest, time.Since(start))
	}
	return shortest, nil
}
