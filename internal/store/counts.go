package store

import (
	"sync/atomic"

	"github.com/pomelosill/pomelosill/internal/store/wire"
)

// Counts is the number of calls by kind; a watch that waits counts as one.
type Counts struct {
	Get            uint64 `json:"get"`
	CompareAndSwap uint64 `json:"compare_and_swap"`
	Delete         uint64 `json:"delete"`
	Grant          uint64 `json:"grant"`
	KeepAlive      uint64 `json:"keep_alive"`
	Revoke         uint64 `json:"revoke"`
	Watch          uint64 `json:"watch"`
}

// Total returns the number of calls of all kinds.
func (c Counts) Total() uint64 { return c.Writes() + c.Reads() }

// Writes returns the number of calls that change the store.
func (c Counts) Writes() uint64 {
	return c.CompareAndSwap + c.Delete + c.Grant + c.KeepAlive + c.Revoke
}

// Reads returns the number of calls that change nothing.
func (c Counts) Reads() uint64 { return c.Get + c.Watch }

// Counter counts calls by kind. It is safe for concurrent use.
type Counter struct {
	get, cas, del, grant, keepAlive, revoke, watch atomic.Uint64
}

// Add counts one call.
func (c *Counter) Add(k wire.Kind) {
	switch k {
	case wire.Get:
		c.get.Add(1)
	case wire.CompareAndSwap:
		c.cas.Add(1)
	case wire.Delete:
		c.del.Add(1)
	case wire.Grant:
		c.grant.Add(1)
	case wire.KeepAlive:
		c.keepAlive.Add(1)
	case wire.Revoke:
		c.revoke.Add(1)
	case wire.Watch:
		c.watch.Add(1)
	}
}

// Counts returns the current counts.
func (c *Counter) Counts() Counts {
	return Counts{
		Get:            c.get.Load(),
		CompareAndSwap: c.cas.Load(),
		Delete:         c.del.Load(),
		Grant:          c.grant.Load(),
		KeepAlive:      c.keepAlive.Load(),
		Revoke:         c.revoke.Load(),
		Watch:          c.watch.Load(),
	}
}
