package cell

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
)

// TestUnappliedNamesAgentsThatMayStillStart follows agents that lose their
// stream before they apply revision 7: until its last stamp has grown too old,
// such an agent may still start tasks.
func TestUnappliedNamesAgentsThatMayStillStart(t *testing.T) {
	cases := []struct {
		name      string
		heartbeat *pb.Heartbeat
		detached  bool
		after     time.Duration
		want      []string
	}{
		{"attached, old", &pb.Heartbeat{ControlRevision: 6}, false, 0, []string{"agent e-1"}},
		{"attached, applied", &pb.Heartbeat{ControlRevision: 7}, false, 0, nil},
		{"just detached", &pb.Heartbeat{ControlRevision: 6}, true, 0, []string{"agent e-1"}},
		{"detached for almost the freshness limit", &pb.Heartbeat{ControlRevision: 6}, true, freshness - 1, []string{"agent e-1"}},
		{"detached for the freshness limit", &pb.Heartbeat{ControlRevision: 6}, true, freshness, nil},
		{"detached, applied", &pb.Heartbeat{ControlRevision: 7}, true, 0, nil},
		{"detached while leaving", &pb.Heartbeat{ControlRevision: 6, Leaving: true}, true, 0, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(t, 1, AgentList{})
			l := b.attach("e-1", "i-1")
			b.cell.HandleHeartbeat("e-1", l, c.heartbeat, b.now)
			if c.detached {
				b.cell.Detach("e-1", l, b.now)
			}
			must.Eq(t, c.want, b.cell.UnappliedAgents(7, b.now.Add(c.after)))
		})
	}
}
