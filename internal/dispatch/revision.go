package dispatch

import "sync/atomic"

// revision is a revision that only rises.
type revision struct{ v atomic.Uint64 }

// raise sets the revision if it is higher, and tells whether it was.
func (r *revision) raise(to uint64) bool {
	for {
		now := r.v.Load()
		if to <= now {
			return false
		}
		if r.v.CompareAndSwap(now, to) {
			return true
		}
	}
}

// behind tells whether the revision is lower than another.
func (r *revision) behind(other uint64) bool { return r.v.Load() < other }
