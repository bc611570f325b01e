// Package directory lets the processes of the system find each other. Each
// process writes its address to the store under a lease. Dispatchers cache what
// they have read, so that they keep working without the store.
package directory

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pomelosill/pomelosill/internal/network"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/store"
)

const (
	// Prefix is the prefix of the processes' keys in the store.
	Prefix = "pomelosill/nodes/"
	// DispatcherPrefix is that of the dispatchers among them, which can be listed without
	// the many runners.
	DispatcherPrefix = Prefix + "dispatcher/"
)

// Role is the kind of a process.
type Role string

// The roles.
const (
	Dispatcher Role = "dispatcher"
	Runner     Role = "runner"
)

// Node is the address of one process.
type Node struct {
	Name    string `json:"name"`
	Role    Role   `json:"role"`
	Address string `json:"address"`
	// Revision is the revision of the record in the store.
	Revision uint64 `json:"-"`
}

// valid reports whether the node can be dialled.
func (n *Node) valid() bool {
	return n.Name != "" && network.ValidAddress(n.Address) && (n.Role == Dispatcher || n.Role == Runner)
}

// Key returns the key of the node's record in the store.
func (n *Node) Key() string {
	if n.Role == Dispatcher {
		return DispatcherPrefix + n.Name
	}
	return Prefix + n.Name
}

// nameOf returns the name of the process that a key is meant for.
func nameOf(key string) string {
	if name, ok := strings.CutPrefix(key, DispatcherPrefix); ok {
		return name
	}
	return strings.TrimPrefix(key, Prefix)
}

// Cache holds the nodes that a process knows. A node is kept for
// removedRetention after its record was removed, because the store may also
// remove the record of a running process when it loses a lease. Its methods are
// safe for concurrent use.
type Cache struct {
	mu    sync.Mutex
	nodes map[string]cachedNode
	// changed is closed and replaced when a node comes, goes or moves.
	changed chan struct{}
	// version counts the records that were added or replaced.
	version uint64
	// digest is the exclusive or of emptyDigest and the digests of all records.
	digest uint64
	// storeRevision is the store's revision as of the last changes that were
	// read from it.
	storeRevision uint64
}

type cachedNode struct {
	node Node
	// version is the cache's version with which the record was put.
	version uint64
	// removedAt is when the record was removed, or zero while it exists.
	removedAt time.Time
}

// removedRetention is how long a node is still dialled after its record was
// removed.
const removedRetention = time.Minute

// emptyDigest is the digest of an empty directory. It isn't zero, which is the
// value of a missing field in a message.
const emptyDigest = 1

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{nodes: map[string]cachedNode{}, changed: make(chan struct{}), digest: emptyDigest}
}

// Changed returns a channel that is closed when a node next comes, goes or moves.
// A new record with the same address doesn't count: after a restart of all
// processes each of them writes one.
func (c *Cache) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Nodes returns the nodes with a role, sorted by name.
func (c *Cache) Nodes(role Role) []Node {
	return c.nodesIf(role, func(cachedNode) bool { return true })
}

// Registered returns the nodes with a role whose records exist, sorted by name.
func (c *Cache) Registered(role Role) []Node {
	return c.nodesIf(role, func(n cachedNode) bool { return n.removedAt.IsZero() })
}

func (c *Cache) nodesIf(role Role, include func(cachedNode) bool) []Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var nodes []Node
	for _, cached := range c.nodes {
		if cached.node.Role == role && include(cached) {
			nodes = append(nodes, cached.node)
		}
	}
	slices.SortFunc(nodes, func(x, y Node) int { return strings.Compare(x.Name, y.Name) })
	return nodes
}

// ChangedSince returns the nodes that were added or replaced after a version of
// the cache, and the current version.
func (c *Cache) ChangedSince(version uint64) ([]Node, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var nodes []Node
	for _, cached := range c.nodes {
		if cached.version > version {
			nodes = append(nodes, cached.node)
		}
	}
	return nodes, c.version
}

// Summary returns a digest, which is equal for caches with the same records, and
// the current version of the cache.
func (c *Cache) Summary() (digest, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.digest, c.version
}

// recordDigest returns the digest of one record.
func recordDigest(n Node) uint64 { return mix(HashName(n.Name) ^ mix(n.Revision)) }

// Merge adds the nodes that another process knows. It ignores malformed ones, and
// a record that is no newer than what was read from the store: that reading
// included the record, or the record had been removed.
func (c *Cache) Merge(nodes []Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range nodes {
		if n.valid() && n.Revision > c.storeRevision {
			c.put(n)
		}
	}
}

func (c *Cache) put(n Node) {
	cached, found := c.nodes[n.Name]
	if found && cached.node.Revision >= n.Revision && cached.removedAt.IsZero() {
		return
	}
	if found && cached.node == n {
		cached.removedAt = time.Time{}
		c.nodes[n.Name] = cached
		return
	}
	if found {
		c.digest ^= recordDigest(cached.node)
	}
	c.digest ^= recordDigest(n)
	c.version++
	c.nodes[n.Name] = cachedNode{node: n, version: c.version}
	if !found || cached.node.Address != n.Address || cached.node.Role != n.Role {
		c.notifyChanged()
	}
}

func (c *Cache) notifyChanged() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// ApplyChanges applies changes of the store. If all is set, changes.Entries is
// the complete directory, and nodes without an entry count as removed.
// ApplyChanges returns an error for each record that it ignored as malformed.
func (c *Cache) ApplyChanges(changes store.Changes, all bool, now time.Time) []error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var errs []error
	seen := map[string]bool{}
	for _, e := range changes.Entries {
		var n Node
		if err := json.Unmarshal(e.Value, &n); err != nil || !n.valid() || n.Key() != e.Key {
			errs = append(errs, result.Errorf(result.Malformed, "store key %s does not hold a valid process record", e.Key))
			// An invalid value doesn't say that the process has ended.
			seen[nameOf(e.Key)] = true
			continue
		}
		n.Revision = e.Revision
		seen[n.Name] = true
		c.put(n)
	}
	for name, cached := range c.nodes {
		removed := slices.Contains(changes.Deleted, cached.node.Key()) || (all && !seen[name])
		if removed && cached.removedAt.IsZero() {
			cached.removedAt = now
			c.nodes[name] = cached
		}
	}
	c.storeRevision = max(c.storeRevision, changes.Revision)
	c.evictRemoved(now)
	return errs
}

// evictRemoved drops the nodes whose record was removed more than
// removedRetention ago.
func (c *Cache) evictRemoved(now time.Time) {
	for name, cached := range c.nodes {
		if !cached.removedAt.IsZero() && now.Sub(cached.removedAt) > removedRetention {
			c.digest ^= recordDigest(cached.node)
			delete(c.nodes, name)
			c.notifyChanged()
		}
	}
}
