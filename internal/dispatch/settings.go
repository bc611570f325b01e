package dispatch

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/settings"
)

// Settings of a dispatcher; see deploy/dispatcher.jsonc.
type Settings struct {
	// Name is the process's name, the same after a restart.
	Name string `json:"name"`
	// Listen takes callers' requests.
	Listen string `json:"listen"`
	// Ready answers the balancer.
	Ready string `json:"ready"`
	// Peer takes the other dispatchers' streams.
	Peer string `json:"peer"`
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

// Validate implements settings.Settings.
func (s *Settings) Validate() error {
	required := []struct{ field, value string }{
		{"name", s.Name}, {"listen", s.Listen},
		{"ready", s.Ready}, {"peer", s.Peer}, {"store", s.Store},
	}
	for _, r := range required {
		if r.value == "" {
			return settings.BadValue(r.field, "must be given")
		}
	}
	if s.LeaseMax.Std() <= 0 {
		return settings.BadValue("lease_max", "must be positive")
	}
	if s.Grace.Std() < 2*time.Second {
		return settings.BadValue("grace", "must be at least 2s")
	}
	return nil
}
