package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pomelosill/pomelosill/internal/cell"
	"github.com/pomelosill/pomelosill/internal/control"
	"github.com/pomelosill/pomelosill/internal/result"
)

// runAgentLists keeps the member lists in the store up to date.
func (o *ownership) runAgentLists(ctx context.Context) {
	o.runOnChange(ctx, func(*control.Document) {
		for _, oc := range o.ownedCells() {
			o.syncAgentList(ctx, oc)
		}
	})
}

func agentListKey(n uint32) string { return fmt.Sprintf("pomelosill/members/%d", n) }

func (o *ownership) readAgentList(ctx context.Context, n uint32) (cell.AgentList, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, o.settings.StoreTimeout.Std())
	defer cancel()
	e, err := o.store.Get(ctx, agentListKey(n))
	if result.CodeOf(err) == result.StoreNotFound {
		return cell.AgentList{}, 0, nil
	}
	if err != nil {
		return cell.AgentList{}, 0, err
	}
	var m cell.AgentList
	if err := json.Unmarshal(e.Value, &m); err != nil {
		return cell.AgentList{}, 0, result.Wrap(result.Internal, err, "member list")
	}
	return m, e.Revision, nil
}

// syncAgentList brings the member list in the store up to date, and tells
// whether it is.
func (o *ownership) syncAgentList(ctx context.Context, oc *ownedCell) bool {
	now := time.Now()
	m := oc.cell.AgentListToStore(now)
	if m.Version != oc.storedVersion && !o.writeAgentList(ctx, oc, m) {
		return false
	}
	oc.cell.MarkAgentListStored(m, now)
	return true
}

func (o *ownership) writeAgentList(ctx context.Context, oc *ownedCell, m cell.AgentList) bool {
	value, err := json.Marshal(m)
	if err != nil {
		return false
	}
	cctx, cancel := context.WithTimeout(ctx, o.settings.StoreTimeout.Std())
	defer cancel()
	revision, err := o.store.CompareAndSwap(cctx, agentListKey(m.Cell), oc.storeRevision, value, 0)
	switch result.CodeOf(err) {
	case result.OK:
		oc.storeRevision = revision
		oc.storedVersion = m.Version
		return true
	case result.StoreConflict, result.StoreAnswerLost:
		return o.verifyAgentListWrite(ctx, oc, m)
	}
	return false
}

// verifyAgentListWrite tells whether a write whose answer was lost, or that met
// another revision, had taken effect before.
func (o *ownership) verifyAgentListWrite(ctx context.Context, oc *ownedCell, m cell.AgentList) bool {
	held, revision, err := o.readAgentList(ctx, m.Cell)
	if err != nil || held.Generation > m.Generation {
		return false
	}
	oc.storeRevision = revision
	if held.Generation != m.Generation || held.Version != m.Version {
		return false
	}
	oc.storedVersion = m.Version
	return true
}
