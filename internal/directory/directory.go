// Package directory is how the processes of the system find each other: each
// writes its address to the store under a lease, and dispatchers keep what
// they have read, so that they go on without the store.
package directory

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/store"
)

// Prefix is the prefix of the processes' keys in the store.
const Prefix = "pomelosill/nodes/"

// Role is what a process does.
type Role string

// The roles.
const (
	Dispatcher Role = "dispatcher"
	Runner     Role = "runner"
)

// Node is one process that can be dialled.
type Node struct {
	Name    string `json:"name"`
	Role    Role   `json:"role"`
	Address string `json:"address"`
	// Revision is that of the record in the store.
	Revision uint64 `json:"-"`
}

// Cache holds the nodes that a process knows. A node whose record has gone is
// kept for a while, as records also go when the store loses a lease.
type Cache struct {
	mu      sync.Mutex
	nodes   map[string]cachedNode
	changed chan struct{}
}

type cachedNode struct {
	node Node
	// removedAt is when the record went; zero while it stands.
	removedAt time.Time
}

// removedRetention is how long a node is dialled after its record has gone.
const removedRetention = time.Minute

// NewCache returns an empty book.
func NewCache() *Cache {
	return &Cache{nodes: map[string]cachedNode{}, changed: make(chan struct{})}
}

// Changed returns a channel that is closed at the next change.
func (b *Cache) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Nodes returns the nodes of a role, sorted by name.
func (b *Cache) Nodes(role Role) []Node {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []Node
	for _, k := range b.nodes {
		if k.node.Role == role {
			all = append(all, k.node)
		}
	}
	slices.SortFunc(all, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Count is the number of nodes of a role.
func (b *Cache) Count(role Role) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, k := range b.nodes {
		if k.node.Role == role {
			n++
		}
	}
	return n
}

// Merge takes nodes over that another process knows.
func (b *Cache) Merge(nodes []Node) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range nodes {
		b.put(n)
	}
}

func (b *Cache) put(n Node) {
	k, found := b.nodes[n.Name]
	if found && k.node.Revision >= n.Revision && k.removedAt.IsZero() {
		return
	}
	b.nodes[n.Name] = cachedNode{node: n}
	if !found || k.node != n {
		b.notifyChanged()
	}
}

func (b *Cache) notifyChanged() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// ApplyChanges takes over what the store tells. all is set when the changes are the
// whole directory.
func (b *Cache) ApplyChanges(c store.Changes, all bool, now time.Time) []error {
	b.mu.Lock()
	defer b.mu.Unlock()
	var bad []error
	seen := map[string]bool{}
	for _, e := range c.Entries {
		var n Node
		if err := json.Unmarshal(e.Value, &n); err != nil || n.Address == "" || Prefix+n.Name != e.Key {
			bad = append(bad, result.Errorf(result.Malformed, "%s is not the record of a process", e.Key))
			continue
		}
		n.Revision = e.Revision
		seen[n.Name] = true
		b.put(n)
	}
	for name, k := range b.nodes {
		gone := slices.Contains(c.Deleted, Prefix+name) || (all && !seen[name])
		if gone && k.removedAt.IsZero() {
			k.removedAt = now
			b.nodes[name] = k
		}
	}
	b.evictRemoved(now)
	return bad
}

// evictRemoved drops nodes whose record has been gone for long.
func (b *Cache) evictRemoved(now time.Time) {
	for name, k := range b.nodes {
		if !k.removedAt.IsZero() && now.Sub(k.removedAt) > removedRetention {
			delete(b.nodes, name)
			b.notifyChanged()
		}
	}
}
