// Package kvstore is the stand-in for the platform's key-value store, for tests
// and demos: in memory, over HTTP, with faults that can be set over HTTP.
package kvstore

import (
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/store"
	"github.com/pomelosill/pomelosill/internal/store/wire"
)

// maxTombstones is how many deletions the store keeps for watches.
const maxTombstones = 4096

// Clock returns the time that leases are measured by.
type Clock func() time.Time

// Memory holds the contents of the store. It is safe for concurrent use.
type Memory struct {
	now Clock

	mu        sync.Mutex
	revision  uint64
	compacted uint64
	lastLease uint64
	keys      map[string]record
	leases    map[uint64]lease
	// tombstones are the deletions of keys that don't exist now, oldest first.
	tombstones []tombstone
	changed    chan struct{}
}

type record struct {
	value    []byte
	revision uint64
	lease    uint64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type tombstone struct {
	key      string
	revision uint64
}

// NewMemory returns an empty store whose leases are measured by now.
func NewMemory(now Clock) *Memory {
	return &Memory{
		now:     now,
		keys:    map[string]record{},
		leases:  map[uint64]lease{},
		changed: make(chan struct{}),
	}
}

// Apply executes a call of any kind but Watch.
func (m *Memory) Apply(k wire.Kind, req wire.Request) wire.Response {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	switch k {
	case wire.Get:
		return m.get(req)
	case wire.CompareAndSwap:
		return m.compareAndSwap(req)
	case wire.Delete:
		return m.remove(req)
	case wire.Grant:
		return m.grant(req)
	case wire.KeepAlive:
		return m.keepAlive(req)
	case wire.Revoke:
		return m.revoke(req)
	default:
		return errorResponse(result.Malformed, string(k))
	}
}

// Changes returns what changed under prefix after a revision, and a channel
// that is closed at the next change of any key.
func (m *Memory) Changes(prefix string, after uint64) (wire.Response, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	if after != 0 && (after < m.compacted || after > m.revision) {
		return errorResponse(result.StoreCompacted, prefix), m.changed
	}
	resp := wire.Response{Revision: m.revision}
	for key, r := range m.keys {
		if strings.HasPrefix(key, prefix) && r.revision > after {
			resp.Entries = append(resp.Entries, entry(key, r))
		}
	}
	sort.Slice(resp.Entries, func(i, j int) bool { return resp.Entries[i].Key < resp.Entries[j].Key })
	if after == 0 {
		return resp, m.changed
	}
	for _, t := range m.tombstones {
		if strings.HasPrefix(t.key, prefix) && t.revision > after {
			resp.Deleted = append(resp.Deleted, t.key)
		}
	}
	slices.Sort(resp.Deleted)
	return resp, m.changed
}

// Expire deletes the keys of expired leases.
func (m *Memory) Expire() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
}

func (m *Memory) get(req wire.Request) wire.Response {
	r, ok := m.keys[req.Key]
	if !ok {
		return errorResponse(result.StoreNotFound, req.Key)
	}
	e := entry(req.Key, r)
	if req.After == r.revision {
		e.Value = nil
	}
	return wire.Response{Entries: []wire.Entry{e}, Revision: r.revision}
}

func (m *Memory) compareAndSwap(req wire.Request) wire.Response {
	if len(req.Value) > store.MaxValueBytes {
		return errorResponse(result.StoreTooLarge, req.Key)
	}
	if _, ok := m.leases[req.Lease]; req.Lease != 0 && !ok {
		return errorResponse(result.StoreLeaseExpired, req.Key)
	}
	if m.keys[req.Key].revision != req.Expect {
		return errorResponse(result.StoreConflict, req.Key)
	}
	m.dropTombstone(req.Key)
	m.nextRevision()
	m.keys[req.Key] = record{value: req.Value, revision: m.revision, lease: req.Lease}
	return wire.Response{Revision: m.revision}
}

func (m *Memory) remove(req wire.Request) wire.Response {
	r, ok := m.keys[req.Key]
	if !ok {
		return errorResponse(result.StoreNotFound, req.Key)
	}
	if r.revision != req.Expect {
		return errorResponse(result.StoreConflict, req.Key)
	}
	m.deleteKey(req.Key)
	return wire.Response{Revision: m.revision}
}

func (m *Memory) grant(req wire.Request) wire.Response {
	m.lastLease++
	ttl := time.Duration(req.TTLMS) * time.Millisecond
	m.leases[m.lastLease] = lease{ttl: ttl, expires: m.now().Add(ttl)}
	return wire.Response{Lease: m.lastLease}
}

func (m *Memory) keepAlive(req wire.Request) wire.Response {
	l, ok := m.leases[req.Lease]
	if !ok {
		return errorResponse(result.StoreLeaseExpired, "unknown or expired lease")
	}
	l.expires = m.now().Add(l.ttl)
	m.leases[req.Lease] = l
	return wire.Response{}
}

func (m *Memory) revoke(req wire.Request) wire.Response {
	if _, ok := m.leases[req.Lease]; !ok {
		return errorResponse(result.StoreLeaseExpired, "unknown or expired lease")
	}
	m.endLease(req.Lease)
	return wire.Response{}
}

// expire ends the expired leases.
func (m *Memory) expire() {
	now := m.now()
	for id, l := range m.leases {
		if !now.Before(l.expires) {
			m.endLease(id)
		}
	}
}

// endLease deletes a lease and its keys.
func (m *Memory) endLease(id uint64) {
	delete(m.leases, id)
	for key, r := range m.keys {
		if r.lease == id {
			m.deleteKey(key)
		}
	}
}

// deleteKey deletes a key and adds a tombstone.
func (m *Memory) deleteKey(key string) {
	delete(m.keys, key)
	m.nextRevision()
	m.tombstones = append(m.tombstones, tombstone{key: key, revision: m.revision})
	if len(m.tombstones) > maxTombstones {
		m.compacted = m.tombstones[0].revision
		m.tombstones = slices.Delete(m.tombstones, 0, 1)
	}
}

func (m *Memory) dropTombstone(key string) {
	m.tombstones = slices.DeleteFunc(m.tombstones, func(t tombstone) bool { return t.key == key })
}

// nextRevision increments the revision and wakes the watches.
func (m *Memory) nextRevision() {
	m.revision++
	close(m.changed)
	m.changed = make(chan struct{})
}

func entry(key string, r record) wire.Entry {
	return wire.Entry{Key: key, Value: r.value, Revision: r.revision}
}

func errorResponse(c result.Code, detail string) wire.Response {
	return wire.Response{Code: c, Detail: detail}
}
