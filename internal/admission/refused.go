package admission

import "time"

const (
	// maxRefusedJobs and refusedRetention bound the memory of refused jobs.
	maxRefusedJobs   = 4000
	refusedRetention = 15 * time.Second
)

// RefusedJobs remembers the ids of the jobs that were refused recently for lack of
// capacity. A job that returns as it was told to has waited already, and should not
// be refused for a backlog behind which it can still be answered in time.
type RefusedJobs struct {
	known *recent[struct{}]
}

// NewRefusedJobs returns an empty memory.
func NewRefusedJobs() *RefusedJobs {
	return &RefusedJobs{known: newRecent[struct{}](maxRefusedJobs, refusedRetention)}
}

// Add records that a job is refused.
func (r *RefusedJobs) Add(id string, now time.Duration) { r.known.touch(id, now) }

// Remove forgets a job that is admitted.
func (r *RefusedJobs) Remove(id string) { r.known.remove(id) }

// Returned reports whether a job was refused recently and has stayed away for at least
// the shortest delay that callers are told: one that ignores the delay gains nothing.
func (r *RefusedJobs) Returned(id string, now time.Duration) bool {
	entry := r.known.find(id, now)
	return entry != nil && now-entry.touchedAt >= minRetryAfter
}
