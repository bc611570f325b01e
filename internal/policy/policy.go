// Package policy holds the operators' decisions: routes, services, limits and
// failure domains out of service. Each process has one Holder, whose policy
// never goes back to an older revision.
package policy

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Route maps callers' requests to a service.
type Route struct {
	Name string
	// Host and Prefix select the requests of the route.
	Host   string
	Prefix string
	// Service is the service whose endpoints run the route's tasks.
	Service string
	// Priority orders routes; 0 is the most important.
	Priority int
	// MaxAttempts is the number of failures after which a task fails its job.
	MaxAttempts int
	// Stretch and TargetLatency give a job's objective: Stretch times the
	// duration of its longest chain of steps, plus TargetLatency.
	Stretch       float64
	TargetLatency time.Duration
	Timeout       time.Duration
}

// Objective returns the latency within which a job should be answered whose
// longest chain of steps has the given duration.
// It is at least zero and at most maxObjective.
func (r *Route) Objective(criticalPath time.Duration) time.Duration {
	stretched := time.Duration(min(max(r.Stretch*float64(criticalPath), 0), float64(maxObjective)))
	return min(max(stretched+min(r.TargetLatency, maxObjective), 0), maxObjective)
}

// maxObjective bounds objectives, so that times that are computed from them don't
// overflow.
const maxObjective = 30 * 24 * time.Hour

// LeadsTo reports whether a request for the job is one on this route.
func (r *Route) LeadsTo(host, path, job string) bool {
	return r.Host == host && path == r.Prefix+job
}

// Limits bound the size of callers' requests.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int64
}

// Config is one accepted configuration.
type Config struct {
	// Version increases with each change, not necessarily by one.
	Version  uint64
	Routes   []Route
	Services []string
	Limits   Limits
}

// Match returns the route with the longest prefix of path for host, and reports
// whether there is one.
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

// MaxLevels is the number of priority levels. Messages and states hold one value
// per level, so their size doesn't depend on the configuration.
const MaxLevels = 4

// levels holds the priority levels of a configuration's routes. They are computed
// once per configuration, because decisions about each job read them.
type levels struct {
	byRoute map[string]int
	count   int
}

// newLevels ranks the distinct priorities of the routes.
func newLevels(routes []Route) *levels {
	var priorities []int
	for i := range routes {
		priorities = append(priorities, routes[i].Priority)
	}
	slices.Sort(priorities)
	priorities = slices.Compact(priorities)
	l := &levels{byRoute: make(map[string]int, len(routes)), count: min(max(len(priorities), 1), MaxLevels)}
	for i := range routes {
		rank, _ := slices.BinarySearch(priorities, routes[i].Priority)
		l.byRoute[routes[i].Name] = min(rank, MaxLevels-1)
	}
	return l
}

// Level returns the priority level of the named route: the rank of its priority
// among the distinct priorities of all routes, from 0 for the one that comes first
// to MaxLevels-1 for all that have no level of their own. It is 0 for an unknown
// route.
func (s *Snapshot) Level(route string) int {
	if s == nil || s.levels == nil {
		return 0
	}
	return s.levels.byRoute[route]
}

// KnowsRoute reports whether the named route is in the configuration.
func (s *Snapshot) KnowsRoute(route string) bool {
	if s == nil || s.levels == nil {
		return false
	}
	_, known := s.levels.byRoute[route]
	return known
}

// LevelCount returns the number of priority levels in use, at least 1.
func (s *Snapshot) LevelCount() int {
	if s == nil || s.levels == nil {
		return 1
	}
	return s.levels.count
}

// Serves reports whether any route maps to the service.
func (c *Config) Serves(service string) bool {
	return slices.ContainsFunc(c.Routes, func(r Route) bool { return r.Service == service })
}

// Snapshot is the policy as of one revision of the store.
type Snapshot struct {
	// Revision is the store revision up to which the snapshot includes all
	// changes.
	Revision uint64
	// Document is the configuration as encoded in the store.
	Document []byte
	// Config is the decoded Document.
	Config *Config
	// Evacuated holds the failure domains that are out of service, sorted.
	Evacuated []string
	// levels is set when a Holder applies the snapshot.
	levels *levels
}

// OutOfService reports whether tasks must not be started in the failure domain.
func (s *Snapshot) OutOfService(domain string) bool {
	_, found := slices.BinarySearch(s.Evacuated, domain)
	return found
}

// Transfers counts the policies that other processes have sent to this one.
type Transfers struct {
	// Newer counts those that were newer than the process's own, Copies all others.
	Newer  uint64 `json:"newer"`
	Copies uint64 `json:"copies"`
	// CopyBytes is the size of the copies' configurations.
	CopyBytes uint64 `json:"copy_bytes"`
}

// Holder holds the newest policy known to a process. It is safe for concurrent
// use.
type Holder struct {
	mu      sync.Mutex
	current *Snapshot
	// confirmedAt is a time at which the store held no later change than those in the
	// current policy, zero if none is known.
	confirmedAt time.Duration
	changed     chan struct{}
	transfers   Transfers
}

// NewHolder returns a holder without a policy.
func NewHolder() *Holder { return &Holder{changed: make(chan struct{})} }

// Current returns the newest policy, nil before the first one. The caller must
// not modify it.
func (h *Holder) Current() *Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// Revision returns the revision of the newest policy, zero before the first
// one.
func (h *Holder) Revision() uint64 {
	if s := h.Current(); s != nil {
		return s.Revision
	}
	return 0
}

// Confirm records that the store held no later change than those in the policy of a revision
// at the given time. It is ignored while the current policy is older.
func (h *Holder) Confirm(revision uint64, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current != nil && h.current.Revision >= revision {
		h.confirmedAt = max(h.confirmedAt, at)
	}
}

// Confirmed returns the revision of the current policy, and the latest time at which it is
// known to have included all changes in the store; zero if there is none.
func (h *Holder) Confirmed() (revision uint64, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current == nil {
		return 0, 0
	}
	return h.current.Revision, h.confirmedAt
}

// CountTransfer records that another process has sent a policy of the given size, and whether
// it was newer than the current one. It returns the counts so far.
func (h *Holder) CountTransfer(newer bool, size int) Transfers {
	h.mu.Lock()
	defer h.mu.Unlock()
	if newer {
		h.transfers.Newer++
	} else {
		h.transfers.Copies++
		h.transfers.CopyBytes += uint64(size)
	}
	return h.transfers
}

// Transfers returns the counts of the policies that other processes have sent.
func (h *Holder) Transfers() Transfers {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.transfers
}

// Changed returns a channel that is closed at the next change.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Apply replaces the current policy by a newer one and reports whether it did.
// A policy whose configuration has a lower version is never applied.
func (h *Holder) Apply(s *Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current != nil && (s.Revision <= h.current.Revision || s.Config.Version < h.current.Config.Version) {
		return false
	}
	s.levels = newLevels(s.Config.Routes)
	h.current = s
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}
