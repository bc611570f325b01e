package entry

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/control"
	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/store"
)

// forgetfulStore loses one write before it takes effect.
type forgetfulStore struct {
	store.Store
	lost bool
}

func (f *forgetfulStore) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease store.LeaseID) (uint64, error) {
	if !f.lost && strings.HasPrefix(key, leasePrefix) {
		f.lost = true
		return 0, result.Errorf(result.StoreAnswerLost, "")
	}
	return f.Store.CompareAndSwap(ctx, key, expect, value, lease)
}

// An entry whose key under its lease was never written is taken for dead by
// the others, and takes no dead one off the roster itself.
func TestLostLeaseKeyIsWrittenAgain(t *testing.T) {
	s := newTestStore(t)
	w := s.writer()
	st := &forgetfulStore{Store: w.store}
	m := &membership{
		store: st, board: w.board, writer: w, settings: DefaultSettings(), log: zap.NewNop(),
		peers:  newPeers(w.board, s.client, time.Second, time.Second, zap.NewNop()),
		member: control.Member{ID: "e1", Address: "127.0.0.1:1", FailureDomain: "Comas"},
	}
	must.NoError(t, w.sync.read(t.Context()))
	lease := m.step(t.Context(), 0)
	must.True(t, w.board.LeaseGone("e1"))
	lease = m.step(t.Context(), lease)
	must.NotEq(t, 0, lease)
	must.False(t, w.board.LeaseGone("e1"))
	must.Eq(t, lease, m.step(t.Context(), lease))
}
