package entry

import (
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/control"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
)

// Other entries count an entry that removes itself from the roster as having
// acknowledged every revision. Its write may have taken effect although the
// answer was lost, and the process may then be paused before it exits. So from
// the write on it must neither confirm its document to others nor act on it.
func TestDepartedEntryConfirmsNothing(t *testing.T) {
	e := &Entry{id: "e1", control: newControlState("e1")}
	d := &control.Document{
		Revision: 3,
		Roster:   []control.Member{{ID: "e1"}, {ID: "e2"}, {ID: "e3"}},
		Cells:    []control.Cell{{Owner: "e1", Generation: 2}},
	}
	now := time.Now()
	e.control.UpdateFromStore(d, 30, now)
	confirms := func() bool {
		res, err := e.Exchange(t.Context(), connect.NewRequest(&pb.ExchangeRequest{Entry: "e3", Revision: 3}))
		must.NoError(t, err)
		return res.Msg.GetVouched()
	}
	must.True(t, confirms())
	must.Eq(t, now, e.control.OwnershipConfirmedAt(0, 2, now))
	e.control.SetLeaving()
	must.True(t, confirms())
	e.control.SetDeparted()
	must.False(t, confirms())
	must.True(t, e.control.OwnershipConfirmedAt(0, 2, now).IsZero())
	e.control.UpdateFromStore(d, 30, now.Add(time.Second))
	e.control.RecordExchange("e2", 3, true, now.Add(time.Second))
	must.True(t, e.control.ConfirmedAt(now.Add(time.Second)).IsZero())
}
