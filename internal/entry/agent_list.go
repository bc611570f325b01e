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

// runAgentLists keeps the agent lists in the store up to date until ctx ends.
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
	entry, err := o.store.Get(ctx, agentListKey(n))
	if result.CodeOf(err) == result.StoreNotFound {
		return cell.AgentList{}, 0, nil
	}
	if err != nil {
		return cell.AgentList{}, 0, err
	}
	var list cell.AgentList
	if err := json.Unmarshal(entry.Value, &list); err != nil {
		return cell.AgentList{}, 0, result.Wrap(result.Internal, err, "cannot decode the agent list in the store")
	}
	if !list.Valid(n) {
		return cell.AgentList{}, 0, result.Errorf(result.Internal, "the agent list in the store was not written by an owner of cell %d", n)
	}
	return list, entry.Revision, nil
}

// syncAgentList writes the cell's agent list to the store if it has changed, and
// reports whether the store holds the current list.
func (o *ownership) syncAgentList(ctx context.Context, oc *ownedCell) bool {
	now := time.Now()
	list := oc.cell.AgentListToStore(now)
	if list.Version != oc.storedVersion && !o.writeAgentList(ctx, oc, list) {
		return false
	}
	oc.cell.MarkAgentListStored(list, now)
	return true
}

func (o *ownership) writeAgentList(ctx context.Context, oc *ownedCell, list cell.AgentList) bool {
	value, err := json.Marshal(list)
	if err != nil {
		return false
	}
	wctx, cancel := context.WithTimeout(ctx, o.settings.StoreTimeout.Std())
	defer cancel()
	revision, err := o.store.CompareAndSwap(wctx, agentListKey(list.Cell), oc.storeRevision, value, 0)
	switch result.CodeOf(err) {
	case result.OK:
		oc.storeRevision = revision
		oc.storedVersion = list.Version
		return true
	case result.StoreConflict, result.StoreAnswerLost:
		return o.verifyAgentListWrite(ctx, oc, list)
	}
	return false
}

// verifyAgentListWrite reads the agent list back after a write whose answer was
// lost or that conflicted, and reports whether the write had taken effect.
func (o *ownership) verifyAgentListWrite(ctx context.Context, oc *ownedCell, list cell.AgentList) bool {
	held, revision, err := o.readAgentList(ctx, list.Cell)
	if err != nil || held.Generation > list.Generation {
		return false
	}
	oc.storeRevision = revision
	if held.Generation != list.Generation || held.Version != list.Version {
		return false
	}
	oc.storedVersion = list.Version
	return true
}
