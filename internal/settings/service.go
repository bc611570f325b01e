package settings

import "time"

// Service holds the settings that dispatchers and runners have in common.
type Service struct {
	// Name identifies the process. It must stay the same after a restart.
	Name string `json:"name"`
	// Metrics is the listen address for metrics and the state dump.
	Metrics string `json:"metrics"`
	// Store is the address of the platform's store.
	Store string `json:"store"`
	// LeaseMax is the longest lease that an endpoint grants.
	LeaseMax Duration `json:"lease_max"`
	// Grace is the time between SIGTERM and the end of the process.
	Grace Duration `json:"grace"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
}

// DefaultService returns the values of settings that are not in the file.
func DefaultService() Service {
	return Service{
		LeaseMax: Duration(time.Second),
		Grace:    Duration(6 * time.Second),
		LogLevel: "info",
	}
}

// Level returns the log level.
func (s *Service) Level() string { return s.LogLevel }

// RequiredField is a setting that must not be empty.
type RequiredField struct{ Field, Value string }

// Check returns an error for the first setting that is missing or too small: an
// empty required field, of the service itself or of those passed in, or a lease
// or grace period below its minimum.
func (s *Service) Check(minLease, minGrace time.Duration, required ...RequiredField) error {
	for _, r := range append([]RequiredField{{"name", s.Name}, {"store", s.Store}}, required...) {
		if r.Value == "" {
			return BadValue(r.Field, "must be given")
		}
	}
	if s.LeaseMax.Std() < minLease {
		return BadValue("lease_max", "must be at least "+minLease.String())
	}
	if s.Grace.Std() < minGrace {
		return BadValue("grace", "must be at least "+minGrace.String())
	}
	return nil
}
