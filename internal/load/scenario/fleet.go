// Package scenario runs the load scenarios against a running fleet and turns
// each into one line of the report.
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

// Fleet says where the processes of a fleet listen. It is the settings file of
// the load tool; every address is a URL.
type Fleet struct {
	// Entries are the callers' addresses.
	Entries []string `json:"entries"`
	// Debug are the addresses of the entries' debug pages, in the same order.
	Debug []string `json:"debug"`
	// Admin are the operators' addresses.
	Admin     []string   `json:"admin"`
	Endpoints []Endpoint `json:"endpoints"`
	// StoreURL is the stand-in of the platform's store.
	StoreURL string `json:"platform"`
	// Slots is the number of slots of each endpoint.
	Slots int `json:"slots"`
	// CallerToken and OperatorToken may be empty.
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
		return result.Errorf(result.SettingsValue, "endpoints: at least one is needed")
	case f.Slots < 1:
		return result.Errorf(result.SettingsValue, "slots: must be at least 1")
	case len(f.Debug) != len(f.Entries):
		return result.Errorf(result.SettingsValue, "debug: one address per entry is needed")
	}
	return nil
}

// totalSlots is the number of slots of the fleet.
func (f *Fleet) totalSlots() int { return f.Slots * len(f.Endpoints) }

func (f *Fleet) endpointURLs() []string {
	var urls []string
	for _, e := range f.Endpoints {
		urls = append(urls, e.URL)
	}
	return urls
}

// slotsInDomain counts the slots in a failure domain.
func (f *Fleet) slotsInDomain(domain string) int {
	n := 0
	for _, e := range f.Endpoints {
		if e.Domain == domain {
			n += f.Slots
		}
	}
	return n
}

// lastDomain is the failure domain of the last endpoint.
func (f *Fleet) lastDomain() string { return f.Endpoints[len(f.Endpoints)-1].Domain }

// commandTimeout is how long a command may take to be in force.
const commandTimeout = 4 * time.Second

// runStatement issues a statement at the first operators' address that answers.
func (f *Fleet) runStatement(ctx context.Context, client *http.Client, text string) error {
	body, err := json.Marshal(api.Statement{Text: text, WaitMS: commandTimeout.Milliseconds()})
	if err != nil {
		return err
	}
	last := errors.New("no operators' address")
	for _, admin := range f.Admin {
		var reply api.Reply
		last = f.postJSON(ctx, client, admin+"/v1/query", body, &reply)
		if last != nil {
			continue
		}
		if reply.Code != result.OK && reply.Code != result.CommandUnconfirmed {
			return errors.Errorf("%q: %s %s", text, reply.Code, reply.Detail)
		}
		return nil
	}
	return last
}

func (f *Fleet) postJSON(ctx context.Context, client *http.Client, url string, body []byte, into any) error {
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
	return json.NewDecoder(resp.Body).Decode(into)
}

// endpointFaults are the faults of a stand-in endpoint that scenarios use.
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

// storeCallCounts is the part of the platform's page that is read.
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
	var page storeCallCounts
	err = json.NewDecoder(resp.Body).Decode(&page)
	c := page.Calls
	return c.Get + c.CompareAndSwap + c.Delete + c.Grant + c.KeepAlive + c.Revoke + c.Watch, err
}

// roundTripSamples is how many round trips are tried for the least network time.
const roundTripSamples = 50

// minRoundTrip is the shortest round trip to an endpoint.
func (f *Fleet) minRoundTrip(ctx context.Context, client *http.Client) (time.Duration, error) {
	least := time.Hour
	for range roundTripSamples {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.Endpoints[0].URL+"/faults", nil)
		if err != nil {
			return 0, err
		}
		begin := time.Now()
		resp, err := client.Do(req)
		if err != nil {
			return 0, err
		}
		_ = resp.Body.Close()
		least = min(least, time.Since(begin))
	}
	return least, nil
}
