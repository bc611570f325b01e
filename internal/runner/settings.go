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
	// HeartbeatInterval is the time between two heartbeats of the endpoint. Its
	// capacity counts as known for 2.5 times as long.
	HeartbeatInterval settings.Duration `json:"heartbeat_interval"`
	// EvacuationTimeout is how long runs may still be started in a failure domain that an
	// operator has taken out of service.
	EvacuationTimeout settings.Duration `json:"evacuation_timeout"`
	// ContactTime is how long a host must have reached the store for that to hold there.
	ContactTime settings.Duration `json:"contact_time"`
}

// DefaultSettings returns the values of settings that are not in the file.
func DefaultSettings() Settings {
	return Settings{
		Service:           settings.DefaultService(),
		HeartbeatInterval: settings.Duration(defaultHeartbeatInterval),
		EvacuationTimeout: settings.Duration(defaultEvacuationTimeout),
		ContactTime:       settings.Duration(defaultContactTime),
	}
}

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
	// defaultHeartbeatInterval is that of the platform's smallest deployments.
	defaultHeartbeatInterval = 1500 * time.Millisecond
	// minHeartbeatInterval is the shortest valid heartbeat_interval.
	minHeartbeatInterval = 10 * time.Millisecond
	// defaultEvacuationTimeout and defaultContactTime are those of the platform's
	// smallest deployments.
	defaultEvacuationTimeout = 5 * time.Second
	defaultContactTime       = 3 * time.Second
	// minEvacuationTimeout is the shortest one within which dispatchers confirm the
	// policy: they ask the store each second, and tell idle runners each second.
	minEvacuationTimeout = 4500 * time.Millisecond
	// minContactTime is the shortest one within which a failed read is repeated in time.
	minContactTime = 2800 * time.Millisecond
)

// Validate implements settings.Settings.
func (s *Settings) Validate() error {
	if s.HeartbeatInterval.Std() < minHeartbeatInterval {
		return settings.BadValue("heartbeat_interval", "must be at least "+minHeartbeatInterval.String())
	}
	if s.EvacuationTimeout.Std() < minEvacuationTimeout {
		return settings.BadValue("evacuation_timeout", "must be at least "+minEvacuationTimeout.String())
	}
	if s.ContactTime.Std() < minContactTime {
		return settings.BadValue("contact_time", "must be at least "+minContactTime.String())
	}
	return s.Check(minLeaseMax, minGrace,
		settings.RequiredField{Field: "listen", Value: s.Listen}, settings.RequiredField{Field: "link", Value: s.Link})
}
