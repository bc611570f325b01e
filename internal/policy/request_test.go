package policy_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/policy"
)

const (
	patience = 200 * time.Millisecond
	timeout  = 500 * time.Millisecond
)

// Docs/incidents/0023: a process that asked all others at once, or again while the answer was
// under way, got more copies than its link carried.
func TestNewerPolicyIsRequestedFromOneProcessAtATime(t *testing.T) {
	var q policy.Requests
	steps := []struct {
		after            time.Duration
		revision, newest uint64
		due              bool
	}{
		{0, 5, 5, false},
		{time.Millisecond, 5, 6, false},
		{patience - time.Millisecond, 5, 6, false},
		{time.Millisecond, 5, 6, true},
		{time.Millisecond, 5, 6, false},
		// Others announce an even newer one, which the answer may have.
		{timeout - 2*time.Millisecond, 5, 7, false},
		{time.Millisecond, 5, 7, true},
		{timeout - time.Millisecond, 5, 7, false},
		{time.Millisecond, 5, 7, true},
		// The answer has come, and there is a newer one.
		{time.Millisecond, 7, 8, false},
		{patience, 7, 8, true},
		{time.Millisecond, 8, 8, false},
	}
	now := time.Hour
	for i, s := range steps {
		now += s.after
		must.Eq(t, s.due, q.Due(s.revision, s.newest, patience, now), must.Sprintf("step %d", i))
	}
}

// A process that has no policy, or whose source has ended, must get one soon.
func TestRequestsAreRepeatedUntilThePolicyIsThere(t *testing.T) {
	var q policy.Requests
	requests := 0
	for now := time.Hour; now <= time.Hour+2*time.Second; now += 10 * time.Millisecond {
		if q.Due(0, 3, 0, now) {
			requests++
		}
	}
	must.Eq(t, 5, requests)
}
