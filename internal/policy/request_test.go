package policy_test

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/policy"
)

const (
	patience = 200 * time.Millisecond
	timeout  = 500 * time.Millisecond
)

// source counts the requests that it gets.
type source struct{ requests int }

func (s *source) RequestPolicy() { s.requests++ }

// asked reports whether a request is made among so many sources.
func asked(q *policy.Requests, revision uint64, sources int, now time.Duration) bool {
	s := &source{}
	q.Ask(revision, slices.Repeat([]policy.Source{s}, sources), patience, now)
	return s.requests == 1
}

// Docs/incidents/0023: a process that asked all others at once, or again while the answer was
// under way, got more copies than its link carried.
func TestNewerPolicyIsRequestedFromOneProcessAtATime(t *testing.T) {
	var q policy.Requests
	steps := []struct {
		after    time.Duration
		revision uint64
		newer    int
		asked    bool
	}{
		{0, 5, 0, false},
		{time.Millisecond, 5, 1, false},
		{patience - time.Millisecond, 5, 3, false},
		{time.Millisecond, 5, 3, true},
		{time.Millisecond, 5, 3, false},
		// More have a newer one meanwhile, which may be the one that was asked for.
		{timeout - 2*time.Millisecond, 5, 7, false},
		{time.Millisecond, 5, 7, true},
		{timeout - time.Millisecond, 5, 7, false},
		{time.Millisecond, 5, 7, true},
		// The answer has come, and there is a newer one.
		{time.Millisecond, 7, 2, false},
		{patience, 7, 2, true},
		{time.Millisecond, 8, 0, false},
	}
	now := time.Hour
	for i, s := range steps {
		now += s.after
		must.Eq(t, s.asked, asked(&q, s.revision, s.newer, now), must.Sprintf("step %d", i))
	}
}

// A process that has no policy, or whose source has ended, must get one soon.
func TestRequestsAreRepeatedUntilThePolicyIsThere(t *testing.T) {
	var q policy.Requests
	s := &source{}
	for now := time.Hour; now <= time.Hour+2*time.Second; now += 10 * time.Millisecond {
		q.Ask(0, []policy.Source{s}, 0, now)
	}
	must.Eq(t, 5, s.requests)
}
