package runner

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/settings"
)

// Settings of a runner; see deploy/runner.jsonc.
type Settings struct {
	// Name is the process's name, the same after a restart.
	Name string `json:"name"`
	// Listen takes the endpoint's heartbeats.
	Listen string `json:"listen"`
	// Link takes the dispatchers' streams.
	Link string `json:"link"`
	// Advertise is where dispatchers dial, if that is not Link.
	Advertise string `json:"advertise"`
	// Metrics serves metrics and the state dump.
	Metrics string `json:"metrics"`
	// Store is the address of the platform's store.
	Store string `json:"store"`
	// LeaseMax is the longest lease that an endpoint grants.
	LeaseMax settings.Duration `json:"lease_max"`
	// Grace is the time between SIGTERM and the end of the process.
	Grace settings.Duration `json:"grace"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
}

// DefaultSettings are the values of fields that are not in the file.
func DefaultSettings() Settings {
	return Settings{
		LeaseMax: settings.Duration(time.Second),
		Grace:    settings.Duration(6 * time.Second),
		LogLevel: "info",
	}
}

// address is where dispatchers dial the runner.
func (s *Settings) address() string {
	if s.Advertise != "" {
		return s.Advertise
	}
	return s.Link
}

// minLease is the shortest lease that can be renewed in time.
const minLease = 300 * time.Millisecond

// Validate implements settings.Settings.
func (s *Settings) Validate() error {
	required := []struct{ field, value string }{
		{"name", s.Name}, {"listen", s.Listen},
		{"link", s.Link}, {"store", s.Store},
	}
	for _, r := range required {
		if r.value == "" {
			return settings.BadValue(r.field, "must be given")
		}
	}
	if s.LeaseMax.Std() < minLease {
		return settings.BadValue("lease_max", "must be at least "+minLease.String())
	}
	if s.Grace.Std() < time.Second {
		return settings.BadValue("grace", "must be at least 1s")
	}
	return nil
}
