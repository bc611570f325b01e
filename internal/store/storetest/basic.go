package storetest

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/store"
)

// basicCases returns the cases in which the store has no faults.
func basicCases() []testCase {
	return []testCase{
		{"get of a missing key", getMissing},
		{"get newer", getNewer},
		{"compare and swap", compareAndSwap},
		{"delete", deleteKey},
		{"value too large", valueTooLarge},
		{"keys live as long as their lease", leaseRemovesKeys},
		{"revoke", revoke},
		{"watch from the start", watchFromStart},
		{"watch returns on a change", watchReturnsOnChange},
		{"watch reports deletions", watchDeletion},
		{"watch times out without changes", watchTimesOut},
	}
}

func getMissing(t *testing.T, f *fixture) {
	_, err := f.Get(f.ctx, "a")
	mustCode(t, result.StoreNotFound, err)
}

func getNewer(t *testing.T, f *fixture) {
	_, err := f.GetNewer(f.ctx, "a", 7)
	mustCode(t, result.StoreNotFound, err)
	first := f.put(t, "a", 0, "1")
	second := f.put(t, "a", first, "2")
	e, err := f.GetNewer(f.ctx, "a", second)
	must.NoError(t, err)
	must.Eq(t, second, e.Revision)
	must.SliceEmpty(t, e.Value)
	e, err = f.GetNewer(f.ctx, "a", first)
	must.NoError(t, err)
	must.Eq(t, second, e.Revision)
	must.Eq(t, "2", string(e.Value))
}

func compareAndSwap(t *testing.T, f *fixture) {
	first := f.put(t, "a", 0, "1")
	must.Positive(t, first)
	_, err := f.CompareAndSwap(f.ctx, "a", 0, []byte("2"), 0)
	mustCode(t, result.StoreConflict, err)
	_, err = f.CompareAndSwap(f.ctx, "missing", first, []byte("2"), 0)
	mustCode(t, result.StoreConflict, err)
	other := f.put(t, "b", 0, "x")
	must.Greater(t, first, other)
	second := f.put(t, "a", first, "2")
	must.Greater(t, other, second)
	e, err := f.Get(f.ctx, "a")
	must.NoError(t, err)
	must.Eq(t, store.Entry{Key: "a", Value: []byte("2"), Revision: second}, e)
}

func deleteKey(t *testing.T, f *fixture) {
	rev := f.put(t, "a", 0, "1")
	mustCode(t, result.StoreConflict, f.Delete(f.ctx, "a", rev+1))
	must.NoError(t, f.Delete(f.ctx, "a", rev))
	mustCode(t, result.StoreNotFound, f.Delete(f.ctx, "a", rev))
	must.Greater(t, rev, f.put(t, "a", 0, "2"))
}

func valueTooLarge(t *testing.T, f *fixture) {
	_, err := f.CompareAndSwap(f.ctx, "a", 0, make([]byte, store.MaxValueBytes), 0)
	must.NoError(t, err)
	_, err = f.CompareAndSwap(f.ctx, "b", 0, make([]byte, store.MaxValueBytes+1), 0)
	mustCode(t, result.StoreTooLarge, err)
}

func leaseRemovesKeys(t *testing.T, f *fixture) {
	lease, err := f.Grant(f.ctx, leaseTTL)
	must.NoError(t, err)
	_, err = f.CompareAndSwap(f.ctx, "a", 0, []byte("1"), lease)
	must.NoError(t, err)
	f.Advance(leaseTTL * 3 / 4)
	must.NoError(t, f.KeepAlive(f.ctx, lease))
	f.Advance(leaseTTL * 3 / 4)
	f.mustHaveValue(t, "a", "1")
	f.Advance(leaseTTL)
	_, err = f.Get(f.ctx, "a")
	mustCode(t, result.StoreNotFound, err)
	mustCode(t, result.StoreLeaseExpired, f.KeepAlive(f.ctx, lease))
}

func revoke(t *testing.T, f *fixture) {
	lease, err := f.Grant(f.ctx, leaseTTL)
	must.NoError(t, err)
	_, err = f.CompareAndSwap(f.ctx, "a", 0, []byte("1"), lease)
	must.NoError(t, err)
	must.NoError(t, f.Revoke(f.ctx, lease))
	_, err = f.Get(f.ctx, "a")
	mustCode(t, result.StoreNotFound, err)
	_, err = f.CompareAndSwap(f.ctx, "a", 0, []byte("1"), lease)
	mustCode(t, result.StoreLeaseExpired, err)
}

func watchFromStart(t *testing.T, f *fixture) {
	f.put(t, "p/b", 0, "2")
	f.put(t, "p/a", 0, "1")
	last := f.put(t, "q", 0, "3")
	changes, err := f.Watch(f.ctx, "p/", 0, callTimeout)
	must.NoError(t, err)
	must.Eq(t, []string{"p/a", "p/b"}, keys(changes))
	must.Eq(t, last, changes.Revision)
}

func watchReturnsOnChange(t *testing.T, f *fixture) {
	rev := f.put(t, "p/a", 0, "1")
	seen := make(chan store.Changes, 1)
	go func() {
		changes, _ := f.Watch(f.ctx, "p/", rev, callTimeout)
		seen <- changes
	}()
	other := f.put(t, "q", 0, "other")
	next := f.put(t, "p/b", 0, "2")
	changes := <-seen
	must.Eq(t, []string{"p/b"}, keys(changes))
	must.Eq(t, next, changes.Revision)
	must.Greater(t, other, changes.Revision)
}

func watchDeletion(t *testing.T, f *fixture) {
	lease, err := f.Grant(f.ctx, leaseTTL)
	must.NoError(t, err)
	rev, err := f.CompareAndSwap(f.ctx, "p/leased", 0, []byte("1"), lease)
	must.NoError(t, err)
	kept := f.put(t, "p/kept", 0, "1")
	must.NoError(t, f.Delete(f.ctx, "p/kept", kept))
	f.Advance(leaseTTL)
	must.NoError(t, f.waitDeleted(rev, "p/kept", "p/leased"))
}

func watchTimesOut(t *testing.T, f *fixture) {
	rev := f.put(t, "p/a", 0, "1")
	last := f.put(t, "q", 0, "2")
	changes, err := f.Watch(f.ctx, "p/", rev, shortWait)
	must.NoError(t, err)
	must.SliceEmpty(t, changes.Entries)
	must.SliceEmpty(t, changes.Deleted)
	must.Eq(t, last, changes.Revision)
}

// waitDeleted watches until all keys have been reported as deleted.
func (f *fixture) waitDeleted(after uint64, want ...string) error {
	deleted := map[string]bool{}
	for len(deleted) < len(want) {
		changes, err := f.Watch(f.ctx, "p/", after, time.Second)
		if err != nil {
			return err
		}
		for _, key := range changes.Deleted {
			deleted[key] = true
		}
		after = changes.Revision
	}
	return nil
}

func keys(c store.Changes) []string {
	var out []string
	for _, e := range c.Entries {
		out = append(out, e.Key)
	}
	return out
}
