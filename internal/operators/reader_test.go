package operators_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/clock"
	"github.com/pomelosill/pomelosill/internal/operators"
	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/store"
	"github.com/pomelosill/pomelosill/platform"
)

// listStore returns the same list for each read.
type listStore struct {
	store.Store
	list store.Changes
	err  error
}

func (s *listStore) Watch(context.Context, string, uint64, time.Duration) (store.Changes, error) {
	return s.list, s.err
}

func entry(key string, revision uint64, value string) store.Entry {
	return store.Entry{Key: key, Value: []byte(value), Revision: revision}
}

// A policy that is unchanged must be confirmed under its own revision: each process sends a
// newer one to all others. A change, also one that ends as it began, must be seen.
func TestRefreshAppliesOnlyChanges(t *testing.T) {
	const config = `{"version":1}`
	configKey, evacuated := entry(platform.KeyConfig, 5, config), entry(platform.PrefixEvacuate+"z", 6, "{}")
	for _, c := range []struct {
		name     string
		list     []store.Entry
		revision uint64
		out      bool
	}{
		{"unchanged", []store.Entry{configKey, evacuated}, 7, true},
		{"back in service", []store.Entry{configKey}, 30, false},
		{"back and out again", []store.Entry{configKey, entry(platform.PrefixEvacuate+"z", 20, "{}")}, 30, true},
		{"a new configuration", []store.Entry{entry(platform.KeyConfig, 20, `{"version":2}`), evacuated}, 30, true},
	} {
		s := &listStore{list: store.Changes{Entries: []store.Entry{configKey, evacuated}, Revision: 7}}
		holder := policy.NewHolder()
		r := operators.NewReader(s, holder, zap.NewNop())
		must.NoError(t, r.Refresh(t.Context()))
		_, before := holder.Confirmed()
		must.Positive(t, before)
		s.list = store.Changes{Entries: c.list, Revision: 30}
		readAt := clock.SinceBoot()
		must.NoError(t, r.Refresh(t.Context()))
		revision, confirmedAt := holder.Confirmed()
		must.Eq(t, c.revision, revision, must.Sprint(c.name))
		must.Eq(t, c.out, holder.Current().OutOfService("z"), must.Sprint(c.name))
		must.LessEq(t, confirmedAt, readAt, must.Sprint(c.name))
	}
}

// A failed read confirms nothing.
func TestFailedRefreshConfirmsNothing(t *testing.T) {
	holder := policy.NewHolder()
	holder.Apply(&policy.Snapshot{Revision: 3, Config: &policy.Config{}})
	r := operators.NewReader(&listStore{err: result.Errorf(result.StoreUnavailable, "away")}, holder, zap.NewNop())
	must.ErrorContains(t, r.Refresh(t.Context()), "away")
	_, at := holder.Confirmed()
	must.Eq(t, 0, at)
}
