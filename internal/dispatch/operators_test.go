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

// scriptedStore answers watches from a script and notes what was asked.
type scriptedStore struct {
	store.Store
	answers     []store.Changes
	errs        []error
	watchedFrom []uint64
}

func (s *scriptedStore) Watch(_ context.Context, _ string, after uint64, _ time.Duration) (store.Changes, error) {
	i := len(s.watchedFrom)
	s.watchedFrom = append(s.watchedFrom, after)
	return s.answers[i], s.errs[i]
}

func configEntry(revision uint64, document string) store.Entry {
	return store.Entry{Key: platform.KeyConfig, Value: []byte(document), Revision: revision}
}

// A watch may hear nothing for a while although changes are made, and its
// answer's revision be ahead of them: the next one must not skip them.
func TestQuietAnswerMovesNothingOn(t *testing.T) {
	s := &scriptedStore{
		answers: []store.Changes{
			{Entries: []store.Entry{configEntry(5, `{"version":1}`)}, Revision: 7},
			{Revision: 30},
			{},
			{Entries: []store.Entry{configEntry(20, `{"version":2}`)}, Revision: 31},
		},
		errs: []error{nil, nil, result.Errorf(result.StoreCompacted, "history is gone"), nil},
	}
	board := policy.NewHolder()
	f := newOperatorWatcher(s, board, zap.NewNop())
	for range s.answers {
		if err := f.poll(t.Context()); err != nil {
			f.onFailure(err)
		}
	}
	must.Eq(t, []uint64{0, 7, 7, 0}, s.watchedFrom)
	must.Eq(t, 2, board.Current().Config.Version)
	must.Eq(t, 31, board.Revision())
}

// A document that can't be read leaves the one in force.
func TestBadConfigurationChangesNothing(t *testing.T) {
	s := &scriptedStore{
		answers: []store.Changes{
			{Entries: []store.Entry{configEntry(5, `{"version":1}`)}, Revision: 7},
			{Entries: []store.Entry{configEntry(8, `not JSON`), {Key: platform.PrefixEvacuate + "z", Revision: 9}}, Revision: 9},
		},
		errs: make([]error, 2),
	}
	board := policy.NewHolder()
	f := newOperatorWatcher(s, board, zap.NewNop())
	for range s.answers {
		must.NoError(t, f.poll(t.Context()))
	}
	must.Eq(t, 1, board.Current().Config.Version)
	must.True(t, board.Current().OutOfService("z"))
}
