package dispatch

import "sync/atomic"

// monotonicRevision is a revision that only rises.
type monotonicRevision struct{ value atomic.Uint64 }

// advance sets the revision if it is higher, and tells whether it was.
func (r *monotonicRevision) advance(to uint64) bool {
	for {
		now := r.value.Load()
		if to <= now {
			return false
		}
		if r.value.CompareAndSwap(now, to) {
			return true
		}
	}
}

// behind tells whether the revision is lower than another.
func (r *monotonicRevision) behind(other uint64) bool { return r.value.Load() < other }
