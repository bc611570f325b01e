// Package store defines the interface to the platform's key-value store: get,
// compare-and-swap, leases and watches. The platform counts every call; a watch
// that waits counts as one.
package store

import (
	"context"
	"time"
)

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

// LeaseID identifies a lease; zero means no lease.
type LeaseID uint64

// Entry is a key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the store-wide revision of the last write of Key. It
	// increases with each write of any key and is never zero for a key that
	// exists.
	Revision uint64
}

// Changes is the result of a watch.
type Changes struct {
	// Entries are the keys under the prefix that were written after the
	// requested revision, each once with its latest value, sorted by key.
	Entries []Entry
	// Deleted are the keys under the prefix that were deleted or whose lease
	// expired after the requested revision, and that don't exist now.
	Deleted []string
	// Revision is the store-wide revision up to which the result is complete.
	// If there are no entries and no deleted keys, nothing under the prefix has
	// changed up to it. The next watch may start from it.
	Revision uint64
}

// Store is the platform's key-value store.
//
// Every method returns a *result.Error with one of the codes: StoreUnavailable
// (the call had no effect, or was a read), StoreAnswerLost (a write may have
// taken effect), StoreConflict (the revision differs), StoreNotFound,
// StoreTooLarge, StoreLeaseExpired and StoreCompacted (the watch's revision is
// too old, or too much was written since; watch again from zero).
type Store interface {
	// Get returns the entry of a key.
	Get(ctx context.Context, key string) (Entry, error)
	// GetNewer returns the entry of a key. It omits the value if the key's
	// revision is still known, which is the revision that the caller has. The
	// result is as recent as that of Get, and without the value the response
	// can be as small as the key.
	GetNewer(ctx context.Context, key string, known uint64) (Entry, error)
	// CompareAndSwap writes value under key if the key's revision is expect;
	// zero means that the key must not exist. With a lease, the key is deleted
	// when the lease expires. It returns the new revision.
	CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease LeaseID) (uint64, error)
	// Delete deletes key if its revision is expect.
	Delete(ctx context.Context, key string, expect uint64) error
	// Grant creates a lease that expires ttl after the last KeepAlive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch returns as soon as a key under prefix has changed after the
	// revision, or without changes when wait has elapsed. If after is zero it
	// returns all keys under prefix at once.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error)
}
