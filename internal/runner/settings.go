package runner

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/settings"
)

// Settings configure a runner; see deploy/runner.jsonc.
type Settings struct {
	settings.Service
	// Listen is the address for the endpoint's heartbeats.
	Listen string `json:"listen"`
	// Link is the address for the dispatchers' connections.
	Link string `json:"link"`
	// Advertise is the address that dispatchers dial, if it is not Link.
	Advertise string `json:"advertise"`
}

// DefaultSettings returns the values of settings that are not in the file.
func DefaultSettings() Settings { return Settings{Service: settings.DefaultService()} }

// address returns the address that dispatchers dial.
func (s *Settings) address() string {
	if s.Advertise != "" {
		return s.Advertise
	}
	return s.Link
}

const (
	// minLeaseMax is the smallest valid lease_max: a shorter lease can't be
	// renewed in time.
	minLeaseMax = 300 * time.Millisecond
	// minGrace is the shortest grace period in which running tasks can end.
	minGrace = time.Second
)

// Validate implements settings.Settings.
func (s *Settings) Validate() error {
	return s.Check(minLeaseMax, minGrace,
		settings.RequiredField{Field: "listen", Value: s.Listen}, settings.RequiredField{Field: "link", Value: s.Link})
}
