// Package store is the narrow interface to the platform's key-value service:
// get, compare-and-swap, leases and watches. Every call is counted by the
// platform, a waiting watch as one.
package store

import (
	"context"
	"time"
)

// MaxValueBytes is the largest value that the store takes.
const MaxValueBytes = 1 << 20

// LeaseID names a lease; zero means no lease.
type LeaseID uint64

// Entry is one key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the store-wide revision of the last write of Key. It rises
	// with each write of any key and is never zero for a key that exists.
	Revision uint64
}

// Changes is what a watch saw.
type Changes struct {
	// Entries are the keys under the prefix that were written after the
	// revision asked for, each once with its latest value, sorted by key.
	Entries []Entry
	// Deleted are the keys under the prefix that were deleted or whose lease
	// expired after the revision asked for, and that don't exist now.
	Deleted []string
	// Revision is the store-wide revision up to which the answer is complete.
	// Changes of it without entries mean that nothing under the prefix
	// changed; the next watch may start from it.
	Revision uint64
}

// Store is the platform's key-value service.
//
// Every method returns a *result.Error with one of the codes:
// StoreUnavailable (the call surely had no effect, or was a read),
// StoreAnswerLost (a write may have taken effect), StoreConflict (the
// revision differs), StoreNotFound, StoreTooLarge, StoreLeaseExpired and
// StoreCompacted (the watch's revision is too old; read anew).
type Store interface {
	// Get returns one key.
	Get(ctx context.Context, key string) (Entry, error)
	// GetNewer returns one key, without its value when its revision is known
	// already. It is no older than Get's answer, and as cheap as a key's name.
	GetNewer(ctx context.Context, key string, known uint64) (Entry, error)
	// CompareAndSwap writes value under key if the key's revision is expect;
	// zero means that the key must not exist. With a lease the key goes when
	// the lease expires. It returns the new revision.
	CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease LeaseID) (uint64, error)
	// Delete removes key if its revision is expect.
	Delete(ctx context.Context, key string, expect uint64) error
	// Grant makes a lease that expires ttl after the last KeepAlive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch returns as soon as anything under prefix has changed after the
	// revision, and without changes once wait is over. After zero it returns
	// all keys under prefix at once.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error)
}
