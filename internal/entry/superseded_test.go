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

// An entry that was paused learns of a takeover on its board before it closes
// the cell. In between the confirmation is the newer document's, under which
// the cell belongs to another entry: it must let nothing start.
func TestSupersededCellStartsNothing(t *testing.T) {
	three := []control.Member{{ID: "e1"}, {ID: "e2"}, {ID: "e3"}}
	doc := func(revision uint64, owner string, generation uint64) *control.Document {
		return &control.Document{Revision: revision, Roster: three, Cells: []control.Cell{{Owner: owner, Generation: generation}}}
	}
	for name, c := range map[string]struct {
		now  *control.Document
		want uint64
	}{
		"still the owner":         {doc(2, "e1", 4), 4},
		"taken over":              {doc(3, "e2", 5), 0},
		"taken over and returned": {doc(4, "e1", 6), 0},
		"without an owner":        {doc(3, "", 4), 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newControlState("e1")
			first := doc(2, "e1", 4)
			b.UpdateFromStore(first, 20, time.Now().Add(-time.Hour))
			o := &ownership{control: b, settings: DefaultSettings()}
			cfg := o.cellConfig(0, 4)
			now := time.Now()
			held := cell.New(cfg, first, cell.AgentList{}, rand.New(rand.NewPCG(1, 2)), now)
			a := &agentRegistry{
				control: b, freshness: 3 * time.Second, log: zap.NewNop(), counters: &counters{},
				localCell: func(uint32) *cell.Cell { return held }, streams: map[string]*agentStream{},
			}
			l := &agentStream{hello: &pb.Hello{Endpoint: "e-1"}, out: outbox.New[*pb.OwnerFrame]()}
			b.UpdateFromStore(c.now, 30, now)
			a.answerHeartbeat(l, held, &pb.Heartbeat{SentNs: 1}, now)
			frames, ok := l.out.TakeAll(t.Context())
			must.True(t, ok)
			must.Eq(t, c.want, frames[0].GetStamp().GetGeneration())
			must.Eq(t, c.want != 0, cfg.IsFresh(now))
			must.Eq(t, c.now.Revision, frames[0].GetStamp().GetControlRevision())
		})
	}
}
