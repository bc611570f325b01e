package entry

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/cell"
	"github.com/pomelosill/pomelosill/internal/control"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/store"
)

// memberStore holds a member list that cannot be written.
type memberStore struct {
	store.Store
	list  cell.Members
	calls atomic.Int64
}

func (m *memberStore) Get(_ context.Context, key string) (store.Entry, error) {
	m.calls.Add(1)
	text, err := json.Marshal(m.list)
	return store.Entry{Key: key, Value: text, Revision: 7}, err
}

func (m *memberStore) CompareAndSwap(context.Context, string, uint64, []byte, store.LeaseID) (uint64, error) {
	m.calls.Add(1)
	return 0, result.Errorf(result.StoreUnavailable, "")
}

// A cell that cannot be opened must be tried again with pauses: the store
// counts each call, and its rates are low.
func TestOpeningAgainSparesTheStore(t *testing.T) {
	for name, list := range map[string]cell.Members{
		"a newer owner has the list": {Generation: 9},
		"the list cannot be written": {Generation: 1},
	} {
		t.Run(name, func(t *testing.T) {
			st := &memberStore{list: list}
			b := newBoard("e1")
			b.FromStore(&control.Document{
				Revision: 2, Roster: []control.Member{{ID: "e1"}}, Cells: []control.Cell{{Owner: "e1", Generation: 2}},
			}, 20, time.Now())
			o := &ownership{
				store: st, board: b, settings: DefaultSettings(), log: zap.NewNop(),
				cells: map[uint32]*ownedCell{}, opening: map[uint32]bool{},
			}
			began := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), 2*retryPause)
			defer cancel()
			o.runFollow(ctx)
			tries := int64(time.Since(began)/retryPause) + 1
			must.LessEq(t, 2*tries, st.calls.Load())
		})
	}
}
