package runner

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/settings"
)

// Settings are the settings of a runner; deploy/runner.jsonc documents them.
type Settings struct {
	settings.Service
	// Listen is the address that receives the endpoint's heartbeats.
	Listen string `json:"listen"`
	// Link is the address that accepts connections of dispatchers.
	Link string `json:"link"`
	// Advertise is the address that dispatchers dial, if it is not Link.
	Advertise string `json:"advertise"`
}

// DefaultSettings returns the values of settings that the file leaves out.
func DefaultSettings() Settings { return Settings{Service: settings.DefaultService()} }

// address returns the address that dispatchers dial.
func (s *Settings) address() string {
	if s.Advertise != "" {
		return s.Advertise
	}
	return s.Link
}

const (
	// minLease is the shortest lease that can be renewed in time.
	minLease = 300 * time.Millisecond
	// minGrace is the shortest period in which running tasks can end.
	minGrace = time.Second
)

// Validate implements settings.Settings.
func (s *Settings) Validate() error {
	return s.Check(minLease, minGrace,
		settings.RequiredField{Field: "listen", Value: s.Listen}, settings.RequiredField{Field: "link", Value: s.Link})
}
