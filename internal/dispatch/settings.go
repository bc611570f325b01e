package dispatch

import (
	"math"
	"strconv"
	"time"

	"github.com/pomelosill/pomelosill/internal/process"
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
	// ProcessorCores is the CPU time in cores that the process may use, zero if it is
	// unknown. With a small share, the dispatcher forwards jobs to others while it is
	// starved.
	ProcessorCores float64 `json:"processor_cores"`
	// MemoryMB is the memory that the process may use, zero for all of the host's. Requests
	// that are being read get a part of it.
	MemoryMB int64 `json:"memory_mb"`
}

// memoryBytes returns the memory that the process may use, zero if it is unknown.
func (s *Settings) memoryBytes() int64 {
	if s.MemoryMB == 0 {
		return process.HostMemory()
	}
	return s.MemoryMB << 20
}

// maxForwardingCores is the share of CPU time from which on a dispatcher forwards no
// jobs: it has CPU time for several times the jobs of an ordinary dispatcher.
const maxForwardingCores = 0.25

// forwards reports whether the dispatcher may forward jobs.
func (s *Settings) forwards() bool {
	return s.ProcessorCores > 0 && s.ProcessorCores < maxForwardingCores
}

// DefaultSettings returns the values of settings that are not in the file.
func DefaultSettings() Settings { return Settings{Service: settings.DefaultService()} }

const (
	// minLeaseMax is the smallest valid lease_max: it must be positive.
	minLeaseMax = time.Millisecond
	// minGrace is the shortest grace period in which open jobs can be answered.
	minGrace = 2 * time.Second
	// minMemoryMB is the least memory that leaves room for requests, and maxMemoryMB more
	// than any host has.
	minMemoryMB = 64
	maxMemoryMB = 1 << 24
)

// Validate implements settings.Settings.
func (s *Settings) Validate() error {
	if !(s.ProcessorCores >= 0) || math.IsInf(s.ProcessorCores, 0) {
		return settings.BadValue("processor_cores", "must not be negative")
	}
	if s.MemoryMB < 0 || (s.MemoryMB > 0 && s.MemoryMB < minMemoryMB) || s.MemoryMB > maxMemoryMB {
		return settings.BadValue("memory_mb", "must be zero or between "+strconv.Itoa(minMemoryMB)+" and "+strconv.Itoa(maxMemoryMB))
	}
	return s.Check(minLeaseMax, minGrace, settings.RequiredField{Field: "listen", Value: s.Listen},
		settings.RequiredField{Field: "ready", Value: s.Ready}, settings.RequiredField{Field: "peer", Value: s.Peer})
}
