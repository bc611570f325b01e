package dispatch

import "sync/atomic"

// monotonicRevision is a revision that never decreases.
type monotonicRevision struct{ value atomic.Uint64 }

// advance raises the revision to a higher one and reports whether it was
// higher.
func (r *monotonicRevision) advance(revision uint64) bool {
	for {
		current := r.value.Load()
		if revision <= current {
			return false
		}
		if r.value.CompareAndSwap(current, revision) {
			return true
		}
	}
}

// behind reports whether the revision is lower than other.
func (r *monotonicRevision) behind(other uint64) bool { return r.value.Load() < other }
