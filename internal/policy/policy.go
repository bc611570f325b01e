// Package policy holds what operators have decided: routes, services, limits
// and failure domains out of service. Every process of the system has one
// Board, which only moves forward.
package policy

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pomelosill/pomelosill/internal/clock"
)

// Route leads callers' requests to a service.
type Route struct {
	Name string
	// Host and Prefix select the route of a request.
	Host   string
	Prefix string
	// Service names the endpoints that run the route's tasks.
	Service string
	// Priority orders routes; 0 comes first.
	Priority int
	// MaxAttempts is how often a task may fail.
	MaxAttempts int
	// Stretch and TargetLatency give a job's objective: Stretch times its
	// longest chain of work, plus TargetLatency.
	Stretch       float64
	TargetLatency time.Duration
	Timeout       time.Duration
}

// Objective is the time within which a job with this longest chain of work
// should be answered.
func (r *Route) Objective(chain time.Duration) time.Duration {
	return time.Duration(r.Stretch*float64(chain)) + r.TargetLatency
}

// Limits bound callers' requests.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int64
}

// Config is one accepted configuration.
type Config struct {
	// Version rises with each change, in uneven steps.
	Version  uint64
	Routes   []Route
	Services []string
	Limits   Limits
}

// Match returns the route with the longest prefix of path for host.
func (c *Config) Match(host, path string) (*Route, bool) {
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best, best != nil
}

// Serves tells whether any route leads to the service.
func (c *Config) Serves(service string) bool {
	return slices.ContainsFunc(c.Routes, func(r Route) bool { return r.Service == service })
}

// Snapshot is the policy as of one revision of the store.
type Snapshot struct {
	// Revision is the store's revision that the state is complete for.
	Revision uint64
	// Document is the configuration as the store holds it.
	Document []byte
	// Config is Document decoded.
	Config *Config
	// Evacuated are the failure domains that are out of service, sorted.
	Evacuated []string
}

// OutOfService tells whether a failure domain gets no starts.
func (s *Snapshot) OutOfService(domain string) bool {
	_, found := slices.BinarySearch(s.Evacuated, domain)
	return found
}

// Holder holds the newest policy known to a process.
type Holder struct {
	mu      sync.Mutex
	current *Snapshot
	// appliedAt is when state was taken over.
	appliedAt time.Duration
	changed   chan struct{}
}

// NewHolder returns an empty board.
func NewHolder() *Holder { return &Holder{changed: make(chan struct{})} }

// Current returns the newest policy, nil before the first one. It must not be
// changed.
func (b *Holder) Current() *Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current
}

// Revision is the newest policy's revision, zero before the first one.
func (b *Holder) Revision() uint64 {
	if s := b.Current(); s != nil {
		return s.Revision
	}
	return 0
}

// Age is how long ago the newest policy was taken over.
func (b *Holder) Age() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return clock.SinceBoot() - b.appliedAt
}

// Changed returns a channel that is closed at the next change.
func (b *Holder) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Apply takes a policy over if it is newer than the one held. A policy whose
// configuration has a lower version is never taken over.
func (b *Holder) Apply(s *Snapshot) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != nil && (s.Revision <= b.current.Revision || s.Config.Version < b.current.Config.Version) {
		return false
	}
	b.current = s
	b.appliedAt = clock.SinceBoot()
	close(b.changed)
	b.changed = make(chan struct{})
	return true
}
