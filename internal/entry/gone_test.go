package entry

import (
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/control"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
)

// An entry that takes itself off the roster counts from then on as one that
// has acknowledged everything. The write may have taken effect without its
// knowing, and it may be paused before it ends: it must neither vouch for what
// it still holds nor act on it.
func TestLeavingEntryVouchesForNothing(t *testing.T) {
	e := &Entry{id: "e1", control: newControlState("e1")}
	d := &control.Document{
		Revision: 3,
		Roster:   []control.Member{{ID: "e1"}, {ID: "e2"}, {ID: "e3"}},
		Cells:    []control.Cell{{Owner: "e1", Generation: 2}},
	}
	now := time.Now()
	e.control.UpdateFromStore(d, 30, now)
	ask := func() bool {
		res, err := e.Exchange(t.Context(), connect.NewRequest(&pb.ExchangeRequest{Entry: "e3", Revision: 3}))
		must.NoError(t, err)
		return res.Msg.GetVouched()
	}
	must.True(t, ask())
	must.Eq(t, now, e.control.OwnershipConfirmedAt(0, 2, now))
	e.control.SetLeaving()
	must.True(t, ask())
	e.control.SetDeparted()
	must.False(t, ask())
	must.True(t, e.control.OwnershipConfirmedAt(0, 2, now).IsZero())
	e.control.UpdateFromStore(d, 30, now.Add(time.Second))
	e.control.RecordExchange("e2", 3, true, now.Add(time.Second))
	must.True(t, e.control.ConfirmedAt(now.Add(time.Second)).IsZero())
}
