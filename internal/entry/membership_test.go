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

// lostWriteStore drops the first write of a lease key and reports its answer as
// lost.
type lostWriteStore struct {
	store.Store
	lost bool
}

func (s *lostWriteStore) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease store.LeaseID) (uint64, error) {
	if !s.lost && strings.HasPrefix(key, leaseKeyPrefix) {
		s.lost = true
		return 0, result.Errorf(result.StoreAnswerLost, "")
	}
	return s.Store.CompareAndSwap(ctx, key, expect, value, lease)
}

// If the write of an entry's lease key is lost, the other entries consider it
// dead, and it removes no dead member itself. So it must write the key again.
func TestLostLeaseKeyIsWrittenAgain(t *testing.T) {
	s := newTestStore(t)
	w := s.writer()
	st := &lostWriteStore{Store: w.store}
	m := &membership{
		store: st, control: w.control, writer: w, settings: DefaultSettings(), log: zap.NewNop(),
		peers:  newPeers(w.control, s.client, time.Second, time.Second, zap.NewNop()),
		member: control.Member{ID: "e1", Address: "127.0.0.1:1", FailureDomain: "Comas"},
	}
	must.NoError(t, w.storeSync.readDocument(t.Context()))
	lease := m.step(t.Context(), 0)
	must.True(t, w.control.LeaseExpired("e1"))
	lease = m.step(t.Context(), lease)
	must.NotEq(t, 0, lease)
	must.False(t, w.control.LeaseExpired("e1"))
	must.Eq(t, lease, m.step(t.Context(), lease))
}
