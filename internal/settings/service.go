package settings

import "time"

// Service holds the settings that dispatchers and runners share.
type Service struct {
	// Name is the process's name, the same after a restart.
	Name string `json:"name"`
	// Metrics serves metrics and the state dump.
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

// DefaultService are the values of fields that are not in the file.
func DefaultService() Service {
	return Service{
		LeaseMax: Duration(time.Second),
		Grace:    Duration(6 * time.Second),
		LogLevel: "info",
	}
}

// Level is the log level.
func (s *Service) Level() string { return s.LogLevel }

// RequiredField is a field that must not be empty.
type RequiredField struct{ Field, Value string }

// Check returns the first error: an empty field of the service's or of those
// given, or a lease or grace below its least.
func (s *Service) Check(leastLease, leastGrace time.Duration, required ...RequiredField) error {
	for _, r := range append([]RequiredField{{"name", s.Name}, {"store", s.Store}}, required...) {
		if r.Value == "" {
			return BadValue(r.Field, "must be given")
		}
	}
	if s.LeaseMax.Std() < leastLease {
		return BadValue("lease_max", "must be at least "+leastLease.String())
	}
	if s.Grace.Std() < leastGrace {
		return BadValue("grace", "must be at least "+leastGrace.String())
	}
	return nil
}
