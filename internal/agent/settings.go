package agent

import (
	"net"
	"net/url"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/settings"
)

// Settings holds the agent's settings.
type Settings struct {
	// Endpoint is the endpoint's name. It must stay the same after a restart.
	Endpoint      string `json:"endpoint"`
	FailureDomain string `json:"failure_domain"`
	// Slots is the number of tasks that the endpoint can run at once.
	Slots int `json:"slots"`
	// EndpointURL is the base URL of the endpoint's HTTP server; tasks are
	// sent to its path /run.
	EndpointURL string `json:"endpoint_url"`
	// Listen is the address of the debug pages; empty means none.
	Listen string `json:"listen"`
	// Entries lists addresses of entries to ask first for the owner.
	Entries []string `json:"entries"`
	// Freshness is the maximum age of the owner's last confirmation at which
	// tasks may start.
	Freshness settings.Duration `json:"freshness"`
	// Heartbeat is the interval between heartbeats on a stream.
	Heartbeat settings.Duration `json:"heartbeat"`
	// RecordRetention is how long after its submission a task may start. The
	// record of its start is kept for longer.
	RecordRetention settings.Duration `json:"record_retention"`
	// MaxRecords limits the records of started tasks.
	MaxRecords int64 `json:"max_records"`
	// BodyRetention is how long the result body of an ended task is kept for
	// an entry that did not receive it.
	BodyRetention settings.Duration `json:"body_retention"`
	// MaxHeldBytes limits the total size of the result bodies that are kept,
	// in bytes.
	MaxHeldBytes int64 `json:"max_held_bytes"`
	// MaxBodyBytes limits the body of one response of the endpoint, in bytes.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// Connections is the maximum number of connections to the endpoint.
	Connections int `json:"connections"`
	// ConnectTimeout limits the time to open a connection to the endpoint.
	ConnectTimeout settings.Duration `json:"connect_timeout"`
	// DrainTimeout limits the time from SIGTERM to exit.
	DrainTimeout settings.Duration `json:"drain_timeout"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
}

// DefaultSettings returns the default values of the optional settings.
func DefaultSettings() Settings {
	return Settings{
		Freshness:       settings.Duration(3 * time.Second),
		Heartbeat:       settings.Duration(time.Second),
		RecordRetention: settings.Duration(10 * time.Minute),
		MaxRecords:      500_000,
		BodyRetention:   settings.Duration(time.Minute),
		MaxHeldBytes:    64 << 20,
		MaxBodyBytes:    4 << 20,
		Connections:     60,
		ConnectTimeout:  settings.Duration(time.Second),
		DrainTimeout:    settings.Duration(30 * time.Second),
		LogLevel:        "info",
	}
}

// Validate returns a *result.Error with code SettingsValue that names the field
// and the reason, or nil.
func (s *Settings) Validate() error {
	checks := []func() *result.Error{
		s.checkNames,
		s.checkAddresses,
		s.checkDurations,
		s.checkLimits,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkNames() *result.Error {
	if s.Endpoint == "" {
		return badValue("endpoint", "must not be empty")
	}
	if s.FailureDomain == "" {
		return badValue("failure_domain", "must not be empty")
	}
	if _, err := zapcore.ParseLevel(s.LogLevel); err != nil {
		return badValue("log_level", "must be debug, info, warn or error")
	}
	return nil
}

func (s *Settings) checkAddresses() *result.Error {
	u, err := url.Parse(s.EndpointURL)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return badValue("endpoint_url", "must be like http://host:port")
	}
	if s.Listen != "" && !isAddress(s.Listen) {
		return badValue("listen", "must be host:port")
	}
	if len(s.Entries) == 0 {
		return badValue("entries", "must name at least one entry")
	}
	for _, addr := range s.Entries {
		if !isAddress(addr) {
			return badValue("entries", "must be a list of host:port")
		}
	}
	return nil
}

func (s *Settings) checkDurations() *result.Error {
	fields := []struct {
		name  string
		value settings.Duration
	}{
		{"freshness", s.Freshness},
		{"heartbeat", s.Heartbeat},
		{"record_retention", s.RecordRetention},
		{"body_retention", s.BodyRetention},
		{"connect_timeout", s.ConnectTimeout},
		{"drain_timeout", s.DrainTimeout},
	}
	for _, f := range fields {
		if f.value <= 0 {
			return badValue(f.name, "must be above zero")
		}
	}
	if s.Freshness < 2*s.Heartbeat {
		return badValue("freshness", "must be at least twice the heartbeat")
	}
	return nil
}

func (s *Settings) checkLimits() *result.Error {
	fields := []struct {
		name  string
		value int64
	}{
		{"slots", int64(s.Slots)},
		{"max_records", s.MaxRecords},
		{"max_held_bytes", s.MaxHeldBytes},
		{"max_body_bytes", s.MaxBodyBytes},
		{"connections", int64(s.Connections)},
	}
	for _, f := range fields {
		if f.value <= 0 {
			return badValue(f.name, "must be above zero")
		}
	}
	if s.Connections < s.Slots {
		return badValue("connections", "must not be less than slots")
	}
	return nil
}

func isAddress(addr string) bool {
	_, port, err := net.SplitHostPort(addr)
	return err == nil && port != ""
}

func badValue(field, reason string) *result.Error {
	return result.Errorf(result.SettingsValue, "%s %s", field, reason)
}
