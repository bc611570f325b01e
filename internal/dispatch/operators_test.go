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

// A configuration that can't be decoded must leave the previous one in force.
func TestInvalidConfigurationIsIgnored(t *testing.T) {
	s := &scriptedStore{
		changes: []store.Changes{
			{Entries: []store.Entry{configEntry(5, `{"version":1}`)}, Revision: 7},
			{Entries: []store.Entry{configEntry(8, `not JSON`), {Key: platform.PrefixEvacuate + "z", Revision: 9}}, Revision: 9},
		},
		errs: make([]error, 2),
	}
	holder := policy.NewHolder()
	w := newOperatorWatcher(s, holder, zap.NewNop())
	for range s.changes {
		must.NoError(t, w.poll(t.Context()))
	}
	must.Eq(t, 1, holder.Current().Config.Version)
	must.True(t, holder.Current().OutOfService("z"))
}
