package policy

import "time"

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

// Due reports whether to ask for a newer policy now, and records that as done. It is called
// often, with the revision of the process's own policy and the newest that another process
// has. The first request for a policy is delayed by patience.
func (q *Requests) Due(revision, newest uint64, patience, now time.Duration) bool {
	if revision != q.revision {
		*q = Requests{revision: revision}
	}
	if newest <= revision {
		q.behindSince, q.askedAt = 0, 0
		return false
	}
	if q.behindSince == 0 {
		q.behindSince = now
	}
	if now-q.behindSince < patience || (q.askedAt > 0 && now-q.askedAt < requestTimeout) {
		return false
	}
	q.askedAt = now
	return true
}
