package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/cell"
	"github.com/pomelosill/pomelosill/internal/control"
	pb "github.com/pomelosill/pomelosill/internal/gen/pomelosill/v1"
	"github.com/pomelosill/pomelosill/internal/outbox"
	"github.com/pomelosill/pomelosill/internal/result"
)

func TestAgentsThatBreakTheEntrysRulesAreRefused(t *testing.T) {
	limits := agentLimits{maxFreshness: 3 * time.Second, minRetention: time.Minute}
	for name, c := range map[string]struct {
		change func(h *pb.Hello)
		want   result.Code
	}{
		"fits":                    {func(*pb.Hello) {}, result.OK},
		"no hello":                {func(h *pb.Hello) { h.Endpoint = "" }, result.Malformed},
		"starts on older stamps":  {func(h *pb.Hello) { h.FreshnessNs++ }, result.SettingsValue},
		"forgets starts too soon": {func(h *pb.Hello) { h.RecordRetentionNs-- }, result.SettingsValue},
	} {
		t.Run(name, func(t *testing.T) {
			h := &pb.Hello{
				Endpoint: "e-1", Incarnation: "i-1",
				FreshnessNs: int64(limits.maxFreshness), RecordRetentionNs: int64(limits.minRetention),
			}
			c.change(h)
			err := limits.validate(h)
			must.Eq(t, c.want, result.CodeOf(err))
			must.Eq(t, c.want == result.OK, err == nil)
		})
	}
}

// The stamp's age is that of the entry's own confirmation, so that an agent
// never starts work on one that is older than the limit.
func TestStampCarriesTheAgeOfTheConfirmation(t *testing.T) {
	d := &control.Document{
		Revision: 2,
		Roster:   []control.Member{{ID: "e1"}, {ID: "e2"}, {ID: "e3"}},
		Cells:    []control.Cell{{Owner: "e1", Generation: 4}},
	}
	now := time.Now()
	for name, c := range map[string]struct {
		age     time.Duration
		permits bool
	}{
		"young":     {time.Second, true},
		"too old":   {3 * time.Second, false},
		"long gone": {time.Hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newControlState("e1")
			b.UpdateFromStore(d, 20, now.Add(-c.age))
			o := &ownership{control: b, settings: DefaultSettings()}
			held := cell.New(o.cellConfig(0, 4), d, cell.AgentList{}, rand.New(rand.NewPCG(1, 2)), now)
			a := &agentRegistry{control: b, freshness: 3 * time.Second, counters: &counters{}}
			l := &agentStream{hello: &pb.Hello{Endpoint: "e-1"}, out: outbox.New[*pb.OwnerFrame]()}
			a.answerHeartbeat(l, held, &pb.Heartbeat{SentNs: 1}, now)
			frames, ok := l.out.TakeAll(t.Context())
			must.True(t, ok)
			stamp := frames[0].GetStamp()
			must.Eq(t, c.permits, stamp.GetGeneration() != 0)
			if c.permits {
				must.Eq(t, c.age, time.Duration(stamp.GetAgeNs()))
			}
		})
	}
}
