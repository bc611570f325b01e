package storetest

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/store"
)

// faultCases returns the cases in which the store has faults.
func faultCases() []testCase {
	return []testCase{
		{"outage: reads are unavailable, writes never succeed", outage},
		{"outage: a watch that waits fails", outageDuringWatch},
		{"delay: a read that times out is unavailable", slowRead},
		{"delay: a write that times out has a lost answer and takes effect", slowWrite},
		{"lost answer: the write took effect", writeAnswerLost},
		{"lost answer: a new grant succeeds", grantAnswerLost},
		{"stale watch: no change until the wait is over", staleWatch},
		{"paused holder: an expired lease cannot be used", pausedLeaseHolder},
	}
}

// writeCase is one kind of write, for checks that cover all kinds.
type writeCase struct {
	name string
	do   func(ctx context.Context, s store.Store) error
}

func writeCases(rev uint64, lease store.LeaseID) []writeCase {
	return []writeCase{
		{"compare and swap", func(ctx context.Context, s store.Store) error {
			_, err := s.CompareAndSwap(ctx, "a", rev, []byte("2"), 0)
			return err
		}},
		{"delete", func(ctx context.Context, s store.Store) error { return s.Delete(ctx, "a", rev) }},
		{"grant", func(ctx context.Context, s store.Store) error {
			_, err := s.Grant(ctx, leaseTTL)
			return err
		}},
		{"keep alive", func(ctx context.Context, s store.Store) error { return s.KeepAlive(ctx, lease) }},
		{"revoke", func(ctx context.Context, s store.Store) error { return s.Revoke(ctx, lease) }},
	}
}

func outage(t *testing.T, f *fixture) {
	rev := f.put(t, "a", 0, "1")
	lease, err := f.Grant(f.ctx, leaseTTL)
	must.NoError(t, err)
	f.Outage(true)
	_, err = f.Get(f.ctx, "a")
	mustCode(t, result.StoreUnavailable, err)
	for _, w := range writeCases(rev, lease) {
		code := result.CodeOf(w.do(f.ctx, f.Store))
		must.SliceContains(t, []result.Code{result.StoreUnavailable, result.StoreAnswerLost}, code, must.Sprint(w.name))
	}
	f.Outage(false)
	f.mustHaveValue(t, "a", "1")
	must.NoError(t, f.KeepAlive(f.ctx, lease))
}

func outageDuringWatch(t *testing.T, f *fixture) {
	rev := f.put(t, "a", 0, "1")
	failed := make(chan error, 1)
	go func() {
		_, err := f.Watch(f.ctx, "a", rev, callTimeout)
		failed <- err
	}()
	f.Outage(true)
	mustCode(t, result.StoreUnavailable, <-failed)
}

func slowRead(t *testing.T, f *fixture) {
	f.put(t, "a", 0, "1")
	f.Delay(4 * unansweredTimeout)
	ctx, cancel := context.WithTimeout(f.ctx, unansweredTimeout)
	defer cancel()
	_, err := f.Get(ctx, "a")
	mustCode(t, result.StoreUnavailable, err)
	f.mustHaveValue(t, "a", "1")
}

func slowWrite(t *testing.T, f *fixture) {
	rev := f.put(t, "a", 0, "1")
	f.Delay(4 * unansweredTimeout)
	ctx, cancel := context.WithTimeout(f.ctx, unansweredTimeout)
	defer cancel()
	_, err := f.CompareAndSwap(ctx, "a", rev, []byte("2"), 0)
	mustCode(t, result.StoreAnswerLost, err)
	f.Delay(0)
	changes, err := f.Watch(f.ctx, "a", rev, callTimeout)
	must.NoError(t, err)
	must.Eq(t, []string{"a"}, keys(changes))
	f.mustHaveValue(t, "a", "2")
}

func writeAnswerLost(t *testing.T, f *fixture) {
	rev := f.put(t, "a", 0, "1")
	f.LoseAnswers(1)
	_, err := f.CompareAndSwap(f.ctx, "a", rev, []byte("2"), 0)
	mustCode(t, result.StoreAnswerLost, err)
	f.mustHaveValue(t, "a", "2")
	_, err = f.CompareAndSwap(f.ctx, "a", rev, []byte("3"), 0)
	mustCode(t, result.StoreConflict, err)
	e, err := f.Get(f.ctx, "a")
	must.NoError(t, err)
	f.LoseAnswers(1)
	mustCode(t, result.StoreAnswerLost, f.Delete(f.ctx, "a", e.Revision))
	_, err = f.Get(f.ctx, "a")
	mustCode(t, result.StoreNotFound, err)
}

func grantAnswerLost(t *testing.T, f *fixture) {
	f.LoseAnswers(1)
	lost, err := f.Grant(f.ctx, leaseTTL)
	mustCode(t, result.StoreAnswerLost, err)
	must.Zero(t, lost)
	lease, err := f.Grant(f.ctx, leaseTTL)
	must.NoError(t, err)
	must.NotEq(t, 0, lease)
}

func staleWatch(t *testing.T, f *fixture) {
	rev := f.put(t, "a", 0, "1")
	f.StaleWatch(true)
	f.put(t, "a", rev, "2")
	changes, err := f.Watch(f.ctx, "a", rev, shortWait)
	must.NoError(t, err)
	must.SliceEmpty(t, changes.Entries)
	must.Eq(t, rev, changes.Revision)
	f.mustHaveValue(t, "a", "2")
	f.StaleWatch(false)
	changes, err = f.Watch(f.ctx, "a", rev, callTimeout)
	must.NoError(t, err)
	must.Eq(t, []string{"a"}, keys(changes))
}

func pausedLeaseHolder(t *testing.T, f *fixture) {
	lease, err := f.Grant(f.ctx, leaseTTL)
	must.NoError(t, err)
	rev, err := f.CompareAndSwap(f.ctx, "leader", 0, []byte("paused"), lease)
	must.NoError(t, err)
	f.Advance(2 * leaseTTL)
	f.put(t, "leader", 0, "next")
	_, err = f.CompareAndSwap(f.ctx, "leader", rev, []byte("paused"), lease)
	must.SliceContains(t, []result.Code{result.StoreLeaseExpired, result.StoreConflict}, result.CodeOf(err))
	mustCode(t, result.StoreLeaseExpired, f.KeepAlive(f.ctx, lease))
	f.mustHaveValue(t, "leader", "next")
}
