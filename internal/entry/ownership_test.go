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

// unwritableStore holds an agent list that cannot be written, and counts calls.
type unwritableStore struct {
	store.Store
	list  cell.AgentList
	calls atomic.Int64
}

func (s *unwritableStore) Get(_ context.Context, key string) (store.Entry, error) {
	s.calls.Add(1)
	text, err := json.Marshal(s.list)
	return store.Entry{Key: key, Value: text, Revision: 7}, err
}

func (s *unwritableStore) CompareAndSwap(context.Context, string, uint64, []byte, store.LeaseID) (uint64, error) {
	s.calls.Add(1)
	return 0, result.Errorf(result.StoreUnavailable, "")
}

// Opening a cell that cannot be opened must be retried with a delay: the store
// limits the rate of calls.
func TestFailedOpenIsRetriedWithADelay(t *testing.T) {
	for name, list := range map[string]cell.AgentList{
		"a newer owner has the list": {Generation: 9},
		"the list cannot be written": {Generation: 1},
	} {
		t.Run(name, func(t *testing.T) {
			st := &unwritableStore{list: list}
			state := newControlState("e1")
			state.UpdateFromStore(&control.Document{
				Revision: 2, Roster: []control.Member{{ID: "e1"}}, Cells: []control.Cell{{Owner: "e1", Generation: 2}},
			}, 20, time.Now())
			o := &ownership{
				store: st, control: state, settings: DefaultSettings(), log: zap.NewNop(),
				cells: map[uint32]*ownedCell{}, opening: map[uint32]bool{},
			}
			start := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), 2*retryDelay)
			defer cancel()
			o.runReconcile(ctx)
			attempts := int64(time.Since(start)/retryDelay) + 1
			must.LessEq(t, 2*attempts, st.calls.Load())
		})
	}
}

// Two entries that reach the store but not each other consider each other dead.
// They must not take a cell from each other endlessly, since each takeover
// interrupts its work.
func TestCellIsNotTakenBackFromALeaseHolder(t *testing.T) {
	roster := []control.Member{{ID: "e1"}, {ID: "e2"}}
	doc := func(revision uint64, owner string) *control.Document {
		return &control.Document{Revision: revision, Roster: roster, Cells: []control.Cell{{Owner: owner, Generation: revision}}}
	}
	for name, c := range map[string]struct {
		lost  bool
		lease bool
		want  []int
	}{
		"dead owner":                {false, false, []int{0}},
		"silent owner with a lease": {false, true, []int{0}},
		"taken by one with a lease": {true, true, nil},
		"taken by one that died":    {true, false, []int{0}},
	} {
		t.Run(name, func(t *testing.T) {
			state := newControlState("e1")
			p := newPeers(state, nil, time.Second, time.Second, zap.NewNop())
			p.states["e2"] = &peerState{missed: maxMissedExchanges}
			o := &ownership{
				control: state, peers: p, settings: DefaultSettings(), log: zap.NewNop(),
				cells: map[uint32]*ownedCell{}, opening: map[uint32]bool{}, lostTo: map[uint32]string{},
			}
			if c.lost {
				state.UpdateFromStore(doc(1, "e1"), 10, time.Now())
				o.cells[0] = &ownedCell{cell: servingCell(t, doc(1, "e1"))}
			}
			taken := doc(2, "e2")
			state.UpdateFromStore(taken, 20, time.Now())
			state.SetLeaseHolders(map[string]bool{"e1": true, "e2": c.lease})
			o.reconcile(t.Context(), taken)
			must.Eq(t, c.want, o.cellsToTakeOver(taken))
		})
	}
}

// A list of agents that no owner has written must not be taken for an empty one:
// the new owner would fence nobody and start tasks that already run.
func TestMalformedAgentListOpensNoCell(t *testing.T) {
	for name, c := range map[string]struct {
		value string
		want  result.Code
	}{
		"valid":              {`{"cell":3,"generation":1,"version":1,"agents":null}`, result.OK},
		"no JSON":            {`{`, result.Internal},
		"null":               {`null`, result.Internal},
		"empty":              {`{}`, result.Internal},
		"of another cell":    {`{"cell":2,"generation":1}`, result.Internal},
		"agent without name": {`{"cell":3,"generation":1,"agents":[{}]}`, result.Internal},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestStore(t)
			st := store.NewHTTP(s.url, s.client)
			_, err := st.CompareAndSwap(t.Context(), agentListKey(3), 0, []byte(c.value), 0)
			must.NoError(t, err)
			o := &ownership{store: st, settings: DefaultSettings()}
			_, _, err = o.readAgentList(t.Context(), 3)
			must.Eq(t, c.want, result.CodeOf(err))
		})
	}
}
