package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/policy"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/store"
	"github.com/pomelosill/pomelosill/platform"
)

// scriptedStore returns the given results of watches, one after the other, and
// records the revisions that were watched from.
type scriptedStore struct {
	store.Store
	changes     []store.Changes
	errs        []error
	watchedFrom []uint64
}

func (s *scriptedStore) Watch(_ context.Context, _ string, after uint64, _ time.Duration) (store.Changes, error) {
	i := len(s.watchedFrom)
	s.watchedFrom = append(s.watchedFrom, after)
	return s.changes[i], s.errs[i]
}

func configEntry(revision uint64, document string) store.Entry {
	return store.Entry{Key: platform.KeyConfig, Value: []byte(document), Revision: revision}
}

// A watch may miss changes for a while and still return a newer revision
// without changes. The next watch must start at the last change, or the missed
// ones would be skipped.
func TestResponseWithoutChangesKeepsRevision(t *testing.T) {
	s := &scriptedStore{
		changes: []store.Changes{
			{Entries: []store.Entry{configEntry(5, `{"version":1}`)}, Revision: 7},
			{Revision: 30},
			{},
			{Entries: []store.Entry{configEntry(20, `{"version":2}`)}, Revision: 31},
		},
		errs: []error{nil, nil, result.Errorf(result.StoreCompacted, "the history is compacted"), nil},
	}
	holder := policy.NewHolder()
	w := newOperatorWatcher(s, holder, zap.NewNop())
	for range s.changes {
		if err := w.poll(t.Context()); err != nil {
			w.onFailure(err)
		}
	}
	must.Eq(t, []uint64{0, 7, 7, 0}, s.watchedFrom)
	must.Eq(t, 2, holder.Current().Config.Version)
	must.Eq(t, 31, holder.Revision())
}

// A configuration that can't be decoded, or has a lower version, must leave the previous
// one in force, and must not keep a failure domain in service that is taken out of it, also
// when all keys are read again.
func TestUnusableConfigurationIsIgnored(t *testing.T) {
	evacuation := store.Entry{Key: platform.PrefixEvacuate + "z", Revision: 9}
	for _, document := range []string{`not JSON`, `{"version":0}`} {
		for _, second := range []store.Changes{
			{Entries: []store.Entry{configEntry(8, document), evacuation}, Revision: 9},
			{Entries: []store.Entry{configEntry(8, document)}, Revision: 9},
		} {
			s := &scriptedStore{
				changes: []store.Changes{
					{Entries: []store.Entry{configEntry(5, `{"version":1}`)}, Revision: 7}, second,
					{Entries: []store.Entry{configEntry(8, document), evacuation}, Revision: 10},
				},
				errs: make([]error, 3),
			}
			holder := policy.NewHolder()
			w := newOperatorWatcher(s, holder, zap.NewNop())
			must.NoError(t, w.poll(t.Context()))
			must.NoError(t, w.poll(t.Context()))
			must.Eq(t, len(second.Entries) > 1, holder.Current().OutOfService("z"))
			w.onFailure(result.Errorf(result.StoreCompacted, "the history is compacted"))
			must.NoError(t, w.poll(t.Context()))
			must.Eq(t, 1, holder.Current().Config.Version)
			must.True(t, holder.Current().OutOfService("z"))
		}
	}
}
