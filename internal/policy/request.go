package policy

import (
	"math/rand/v2"
	"time"
)

// Source is a connected process that has a newer policy.
type Source interface {
	// RequestPolicy asks the process for its policy.
	RequestPolicy()
}

// Requests decides when a process asks another one for a newer policy. A process learns of one
// by its revision, and gets the policy only on request, from one process at a time: a policy
// can be large, and copies from all that have it would fill a slow link. The zero value is
// ready to use. It is not safe for concurrent use.
type Requests struct {
	// revision is that of the process's own policy at the last check.
	revision uint64
	// behindSince is since when a newer one has been known, zero while none is; askedAt is
	// when it was last asked for, zero if it wasn't.
	behindSince time.Duration
	askedAt     time.Duration
}

// requestTimeout is the time after which another process is asked.
const requestTimeout = 500 * time.Millisecond

// Ask asks one of the processes that have a newer policy, chosen at random, if that is due. It is
// called often, with the revision of the process's own policy and all such processes. The first
// request for a policy is delayed by patience.
func (q *Requests) Ask(revision uint64, newer []Source, patience, now time.Duration) {
	if revision != q.revision {
		*q = Requests{revision: revision}
	}
	if len(newer) == 0 {
		q.behindSince, q.askedAt = 0, 0
		return
	}
	if q.behindSince == 0 {
		q.behindSince = now
	}
	if now-q.behindSince < patience || (q.askedAt > 0 && now-q.askedAt < requestTimeout) {
		return
	}
	q.askedAt = now
	newer[rand.IntN(len(newer))].RequestPolicy()
}
