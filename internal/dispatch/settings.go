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
	// leastLease is the shortest lease that can be reckoned with.
	leastLease = time.Millisecond
	// leastGrace is the shortest time in which open jobs can be answered.
	leastGrace = 2 * time.Second
)

// Validate implements settings.Settings.
func (s *Settings) Validate() error {
	return s.Check(leastLease, leastGrace, settings.Required{Field: "listen", Value: s.Listen},
		settings.Required{Field: "ready", Value: s.Ready}, settings.Required{Field: "peer", Value: s.Peer})
}
