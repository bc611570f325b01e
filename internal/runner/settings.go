package runner

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/settings"
)

// Settings of a runner; see deploy/runner.jsonc.
type Settings struct {
	settings.Service
	// Listen takes the endpoint's heartbeats.
	Listen string `json:"listen"`
	// Link takes the dispatchers' connections.
	Link string `json:"link"`
	// Advertise is where dispatchers dial, if that is not Link.
	Advertise string `json:"advertise"`
}

// DefaultSettings are the values of fields that are not in the file.
func DefaultSettings() Settings { return Settings{Service: settings.DefaultService()} }

// address is where dispatchers dial the runner.
func (s *Settings) address() string {
	if s.Advertise != "" {
		return s.Advertise
	}
	return s.Link
}

const (
	// minLease is the shortest lease that can be renewed in time.
	minLease = 300 * time.Millisecond
	// minGrace is the shortest time in which running tasks can end.
	minGrace = time.Second
)

// Validate implements settings.Settings.
func (s *Settings) Validate() error {
	return s.Check(minLease, minGrace,
		settings.RequiredField{Field: "listen", Value: s.Listen}, settings.RequiredField{Field: "link", Value: s.Link})
}
