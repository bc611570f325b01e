package cell

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
)

// TestUnappliedAgentsIncludesThoseThatMayStillStart guards against leaving out
// an agent that loses its stream before it has applied revision 7. It may start
// tasks until its last stamp has expired, so the command would be reported as
// in force too early.
func TestUnappliedAgentsIncludesThoseThatMayStillStart(t *testing.T) {
	cases := []struct {
		name      string
		heartbeat *pb.Heartbeat
		detached  bool
		after     time.Duration
		want      []string
	}{
		{"attached, not applied", &pb.Heartbeat{ControlRevision: 6}, false, 0, []string{"agent e-1"}},
		{"attached, applied", &pb.Heartbeat{ControlRevision: 7}, false, 0, nil},
		{"just detached", &pb.Heartbeat{ControlRevision: 6}, true, 0, []string{"agent e-1"}},
		{"detached for almost the freshness limit", &pb.Heartbeat{ControlRevision: 6}, true, freshness - 1, []string{"agent e-1"}},
		{"detached for the freshness limit", &pb.Heartbeat{ControlRevision: 6}, true, freshness, nil},
		{"detached, applied", &pb.Heartbeat{ControlRevision: 7}, true, 0, nil},
		{"detached while leaving", &pb.Heartbeat{ControlRevision: 6, Leaving: true}, true, 0, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 1, AgentList{})
			l := f.attach("e-1", "i-1")
			f.cell.HandleHeartbeat("e-1", l, c.heartbeat, f.now)
			if c.detached {
				f.cell.Detach("e-1", l, f.now)
			}
			must.Eq(t, c.want, f.cell.UnappliedAgents(7, f.now.Add(c.after)))
		})
	}
}
