package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/control"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/result"
)

// An answer that says "not run" must be held until a confirmation requested after
// the decision shows that the entry still owned the cell. Otherwise another entry
// may have run the job in the meantime.
func TestNotRunWaitsForAConfirmation(t *testing.T) {
	roster := []control.Member{{ID: "e1"}, {ID: "e2"}, {ID: "e3"}}
	owned := &control.Document{Revision: 2, Roster: roster, Cells: []control.Cell{{Owner: "e1", Generation: 4}}}
	taken := &control.Document{Revision: 3, Roster: roster, Cells: []control.Cell{{Owner: "e2", Generation: 5}}}
	notRun := &pb.Answer{Code: uint32(result.OverQuota), Generation: 4}
	oneNotRun := &pb.Answer{
		Code: uint32(result.TaskFailed), Generation: 4,
		Outcomes: []*pb.Outcome{{Code: uint32(result.TaskFailed)}, {Code: uint32(result.Cancelled)}},
	}
	ran := &pb.Answer{Code: uint32(result.TaskFailed), Generation: 4}
	later := func(state *controlState) { state.UpdateFromStore(owned, 20, time.Now().Add(time.Minute)) }
	for name, c := range map[string]struct {
		answer *pb.Answer
		then   func(state *controlState)
		after  time.Duration
		want   []result.Code
	}{
		"held without a confirmation":          {notRun, func(*controlState) {}, 0, nil},
		"held after an older confirmation":     {notRun, func(state *controlState) { state.UpdateFromStore(owned, 20, time.Now().Add(-time.Second)) }, 0, nil},
		"delivered after a later confirmation": {notRun, later, 0, []result.Code{result.OverQuota}},
		"a peer's confirmation suffices":       {notRun, func(state *controlState) { state.RecordExchange("e2", 2, true, time.Now().Add(time.Second)) }, 0, []result.Code{result.OverQuota}},
		"held if one task did not run":         {oneNotRun, func(*controlState) {}, 0, nil},
		"the owner changed":                    {notRun, func(state *controlState) { state.UpdateFromStore(taken, 30, time.Now().Add(time.Minute)) }, 0, []result.Code{result.NotOwner}},
		"never confirmed":                      {notRun, func(*controlState) {}, time.Hour, []result.Code{result.OutcomeUnknown}},
		"work that ran needs no confirmation":  {ran, func(*controlState) {}, 0, []result.Code{result.TaskFailed}},
	} {
		t.Run(name, func(t *testing.T) {
			state := newControlState("e1")
			state.UpdateFromPeer(owned)
			confirmer := newAnswerConfirmer(state, func() {}, time.Minute)
			var got []result.Code
			confirmer.Deliver(c.answer, func(a *pb.Answer) { got = append(got, result.Code(a.GetCode())) })
			c.then(state)
			confirmer.deliverConfirmed(time.Now().Add(2 * time.Second).Add(c.after))
			must.Eq(t, c.want, got)
		})
	}
}
