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

// State is the policy as of one revision of the store.
type State struct {
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
func (s *State) OutOfService(domain string) bool {
	_, found := slices.BinarySearch(s.Evacuated, domain)
	return found
}

// Board holds the newest policy known to a process.
type Board struct {
	mu    sync.Mutex
	state *State
	// takenAt is when state was taken over.
	takenAt time.Duration
	changed chan struct{}
}

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{changed: make(chan struct{})} }

// State returns the newest policy, nil before the first one. It must not be
// changed.
func (b *Board) State() *State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state
}

// Revision is the newest policy's revision, zero before the first one.
func (b *Board) Revision() uint64 {
	if s := b.State(); s != nil {
		return s.Revision
	}
	return 0
}

// Age is how long ago the newest policy was taken over.
func (b *Board) Age() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return clock.Boot() - b.takenAt
}

// Changed returns a channel that is closed at the next change.
func (b *Board) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Apply takes a policy over if it is newer than the one held. A policy whose
// configuration has a lower version is never taken over.
func (b *Board) Apply(s *State) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state != nil && (s.Revision <= b.state.Revision || s.Config.Version < b.state.Config.Version) {
		return false
	}
	b.state = s
	b.takenAt = clock.Boot()
	close(b.changed)
	b.changed = make(chan struct{})
	return true
}
