package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/pomelosill/pomelosill/internal/cell"
	"github.com/pomelosill/pomelosill/internal/control"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/outbox"
)

// After a pause an entry reads the document of a takeover before it closes the
// cell. In between the confirmation belongs to the newer document, under which
// another entry owns the cell. So it must not let the old cell start work.
func TestSupersededCellStartsNothing(t *testing.T) {
	roster := []control.Member{{ID: "e1"}, {ID: "e2"}, {ID: "e3"}}
	doc := func(revision uint64, owner string, generation uint64) *control.Document {
		return &control.Document{Revision: revision, Roster: roster, Cells: []control.Cell{{Owner: owner, Generation: generation}}}
	}
	for name, c := range map[string]struct {
		doc  *control.Document
		want uint64
	}{
		"still the owner":         {doc(2, "e1", 4), 4},
		"taken over":              {doc(3, "e2", 5), 0},
		"taken over and returned": {doc(4, "e1", 6), 0},
		"without an owner":        {doc(3, "", 4), 0},
	} {
		t.Run(name, func(t *testing.T) {
			state := newControlState("e1")
			first := doc(2, "e1", 4)
			state.UpdateFromStore(first, 20, time.Now().Add(-time.Hour))
			o := &ownership{control: state, settings: DefaultSettings()}
			cfg := o.cellConfig(0, 4)
			now := time.Now()
			owned := cell.New(cfg, first, cell.AgentList{}, rand.New(rand.NewPCG(1, 2)), now)
			a := &agentRegistry{
				control: state, freshness: 3 * time.Second, log: zap.NewNop(), counters: &counters{},
				localCell: func(uint32) *cell.Cell { return owned }, streams: map[string]*agentStream{},
			}
			st := &agentStream{hello: &pb.Hello{Endpoint: "e-1"}, out: outbox.New[*pb.OwnerFrame]()}
			state.UpdateFromStore(c.doc, 30, now)
			a.answerHeartbeat(st, owned, &pb.Heartbeat{SentNs: 1}, now)
			frames, ok := st.out.TakeAll(t.Context())
			must.True(t, ok)
			must.Eq(t, c.want, frames[0].GetStamp().GetGeneration())
			must.Eq(t, c.want != 0, cfg.IsFresh(now))
			must.Eq(t, c.doc.Revision, frames[0].GetStamp().GetControlRevision())
		})
	}
}
