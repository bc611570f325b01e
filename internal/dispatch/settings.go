package dispatch

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/settings"
)

// Settings configure a dispatcher; see deploy/dispatcher.jsonc.
type Settings struct {
	settings.Service
	// Listen is the address for callers' requests.
	Listen string `json:"listen"`
	// Ready is the address for the load balancer's readiness checks.
	Ready string `json:"ready"`
	// Peer is the address for the other dispatchers' streams.
	Peer string `json:"peer"`
}

// DefaultSettings returns the values of settings that are not in the file.
func DefaultSettings() Settings { return Settings{Service: settings.DefaultService()} }

const (
	// minLeaseMax is the smallest valid lease_max: it must be positive.
	minLeaseMax = time.Millisecond
	// minGrace is the shortest grace period in which open jobs can be answered.
	minGrace = 2 * time.Second
)

// Validate implements settings.Settings.
func (s *Settings) Validate() error {
	return s.Check(minLeaseMax, minGrace, settings.RequiredField{Field: "listen", Value: s.Listen},
		settings.RequiredField{Field: "ready", Value: s.Ready}, settings.RequiredField{Field: "peer", Value: s.Peer})
}
