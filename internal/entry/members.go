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

// runMembers keeps the member lists in the store up to date.
func (o *ownership) runMembers(ctx context.Context) {
	o.loop(ctx, func(*control.Document) {
		for _, oc := range o.ownedCells() {
			o.storeMembers(ctx, oc)
		}
	})
}

func membersKey(n uint32) string { return fmt.Sprintf("pomelosill/members/%d", n) }

func (o *ownership) readMembers(ctx context.Context, n uint32) (cell.Members, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, o.settings.StoreTimeout.Std())
	defer cancel()
	e, err := o.store.Get(ctx, membersKey(n))
	if result.CodeOf(err) == result.StoreNotFound {
		return cell.Members{}, 0, nil
	}
	if err != nil {
		return cell.Members{}, 0, err
	}
	var m cell.Members
	if err := json.Unmarshal(e.Value, &m); err != nil {
		return cell.Members{}, 0, result.Wrap(result.Internal, err, "member list")
	}
	return m, e.Revision, nil
}

// storeMembers brings the member list in the store up to date, and tells
// whether it is.
func (o *ownership) storeMembers(ctx context.Context, oc *ownedCell) bool {
	now := time.Now()
	m := oc.cell.MembersToStore(now)
	if m.Version != oc.storedVersion && !o.swapMembers(ctx, oc, m) {
		return false
	}
	oc.cell.MembersStored(m, now)
	return true
}

func (o *ownership) swapMembers(ctx context.Context, oc *ownedCell, m cell.Members) bool {
	value, err := json.Marshal(m)
	if err != nil {
		return false
	}
	cctx, cancel := context.WithTimeout(ctx, o.settings.StoreTimeout.Std())
	defer cancel()
	revision, err := o.store.CompareAndSwap(cctx, membersKey(m.Cell), oc.storeRevision, value, 0)
	switch result.CodeOf(err) {
	case result.OK:
		oc.storeRevision = revision
		oc.storedVersion = m.Version
		return true
	case result.StoreConflict, result.StoreAnswerLost:
		return o.readBackMembers(ctx, oc, m)
	}
	return false
}

// readBackMembers tells whether a write whose answer was lost, or that met
// another revision, had taken effect before.
func (o *ownership) readBackMembers(ctx context.Context, oc *ownedCell, m cell.Members) bool {
	held, revision, err := o.readMembers(ctx, m.Cell)
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
