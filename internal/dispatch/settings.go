package dispatch

import (
	"time"

	"github.com/pomelosill/pomelosill/internal/settings"
)

// Settings of a dispatcher; see deploy/dispatcher.jsonc.
type Settings struct {
	settings.Service
	// Listen takes callers' requests.
	Listen string `json:"listen"`
	// Ready answers the balancer.
	Ready string `json:"ready"`
	// Peer takes the other dispatchers' streams.
	Peer string `json:"peer"`
}

// DefaultSettings are the values of fields that are not in the file.
func DefaultSettings() Settings { return Settings{Service: settings.DefaultService()} }

const (
	// minLeaseMax is the shortest lease that can be reckoned with.
	minLeaseMax = time.Millisecond
	// minGrace is the shortest time in which open jobs can be answered.
	minGrace = 2 * time.Second
)

// Validate implements settings.Settings.
func (s *Settings) Validate() error {
	return s.Check(minLeaseMax, minGrace, settings.RequiredField{Field: "listen", Value: s.Listen},
		settings.RequiredField{Field: "ready", Value: s.Ready}, settings.RequiredField{Field: "peer", Value: s.Peer})
}
